#ifndef CICADALOFT_HOST_USAGE_DUTY_H_
#define CICADALOFT_HOST_USAGE_DUTY_H_

#include <optional>

#include "cicadaloft/usage/usage_settings.h"
#include "host_settings.h"

namespace cicadaloft {

/// @return whether the platform wants usage reports.
bool ReportsUsage(const HostSettings& settings);

/// @return the settings of usage reports for this process, or none if the
/// platform doesn't want them.
std::optional<UsageSettings> MakeUsageSettings(const HostSettings& settings);

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_USAGE_DUTY_H_
