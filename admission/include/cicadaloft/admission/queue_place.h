#ifndef CICADALOFT_ADMISSION_QUEUE_PLACE_H_
#define CICADALOFT_ADMISSION_QUEUE_PLACE_H_

#include <compare>
#include <cstdint>
#include <variant>

#include "cicadaloft/admission/rank.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Place of an item in a FairQueue.
struct FairPlace {
  bool is_batch = false;
  std::uint64_t number = 0;  ///< In order of arrival.

  friend auto operator<=>(const FairPlace&, const FairPlace&) = default;
  friend bool operator==(const FairPlace&, const FairPlace&) = default;
};

/// Place of an item in a RankedQueue.
struct RankedPlace {
  Rank rank;
  /// When it has to start to be on time. At any time, the order of these is
  /// the order of slack.
  TimePoint latest_start{};
  std::uint64_t number = 0;  ///< In order of arrival.
  bool is_large = false;     ///< Among the largest tenth of its kind.

  friend auto operator<=>(const RankedPlace&, const RankedPlace&) = default;
  friend bool operator==(const RankedPlace&, const RankedPlace&) = default;
};

using QueuePlace = std::variant<FairPlace, RankedPlace>;

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_QUEUE_PLACE_H_
