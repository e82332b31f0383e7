#include "cicadaloft/routing/poison_request_detector.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace cicadaloft {
namespace {

constexpr Duration kCleanInterval = std::chrono::seconds(30);

/// Callers that give no fingerprint can't be told apart.
constexpr std::uint64_t kNoFingerprint = 0;

}  // namespace

std::vector<TargetCrash> PoisonRequestDetector::OnBrokenAttempt(
    const BrokenAttempt& run,
    TimePoint now) {
  std::vector<TargetCrash> deaths;
  if (run.fingerprint == kNoFingerprint) {
    return deaths;
  }
  this->DropOld(now);
  Record& record = this->records[run.fingerprint];
  record.last = now;
  record.broken.push_back(
      Broken{.target = run.target,
             .instance = run.instance,
             .had_response_started = run.had_response_started,
             .at = now});
  this->broken_on[run.target].insert(run.fingerprint);
  const auto other = std::ranges::find_if(record.broken, [&](const Broken& b) {
    return b.target != run.target && !b.had_response_started &&
           !run.had_response_started && now - b.at < kEvidenceTtl;
  });
  const bool is_second_target = other != record.broken.end();
  const bool is_known_suspect =
      !run.had_response_started &&
      std::ranges::any_of(record.deaths, [&](const Death& d) {
        return d.target != run.target;
      });
  if (is_second_target) {
    this->Confirm(run.fingerprint, TargetId(other->target), deaths, now);
  }
  if (is_second_target || is_known_suspect) {
    this->Confirm(run.fingerprint, run.target, deaths, now);
  }
  return deaths;
}

std::vector<TargetCrash> PoisonRequestDetector::OnTargetCrashed(
    const TargetId& target,
    std::optional<TargetInstance> instance,
    TimePoint now) {
  std::vector<TargetCrash> deaths;
  const auto found = this->broken_on.find(target);
  if (found == this->broken_on.end()) {
    return deaths;
  }
  const std::set<std::uint64_t> fingerprints = found->second;
  std::ranges::for_each(fingerprints, [&](std::uint64_t fingerprint) {
    const auto& broken = this->records[fingerprint].broken;
    const bool has_died = std::ranges::any_of(broken, [&](const Broken& b) {
      return b.target == target && now - b.at < kEvidenceTtl &&
             (!instance.has_value() || b.instance < *instance);
    });
    if (has_died) {
      this->Confirm(fingerprint, target, deaths, now);
    }
  });
  return deaths;
}

void PoisonRequestDetector::OnCrashReport(const TargetCrash& death,
                                          TimePoint now) {
  if (death.fingerprint != kNoFingerprint) {
    this->DropOld(now);
    this->AddDeath(death, now);
  }
}

void PoisonRequestDetector::OnSuccess(std::uint64_t fingerprint) {
  const auto found = this->records.find(fingerprint);
  if (found == this->records.end() || found->second.barred_until.has_value()) {
    return;
  }
  std::ranges::for_each(found->second.broken, [&](const Broken& b) {
    this->broken_on[b.target].erase(fingerprint);
  });
  this->records.erase(found);
}

bool PoisonRequestDetector::IsSuspect(std::uint64_t fingerprint,
                                      TimePoint now) const {
  const auto found = this->records.find(fingerprint);
  if (found == this->records.end()) {
    return false;
  }
  const Record& record = found->second;
  const bool has_death =
      !record.deaths.empty() && now - record.last < kBlockDuration;
  return has_death || std::ranges::any_of(record.broken, [&](const Broken& b) {
           return now - b.at < kEvidenceTtl;
         });
}

bool PoisonRequestDetector::IsBlocked(std::uint64_t fingerprint,
                                      TimePoint now) const {
  const auto found = this->records.find(fingerprint);
  return found != this->records.end() &&
         found->second.barred_until.has_value() &&
         now < *found->second.barred_until;
}

bool PoisonRequestDetector::AddDeath(const TargetCrash& death, TimePoint now) {
  Record& record = this->records[death.fingerprint];
  record.last = now;
  const bool is_known = std::ranges::any_of(record.deaths, [&](const Death& d) {
    return d.target == death.target && now - d.at < kSameCrashWindow;
  });
  if (is_known) {
    return false;
  }
  record.deaths.push_back(Death{.target = death.target, .at = now});
  if (record.deaths.size() >= 2) {
    record.barred_until = now + kBlockDuration;
  }
  return true;
}

void PoisonRequestDetector::Confirm(std::uint64_t fingerprint,
                                    const TargetId& target,
                                    std::vector<TargetCrash>& deaths,
                                    TimePoint now) {
  std::erase_if(this->records[fingerprint].broken,
                [&](const Broken& b) { return b.target == target; });
  this->broken_on[target].erase(fingerprint);
  const TargetCrash death{.fingerprint = fingerprint, .target = target};
  if (this->AddDeath(death, now)) {
    deaths.push_back(death);
  }
}

void PoisonRequestDetector::DropOld(TimePoint now) {
  if (now - this->cleaned < kCleanInterval) {
    return;
  }
  this->cleaned = now;
  std::erase_if(this->records, [&](const auto& record) {
    return now - record.second.last >= kBlockDuration;
  });
  std::ranges::for_each(this->broken_on | std::views::values, [&](auto& set) {
    std::erase_if(set, [&](std::uint64_t fingerprint) {
      return !this->records.contains(fingerprint);
    });
  });
}

}  // namespace cicadaloft
