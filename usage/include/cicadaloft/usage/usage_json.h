#ifndef CICADALOFT_USAGE_USAGE_JSON_H_
#define CICADALOFT_USAGE_USAGE_JSON_H_

#include <tuple>

#include "cicadaloft/codec/json_containers.h"
#include "cicadaloft/usage/messages.h"

namespace cicadaloft {

template <>
inline constexpr auto kJsonFields<UsageCounts> =
    std::tuple(Required("host", &UsageCounts::host),
               Required("process", &UsageCounts::process),
               Required("number", &UsageCounts::number),
               Required("since", &UsageCounts::counted_since),
               Required("until", &UsageCounts::counted_until),
               Required("own_time", &UsageCounts::own_time),
               Required("has_ended", &UsageCounts::has_ended),
               Required("windows", &UsageCounts::windows));

template <>
inline constexpr auto kJsonFields<UsageClock> =
    std::tuple(Required("number", &UsageClock::number),
               Required("wall_time", &UsageClock::wall_time));

template <>
inline constexpr auto kJsonFields<UsageRecord> =
    std::tuple(Required("window", &UsageRecord::window),
               Required("counts", &UsageRecord::counts),
               Required("settled_before", &UsageRecord::settled_before));

}  // namespace cicadaloft

#endif  // CICADALOFT_USAGE_USAGE_JSON_H_
