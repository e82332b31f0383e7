#ifndef CICADALOFT_OPERATOR_CLI_REPORTS_H_
#define CICADALOFT_OPERATOR_CLI_REPORTS_H_

#include <string>
#include <string_view>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/operator_cli/command.h"
#include "cicadaloft/operator_cli/new_key.h"
#include "cicadaloft/operator_cli/status_report.h"
#include "cicadaloft/tickets/config.h"
#include "http_client.h"

namespace cicadaloft {

/// @return the body of an answer with status 200; else the error that the
/// server gave.
Result<std::string> BodyOf(const HttpAnswer& answer);

/// @return the status in a steward's answer, or kMalformedRequest.
Result<StatusReport> ParseStatus(std::string_view body);

/// The results of commands that got no further.
CommandResult BadInput(const Error& error);
CommandResult Refused(const Error& error);
CommandResult Unanswered(const Error& error);

/// What is printed of an answer's body.
CommandResult ReportOutcome(const std::string& body, bool as_json);
CommandResult ReportConfig(const std::string& body, bool as_json);
CommandResult ReportStatus(const std::string& body, bool as_json);
CommandResult ReportDecisions(const std::string& body, bool as_json);

CommandResult ReportKey(const IssuedKey& key, bool as_json);

/// @param result of handing the ticket in.
/// @param lagging hosts on which it is not in force.
CommandResult ReportRollout(const CommandResult& result,
                            const std::vector<HostId>& lagging,
                            bool as_json);

/// @return whether an answer tells of any decision.
bool HasDecisions(const std::string& body);

}  // namespace cicadaloft

#endif  // CICADALOFT_OPERATOR_CLI_REPORTS_H_
