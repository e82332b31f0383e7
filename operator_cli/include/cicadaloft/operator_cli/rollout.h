#ifndef CICADALOFT_OPERATOR_CLI_ROLLOUT_H_
#define CICADALOFT_OPERATOR_CLI_ROLLOUT_H_

#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/operator_cli/status_report.h"

namespace cicadaloft {

/// Finds who does not act on a record yet.
/// @param offset of the record.
/// @return the hosts that lag behind it; the reporting one where it has not
/// seen the record itself, since its list of members may then be old.
std::vector<HostId> LaggingHosts(const StatusReport& status, LogOffset offset);

}  // namespace cicadaloft

#endif  // CICADALOFT_OPERATOR_CLI_ROLLOUT_H_
