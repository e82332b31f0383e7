#include "cicadaloft/routing/poison_request_detector.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace cicadaloft {
namespace {

constexpr Duration kCleanupInterval = std::chrono::seconds(30);

/// Requests without a fingerprint can't be told apart.
constexpr std::uint64_t kNoFingerprint = 0;

}  // namespace

std::vector<TargetCrash> PoisonRequestDetector::OnBrokenAttempt(
    const BrokenAttempt& attempt,
    TimePoint now) {
  std::vector<TargetCrash> crashes;
  if (attempt.fingerprint == kNoFingerprint) {
    return crashes;
  }
  this->RemoveExpired(now);
  RequestRecord& record = this->records[attempt.fingerprint];
  record.last_evidence_at = now;
  record.broken_connections.push_back(
      BrokenConnection{.target = attempt.target,
                       .instance = attempt.instance,
                       .had_response_started = attempt.had_response_started,
                       .at = now});
  this->fingerprints_by_target[attempt.target].insert(attempt.fingerprint);
  const auto other = std::ranges::find_if(
      record.broken_connections, [&](const BrokenConnection& b) {
        return b.target != attempt.target && !b.had_response_started &&
               !attempt.had_response_started && now - b.at < kEvidenceTtl;
      });
  const bool is_second_target = other != record.broken_connections.end();
  const bool is_known_suspect =
      !attempt.had_response_started &&
      std::ranges::any_of(record.crashes, [&](const Crash& c) {
        return c.target != attempt.target;
      });
  if (is_second_target) {
    this->ConfirmCrash(attempt.fingerprint, TargetId(other->target), crashes,
                       now);
  }
  if (is_second_target || is_known_suspect) {
    this->ConfirmCrash(attempt.fingerprint, attempt.target, crashes, now);
  }
  return crashes;
}

std::vector<TargetCrash> PoisonRequestDetector::OnTargetCrashed(
    const TargetId& target,
    std::optional<TargetInstance> instance,
    TimePoint now) {
  std::vector<TargetCrash> crashes;
  const auto found = this->fingerprints_by_target.find(target);
  if (found == this->fingerprints_by_target.end()) {
    return crashes;
  }
  const std::set<std::uint64_t> fingerprints = found->second;
  std::ranges::for_each(fingerprints, [&](std::uint64_t fingerprint) {
    const auto& broken_connections =
        this->records[fingerprint].broken_connections;
    const bool has_crashed =
        std::ranges::any_of(broken_connections, [&](const BrokenConnection& b) {
          return b.target == target && now - b.at < kEvidenceTtl &&
                 (!instance.has_value() || b.instance < *instance);
        });
    if (has_crashed) {
      this->ConfirmCrash(fingerprint, target, crashes, now);
    }
  });
  return crashes;
}

void PoisonRequestDetector::OnCrashReport(const TargetCrash& crash,
                                          TimePoint now) {
  if (crash.fingerprint != kNoFingerprint) {
    this->RemoveExpired(now);
    this->AddCrash(crash, now);
  }
}

void PoisonRequestDetector::OnSuccess(std::uint64_t fingerprint) {
  const auto found = this->records.find(fingerprint);
  if (found == this->records.end() || found->second.blocked_until.has_value()) {
    return;
  }
  std::ranges::for_each(
      found->second.broken_connections, [&](const BrokenConnection& b) {
        this->fingerprints_by_target[b.target].erase(fingerprint);
      });
  this->records.erase(found);
}

bool PoisonRequestDetector::IsSuspect(std::uint64_t fingerprint,
                                      TimePoint now) const {
  const auto found = this->records.find(fingerprint);
  if (found == this->records.end()) {
    return false;
  }
  const RequestRecord& record = found->second;
  const bool has_crash =
      !record.crashes.empty() && now - record.last_evidence_at < kBlockDuration;
  return has_crash || std::ranges::any_of(record.broken_connections,
                                          [&](const BrokenConnection& b) {
                                            return now - b.at < kEvidenceTtl;
                                          });
}

bool PoisonRequestDetector::IsBlocked(std::uint64_t fingerprint,
                                      TimePoint now) const {
  const auto found = this->records.find(fingerprint);
  return found != this->records.end() &&
         found->second.blocked_until.has_value() &&
         now < *found->second.blocked_until;
}

bool PoisonRequestDetector::AddCrash(const TargetCrash& crash, TimePoint now) {
  RequestRecord& record = this->records[crash.fingerprint];
  record.last_evidence_at = now;
  const bool is_known =
      std::ranges::any_of(record.crashes, [&](const Crash& c) {
        return c.target == crash.target && now - c.at < kSameCrashWindow;
      });
  if (is_known) {
    return false;
  }
  record.crashes.push_back(Crash{.target = crash.target, .at = now});
  if (record.crashes.size() >= 2) {
    record.blocked_until = now + kBlockDuration;
  }
  return true;
}

void PoisonRequestDetector::ConfirmCrash(std::uint64_t fingerprint,
                                         const TargetId& target,
                                         std::vector<TargetCrash>& crashes,
                                         TimePoint now) {
  std::erase_if(this->records[fingerprint].broken_connections,
                [&](const BrokenConnection& b) { return b.target == target; });
  this->fingerprints_by_target[target].erase(fingerprint);
  const TargetCrash crash{.fingerprint = fingerprint, .target = target};
  if (this->AddCrash(crash, now)) {
    crashes.push_back(crash);
  }
}

void PoisonRequestDetector::RemoveExpired(TimePoint now) {
  if (now - this->last_cleanup_at < kCleanupInterval) {
    return;
  }
  this->last_cleanup_at = now;
  std::erase_if(this->records, [&](const auto& record) {
    return now - record.second.last_evidence_at >= kBlockDuration;
  });
  std::ranges::for_each(this->fingerprints_by_target | std::views::values,
                        [&](auto& set) {
                          std::erase_if(set, [&](std::uint64_t fingerprint) {
                            return !this->records.contains(fingerprint);
                          });
                        });
}

}  // namespace cicadaloft
