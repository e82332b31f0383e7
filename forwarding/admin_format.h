#ifndef CICADALOFT_FORWARDING_ADMIN_FORMAT_H_
#define CICADALOFT_FORWARDING_ADMIN_FORMAT_H_

#include <string>

#include "cicadaloft/forwarding/admin_messages.h"

namespace cicadaloft {

/// @return the status as one JSON object.
std::string FormatStatus(const StatusReply& status, const std::string& host);

/// @return {"decisions": [{"time", "reason", "request", ...}]}, with each field
/// of the decision record under its own name.
std::string FormatExplanation(const ExplanationReply& explanation);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_ADMIN_FORMAT_H_
