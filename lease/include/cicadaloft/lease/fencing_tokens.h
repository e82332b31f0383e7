#ifndef CICADALOFT_LEASE_FENCING_TOKENS_H_
#define CICADALOFT_LEASE_FENCING_TOKENS_H_

#include "cicadaloft/core/id.h"

namespace cicadaloft {

/// A fencing token has the offset in its low bits and the era of the store
/// above them, since offsets are given out again after the store has come back
/// from an older copy. At one record in 0.6 s the low bits last for 81 years;
/// with the highest era a token fits into 2^53, which JSON represents exactly.
inline constexpr unsigned kTokenOffsetBits = 32;

/// @param first_record the offset of the record that begins the term.
/// @return the token of the term; never 0. Without an era it is the offset plus
/// one.
constexpr FencingToken MakeFencingToken(StoreEra era, LogOffset first_record) {
  return FencingToken((era.value() << kTokenOffsetBits) +
                      first_record.Next().value());
}

/// @return what the record that begins a term states as its token, since its
/// offset isn't known before it is written.
constexpr FencingToken MakeTokenOfNewTerm(StoreEra era) {
  return FencingToken(era.value() << kTokenOffsetBits);
}

/// @param token of a record in the lease's log.
/// @return the era in which the record's writer had read the log.
constexpr StoreEra EraOf(FencingToken token) {
  return StoreEra(token.value() >> kTokenOffsetBits);
}

}  // namespace cicadaloft

#endif  // CICADALOFT_LEASE_FENCING_TOKENS_H_
