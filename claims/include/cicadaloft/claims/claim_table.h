#ifndef CICADALOFT_CLAIMS_CLAIM_TABLE_H_
#define CICADALOFT_CLAIMS_CLAIM_TABLE_H_

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "cicadaloft/claims/messages.h"
#include "cicadaloft/core/id.h"

namespace cicadaloft {

/// A key that has been claimed.
struct Claim {
  const ClaimRecord record;
  const LogOffset offset;
  const ClaimOutcome outcome = ClaimOutcome::kRunning;
  const int http_status = 0;

  friend auto operator<=>(const Claim&, const Claim&) = default;
  friend bool operator==(const Claim&, const Claim&) = default;
};

/// All claims that are still kept: a fold of the log.
class ClaimTable {
 public:
  /// Ended claims are kept up to this number, the oldest dropped first.
  static constexpr std::size_t kKeptClaims = 100000;

  ClaimTable() = default;
  explicit ClaimTable(std::map<ClaimKey, Claim> claims);

  const std::map<ClaimKey, Claim>& claims() const { return this->by_key; }
  const Claim* Find(const ClaimKey& key) const;

  /// Each changes the table unless the record does not count.
  std::optional<std::string> Take(const ClaimRecord& record, LogOffset at);
  std::optional<std::string> Take(const ClaimOutcomeRecord& record);

  friend bool operator==(const ClaimTable&, const ClaimTable&) = default;

 private:
  /// By value: the claim may come from the very place that it replaces.
  void Put(Claim claim);

  std::map<ClaimKey, Claim> by_key;
  std::map<LogOffset, ClaimKey> ended;  ///< By the claim's offset.
};

/// @return what decides the key's home and bucket.
std::string TextOf(const ClaimKey& key);

/// @return what a second request hears while `claim` stands, or none if the
/// key is free again.
std::optional<ClaimVerdict> VerdictFor(const Claim& claim,
                                       const ClaimRecord& asked);

}  // namespace cicadaloft

#endif  // CICADALOFT_CLAIMS_CLAIM_TABLE_H_
