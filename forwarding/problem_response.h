#ifndef CICADALOFT_FORWARDING_PROBLEM_RESPONSE_H_
#define CICADALOFT_FORWARDING_PROBLEM_RESPONSE_H_

#include <string>

#include "cicadaloft/entry/messages.h"
#include "cicadaloft/forwarding/messages.h"

namespace cicadaloft {

/// @return the complete HTTP response to a refused request.
/// @param keep_alive whether the connection serves further requests.
std::string FormatProblem(const Refuse& refusal,
                          const ResponseFormat& format,
                          bool keep_alive);

/// @return a refusal with the run state that belongs to the error's kind.
Refuse MakeRefusal(const RequestId& request, const Error& error);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_PROBLEM_RESPONSE_H_
