#ifndef CICADALOFT_CORE_DECISION_LINE_H_
#define CICADALOFT_CORE_DECISION_LINE_H_

#include <compare>
#include <string>

#include "cicadaloft/core/id.h"

namespace cicadaloft {

/// One routing or placement decision, for the log and for `explain`.
struct DecisionLine {
  const std::string reason;  ///< Stable token, such as "route.least_loaded".
  const RequestId request;   ///< Empty where no request is behind it.
  const std::string detail;  ///< "key=value" pairs parted by spaces.

  friend auto operator<=>(const DecisionLine&, const DecisionLine&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_DECISION_LINE_H_
