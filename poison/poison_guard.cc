#include "cicadaloft/poison/poison_guard.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <utility>
#include <vector>

namespace cicadaloft {
namespace {

constexpr Duration kCleanupInterval = std::chrono::seconds(5);

/// How much later than the crash itself the lease holder may learn of it. The
/// crash also breaks responses that have begun before.
constexpr Duration kMaxReportDelay = std::chrono::seconds(1);

// What crashes targets breaks its own attempts early.
std::vector<BrokenRequest> WithinReportLimit(
    const std::vector<BrokenRequest>& requests) {
  std::vector<const BrokenRequest*> by_progress;
  std::ranges::transform(requests, std::back_inserter(by_progress),
                         [](const BrokenRequest& request) { return &request; });
  std::ranges::sort(by_progress, {}, [](const BrokenRequest* request) {
    return std::pair(request->response_bytes, request->fingerprints.size());
  });
  std::size_t count = 0;
  std::vector<BrokenRequest> reported;
  for (const BrokenRequest* request : by_progress) {
    count += request->fingerprints.size();
    if (count <= PoisonGuard::kMaxFingerprintsPerReport) {
      reported.push_back(*request);
    }
  }
  return reported;
}

}  // namespace

void PoisonGuard::OnBroken(const Fingerprints& fingerprints,
                           const BrokenAttempt& attempt,
                           TimePoint now) {
  this->RemoveExpired(now);
  Fingerprints reported;
  std::ranges::copy_if(fingerprints, std::back_inserter(reported),
                       [&](const Fingerprint& fingerprint) {
                         return attempt.response_bytes == 0 ||
                                fingerprint.kind != FingerprintKind::kContent;
                       });
  this->losses[Process(attempt.target, attempt.instance)].requests.push_back(
      BrokenRequest{.fingerprints = std::move(reported),
                    .response_bytes = attempt.response_bytes});
}

void PoisonGuard::OnUnreachable(const TargetId& target,
                                TargetInstance instance,
                                TimePoint now) {
  this->RemoveExpired(now);
  const Process process(target, instance);
  const auto [entry, is_new] =
      this->unreachable_reported_at.try_emplace(process, now);
  if (is_new || now - entry->second >= kUnreachableInterval) {
    entry->second = now;
    this->losses[process].is_unreachable = true;
  }
}

void PoisonGuard::OnResponse(const Fingerprints& fingerprints, TimePoint now) {
  for (const Fingerprint& fingerprint : fingerprints) {
    (IsContent(fingerprint.kind) ? this->content_responses
                                 : this->shared_responses)
        .Add(fingerprint, now);
    if (this->suspects.contains(fingerprint)) {
      this->Refute(fingerprint);
    }
  }
}

void PoisonGuard::OnSuspects(const PoisonSuspects& suspects, TimePoint now) {
  this->RemoveExpired(now);
  for (const SuspectFingerprint& suspect : suspects.suspects) {
    const Fingerprint& fingerprint = suspect.fingerprint;
    const auto age =
        std::clamp<Duration>(suspect.age, Duration::zero(), kSuspicionTtl);
    const TimePoint first_crash_at = now - age - kMaxReportDelay;
    this->suspects.insert_or_assign(fingerprint, first_crash_at);
    const auto last = (IsContent(fingerprint.kind) ? this->content_responses
                                                   : this->shared_responses)
                          .Last(fingerprint);
    if (last && *last >= first_crash_at) {
      this->Refute(fingerprint);
    } else if (last) {
      this->served_before.insert(fingerprint);
    }
  }
}

void PoisonGuard::Refute(const Fingerprint& fingerprint) {
  this->suspects.erase(fingerprint);
  this->refuted.insert(fingerprint);
}

std::vector<CrashEvidence> PoisonGuard::TakeEvidence() {
  std::vector<CrashEvidence> evidence;
  for (const auto& [process, loss] : std::exchange(this->losses, {})) {
    evidence.push_back(
        CrashEvidence{.target = process.first,
                      .instance = process.second,
                      .is_unreachable = loss.is_unreachable,
                      .requests = WithinReportLimit(loss.requests)});
  }
  return evidence;
}

std::optional<PoisonRefutation> PoisonGuard::TakeRefutation() {
  if (this->refuted.empty() && this->served_before.empty()) {
    return std::nullopt;
  }
  const auto refuted = std::exchange(this->refuted, {});
  const auto before = std::exchange(this->served_before, {});
  return PoisonRefutation{.fingerprints = {refuted.begin(), refuted.end()},
                          .served_before = {before.begin(), before.end()}};
}

void PoisonGuard::RemoveExpired(TimePoint now) {
  if (now - this->last_cleanup_at < kCleanupInterval) {
    return;
  }
  this->last_cleanup_at = now;
  std::erase_if(this->unreachable_reported_at, [&](const auto& entry) {
    return now - entry.second >= kUnreachableInterval;
  });
  std::erase_if(this->suspects, [&](const auto& entry) {
    return now - entry.second >= kSuspicionTtl;
  });
}

}  // namespace cicadaloft
