#include <algorithm>
#include <cstddef>
#include <iterator>
#include <numeric>
#include <utility>

#include "cicadaloft/control/control_state.h"

namespace cicadaloft {
namespace {

/// Evidence that is kept for the next holder.
constexpr std::size_t kMaxRecentEvidence = 64;
constexpr std::size_t kMaxRecentFingerprints = 32'768;

std::size_t CountFingerprints(const CrashEvidence& evidence) {
  return std::accumulate(evidence.requests.begin(), evidence.requests.end(),
                         std::size_t{0},
                         [](std::size_t sum, const BrokenRequest& request) {
                           return sum + request.fingerprints.size();
                         });
}

}  // namespace

void ControlState::Handle(const CrashEvidence& evidence) {
  const std::size_t added = CountFingerprints(evidence);
  while (!this->recent_evidence.empty() &&
         (this->recent_evidence.size() >= kMaxRecentEvidence ||
          this->recent_fingerprints + added > kMaxRecentFingerprints ||
          this->now - this->recent_evidence.front().first >=
              PoisonLedger::kCrashTtl)) {
    this->recent_fingerprints -=
        CountFingerprints(this->recent_evidence.front().second);
    this->recent_evidence.pop_front();
  }
  this->recent_fingerprints += added;
  this->recent_evidence.emplace_back(this->now - evidence.age, evidence);
  this->ReportToHolder(evidence);
}

void ControlState::Handle(const PoisonRefutation& refutation) {
  this->ReportToHolder(refutation);
}

void ControlState::RepeatPoisonReports() {
  for (const auto& [at, evidence] : this->recent_evidence) {
    this->ReportToHolder(
        CrashEvidence{.target = evidence.target,
                      .instance = evidence.instance,
                      .is_unreachable = evidence.is_unreachable,
                      .requests = evidence.requests,
                      .age = this->now - at});
  }
  for (const PoisonBlock& block : this->poison_ledger.Blocks(this->now)) {
    this->ReportToHolder(block);
  }
}

void ControlState::SendBlocks(const HostId& host) {
  for (const PoisonBlock& block : this->poison_ledger.Blocks(this->now)) {
    this->effects.emplace_back(SendToHost{.host = host, .message = block});
  }
}

void ControlState::OnPeerMessage(const HostId& host,
                                 const CrashEvidence& evidence) {
  if (this->is_limit_coordinator) {
    this->poison_ledger.OnEvidence(host, evidence, this->now);
  }
}

void ControlState::OnPeerMessage(const HostId& host,
                                 const PoisonSuspects& suspects) {
  if (this->holder == host) {
    this->NotifyEntry(suspects);
  }
}

void ControlState::OnPeerMessage(const HostId&,
                                 const PoisonRefutation& refutation) {
  if (!this->is_limit_coordinator) {
    return;
  }
  for (const PoisonBlock& lifted :
       this->poison_ledger.OnRefutation(refutation, this->now)) {
    this->PublishBlock(lifted);
  }
}

void ControlState::OnPeerMessage(const HostId& host, const PoisonBlock& block) {
  const bool is_from_holder = this->holder == host;
  if ((!is_from_holder && !this->is_limit_coordinator) ||
      !this->poison_ledger.OnBlock(block, this->now)) {
    return;
  }
  if (this->is_limit_coordinator) {
    this->PublishBlock(block);
  } else {
    this->NotifyEntry(block);
  }
}

void ControlState::PublishBlock(const PoisonBlock& block) {
  this->effects.emplace_back(
      DecisionRecord{.event = "poison.block",
                     .fields = {{"fingerprints", Describe(block.fingerprints)},
                                {"remaining_ms", block.remaining}}});
  this->effects.emplace_back(SendToAllHosts{.message = block});
  this->NotifyEntry(block);
}

// A registry that has not been read yet shows no process.
bool ControlState::HasEnded(const TargetId& target,
                            TargetInstance instance) const {
  if (this->fleet_tracker.IsEmpty()) {
    return false;
  }
  const TargetRecordPtr record = this->fleet_tracker.Find(target);
  return record == nullptr || record->instance > instance;
}

void ControlState::DecidePoison() {
  if (!this->is_limit_coordinator) {
    return;
  }
  const auto decisions = this->poison_ledger.Decide(
      [this](const TargetId& target, TargetInstance instance) {
        return this->HasEnded(target, instance);
      },
      this->now);
  if (!decisions.suspects.empty()) {
    const PoisonSuspects message{.suspects = decisions.suspects};
    Fingerprints suspected;
    std::ranges::transform(decisions.suspects, std::back_inserter(suspected),
                           &SuspectFingerprint::fingerprint);
    this->effects.emplace_back(
        DecisionRecord{.event = "poison.suspects",
                       .fields = {{"count", decisions.suspects.size()},
                                  {"fingerprints", Describe(suspected)}}});
    this->effects.emplace_back(SendToAllHosts{.message = message});
    this->NotifyEntry(message);
  }
  std::ranges::for_each(decisions.blocks, [this](const PoisonBlock& block) {
    this->PublishBlock(block);
  });
}

}  // namespace cicadaloft
