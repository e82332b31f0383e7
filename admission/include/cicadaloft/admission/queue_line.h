#ifndef CICADALOFT_ADMISSION_QUEUE_LINE_H_
#define CICADALOFT_ADMISSION_QUEUE_LINE_H_

#include <compare>
#include <cstddef>

#include "cicadaloft/admission/rank.h"
#include "cicadaloft/core/id.h"

namespace cicadaloft {

/// The items of a RankedQueue that are served one after the other.
struct QueueLine {
  Rank rank;
  CustomerId customer;
  bool is_late = false;  ///< Those that can no longer be on time.

  friend auto operator<=>(const QueueLine&, const QueueLine&) = default;
  friend bool operator==(const QueueLine&, const QueueLine&) = default;
};

/// Where an item stands in a queue.
struct LinePosition {
  QueueLine line;
  std::size_t ahead = 0;  ///< Items before it in its line.

  friend auto operator<=>(const LinePosition&, const LinePosition&) = default;
  friend bool operator==(const LinePosition&, const LinePosition&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_QUEUE_LINE_H_
