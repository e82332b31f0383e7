#ifndef CICADALOFT_FORWARDING_PROBLEM_ANSWER_H_
#define CICADALOFT_FORWARDING_PROBLEM_ANSWER_H_

#include <string>

#include "cicadaloft/entry/messages.h"
#include "cicadaloft/forwarding/messages.h"

namespace cicadaloft {

/// @return the whole HTTP answer to a refused request.
/// @param keep_alive whether the connection serves further requests.
std::string FormatProblem(const Refuse& refusal,
                          const ResponseFormat& framing,
                          bool keep_alive);

/// @return a refusal with the run state that the error's kind stands for.
Refuse RefusalOf(const RequestId& request, const Error& error);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_PROBLEM_ANSWER_H_
