#ifndef CICADALOFT_STORE_STORE_ERA_H_
#define CICADALOFT_STORE_STORE_ERA_H_

#include <cstdint>

#include "cicadaloft/core/id.h"

namespace cicadaloft {

/// Highest era that is taken for valid, so that an era and an offset fit into
/// one number that JSON represents exactly.
inline constexpr StoreEra kMaxStoreEra((std::uint64_t{1} << 20U) - 1);

/// What the era of an answer says to a reader that knows an era already.
enum class EraChange {
  kNone,
  /// The store has come back from an older copy: what was read from its logs
  /// may be gone, and offsets may have been given to other records.
  kNew,
  /// The answer is from before the store came back, or the store is faulty. It
  /// says nothing about the store as it is now.
  kOutdated,
};

/// @param known the highest era seen so far.
/// @param stated by the answer.
constexpr EraChange CompareEras(StoreEra known, StoreEra stated) {
  if (stated == known) {
    return EraChange::kNone;
  }
  return stated > known ? EraChange::kNew : EraChange::kOutdated;
}

}  // namespace cicadaloft

#endif  // CICADALOFT_STORE_STORE_ERA_H_
