#ifndef CICADALOFT_DAEMONS_STEWARD_STATUS_JSON_H_
#define CICADALOFT_DAEMONS_STEWARD_STATUS_JSON_H_

#include <string>
#include <vector>

#include "cicadaloft/core/decision_line.h"
#include "cicadaloft/core/error_kind.h"
#include "cicadaloft/ledger/ledger.h"
#include "cicadaloft/steward/steward_node.h"
#include "cicadaloft/steward/steward_settings.h"

namespace cicadaloft {

/// @return what an operator is shown of a steward and its ledger.
std::string FormatStatus(const StewardSettings& settings,
                         const StewardStatus& status,
                         const Ledger& ledger);

/// @return the kept decisions of one request.
std::string FormatExplanation(const std::vector<DecisionLine>& lines);

/// @return an error as callers and operators get it.
std::string FormatProblem(const Error& error);

}  // namespace cicadaloft

#endif  // CICADALOFT_DAEMONS_STEWARD_STATUS_JSON_H_
