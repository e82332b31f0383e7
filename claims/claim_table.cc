#include "cicadaloft/claims/claim_table.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace cicadaloft {

ClaimTable::ClaimTable(std::map<ClaimKey, Claim> claims)
    : by_key(std::move(claims)) {
  std::ranges::for_each(this->by_key | std::views::values,
                        [this](const Claim& claim) {
                          if (claim.outcome != ClaimOutcome::kRunning) {
                            this->ended.emplace(claim.offset, claim.record.key);
                          }
                        });
}

const Claim* ClaimTable::Find(const ClaimKey& key) const {
  const auto found = this->by_key.find(key);
  return found == this->by_key.end() ? nullptr : &found->second;
}

std::optional<std::string> ClaimTable::Take(const ClaimRecord& record,
                                            LogOffset at) {
  const Claim* before = this->Find(record.key);
  if (before != nullptr && before->outcome != ClaimOutcome::kNotRun) {
    return "the key is claimed";
  }
  if (before != nullptr) {
    this->ended.erase(before->offset);
  }
  this->Put(Claim{.record = record, .offset = at});
  return std::nullopt;
}

std::optional<std::string> ClaimTable::Take(const ClaimOutcomeRecord& record) {
  const Claim* claim = this->Find(record.key);
  if (claim == nullptr || claim->record.request != record.request) {
    return "another request holds the key";
  }
  if (claim->outcome != ClaimOutcome::kRunning ||
      record.outcome == ClaimOutcome::kRunning) {
    return "the claim has ended";
  }
  const LogOffset offset = claim->offset;
  this->Put(Claim{.record = claim->record,
                  .offset = offset,
                  .outcome = record.outcome,
                  .http_status = record.http_status});
  this->ended.emplace(offset, record.key);
  if (this->ended.size() > kKeptClaims) {
    this->by_key.erase(this->ended.begin()->second);
    this->ended.erase(this->ended.begin());
  }
  return std::nullopt;
}

void ClaimTable::Put(Claim claim) {
  this->by_key.erase(claim.record.key);
  this->by_key.emplace(claim.record.key, claim);
}

std::string TextOf(const ClaimKey& key) {
  return key.customer.value() + "\n" + key.idempotency_key;
}

std::optional<ClaimVerdict> VerdictFor(const Claim& claim,
                                       const ClaimRecord& asked) {
  if (claim.outcome == ClaimOutcome::kNotRun) {
    return std::nullopt;
  }
  if (claim.record.fingerprint != asked.fingerprint) {
    return ClaimVerdict::kMismatch;
  }
  switch (claim.outcome) {
    case ClaimOutcome::kRunning:
      return claim.record.request == asked.request ? ClaimVerdict::kGranted
                                                   : ClaimVerdict::kRunning;
    case ClaimOutcome::kRan:
      return ClaimVerdict::kFinished;
    default:
      return ClaimVerdict::kUnknown;
  }
}

}  // namespace cicadaloft
