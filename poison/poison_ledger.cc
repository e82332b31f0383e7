#include "cicadaloft/poison/poison_ledger.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <ranges>
#include <tuple>

namespace cicadaloft {
namespace {

/// A fingerprint is a suspect from this number of crashes on.
constexpr std::size_t kMinCrashesOfSuspect = 2;

/// What many requests share takes part in many crashes by chance.
std::size_t MinCrashesToBlock(FingerprintKind kind) {
  switch (kind) {
    case FingerprintKind::kContent:
      return 2;
    case FingerprintKind::kStartedContent:
    case FingerprintKind::kPromptSegment:
    case FingerprintKind::kAdapter:
      return 3;
    case FingerprintKind::kModel:
    case FingerprintKind::kPath:
      return 4;
  }
  return 4;
}

/// Order of fingerprints with the same crashes. A request that was retried
/// takes part in several crashes by chance, so its content comes after its
/// segments.
int Rank(FingerprintKind kind) {
  return kind == FingerprintKind::kPromptSegment ? -1 : static_cast<int>(kind);
}

/// @return a digest of a sequence of request numbers.
std::uint64_t ExtendDigest(std::uint64_t digest, std::uint64_t number) {
  // The multiplier and the offset of the 64-bit FNV-1a hash.
  constexpr std::uint64_t kMultiplier = 1'099'511'628'211U;
  constexpr std::uint64_t kOffset = 14'695'981'039'346'656'037U;
  return (digest ^ (number + kOffset)) * kMultiplier;
}

}  // namespace

void PoisonLedger::OnEvidence(const HostId& host,
                              const CrashEvidence& evidence,
                              TimePoint now) {
  const TimePoint at =
      now - std::clamp<Duration>(evidence.age, Duration::zero(), kCrashTtl);
  const auto [entry, is_new] =
      this->crashes.try_emplace(Process(evidence.target, evidence.instance));
  Crash& crash = entry->second;
  crash.at = is_new ? at : std::min(crash.at, at);
  crash.hosts.insert(host);
  crash.is_unreachable |= evidence.is_unreachable;
  // A single host may have lost its connections for a reason of its own.
  crash.is_confirmed |= crash.is_unreachable && crash.hosts.size() >= 2;
  for (const BrokenRequest& request : evidence.requests) {
    if (const auto block = this->blocks.Find(request.fingerprints, now)) {
      crash.explained_by = *block;
    }
    crash.requests.push_back(Request{.fingerprints = request.fingerprints,
                                     .response_bytes = request.response_bytes});
  }
  this->is_changed |=
      !evidence.requests.empty() || is_new || crash.is_confirmed;
  this->RemoveOldestCrashes();
}

std::size_t PoisonLedger::CountFingerprints() const {
  std::size_t count = 0;
  for (const Crash& crash : this->crashes | std::views::values) {
    for (const Request& request : crash.requests) {
      count += request.fingerprints.size();
    }
  }
  return count;
}

// Unreachable targets under which no request broke say least.
void PoisonLedger::RemoveOldestCrashes() {
  while (this->crashes.size() > kMaxCrashes ||
         (this->crashes.size() > 1 &&
          this->CountFingerprints() > kMaxFingerprints)) {
    this->crashes.erase(
        std::ranges::min_element(this->crashes, {}, [](const auto& item) {
          return std::pair(!item.second.requests.empty(), item.second.at);
        }));
  }
}

std::vector<PoisonBlock> PoisonLedger::OnRefutation(
    const PoisonRefutation& refutation,
    TimePoint now) {
  std::vector<PoisonBlock> lifted;
  for (const Fingerprint& fingerprint : refutation.fingerprints) {
    this->Forget(fingerprint);
    for (const PoisonBlock& block : this->blocks.List(now)) {
      if (!std::ranges::binary_search(block.fingerprints, fingerprint)) {
        continue;
      }
      const PoisonBlock lift{.fingerprints = block.fingerprints};
      this->blocks.Apply(lift, now);
      lifted.push_back(lift);
      // Something else has caused the crashes that the block explained.
      for (Crash& crash : this->crashes | std::views::values) {
        if (crash.explained_by == block.fingerprints) {
          crash.explained_by.clear();
        }
      }
    }
  }
  std::ranges::copy_if(
      refutation.served_before,
      std::inserter(this->served_before, this->served_before.end()),
      [this](const Fingerprint& fingerprint) {
        return this->suspected_at.contains(fingerprint);
      });
  this->is_changed = true;
  return lifted;
}

PoisonLedger::Decisions PoisonLedger::DecideByCrashes(TimePoint now) {
  const std::size_t expired = std::erase_if(
      this->crashes,
      [&](const auto& entry) { return now - entry.second.at >= kCrashTtl; });
  Decisions decisions;
  const bool is_question_over = std::ranges::any_of(
      this->suspected_at | std::views::values, [&](TimePoint at) {
        const auto has_ended = [&](TimePoint end) {
          return end > this->decided_at && end <= now;
        };
        return has_ended(at + kRefutationTime) ||
               has_ended(at + kAmbiguityTime);
      });
  const bool is_due = expired != 0 || this->is_changed || is_question_over;
  if (!is_due || now - this->decided_at < kDecisionInterval) {
    return decisions;
  }
  this->decided_at = now;
  this->is_changed = false;
  const Tallies tallies = this->CountCrashes();
  std::erase_if(this->suspected_at, [&](const auto& entry) {
    return !tallies.contains(entry.first);
  });
  std::erase_if(this->served_before, [&](const Fingerprint& fingerprint) {
    return !tallies.contains(fingerprint);
  });
  this->AddSuspects(tallies, decisions, now);
  this->AddBlocks(tallies, decisions, now);
  return decisions;
}

PoisonLedger::Tallies PoisonLedger::CountCrashes() const {
  std::vector<const Crash*> by_time;
  std::ranges::transform(this->crashes | std::views::values,
                         std::back_inserter(by_time),
                         [](const Crash& crash) { return &crash; });
  std::ranges::sort(by_time, {}, &Crash::at);
  Tallies tallies;
  std::uint64_t request_number = 0;
  for (const Crash* crash : by_time) {
    for (const Request& request : crash->requests) {
      ++request_number;
      for (const Fingerprint& fingerprint : request.fingerprints) {
        // The same content seldom breaks several connections by chance.
        if (crash->is_confirmed ||
            fingerprint.kind == FingerprintKind::kContent) {
          tallies[fingerprint].Add(*crash, request, request_number);
        }
      }
    }
  }
  for (const Fingerprint& fingerprint : this->served_before) {
    const auto found = tallies.find(fingerprint);
    if (found != tallies.end()) {
      found->second.was_served = true;
    }
  }
  return tallies;
}

void PoisonLedger::Tally::Add(const Crash& crash,
                              const Request& request,
                              std::uint64_t request_number) {
  ++this->requests;
  this->max_response_bytes =
      std::max(this->max_response_bytes, request.response_bytes);
  this->requests_digest = ExtendDigest(this->requests_digest, request_number);
  if (this->last_crash == &crash) {
    return;
  }
  this->last_crash = &crash;
  const bool is_first = this->crashes == 0;
  ++this->crashes;
  this->unexplained += crash.explained_by.empty() ? 1 : 0;
  this->first_at = is_first ? crash.at : this->first_at;
  if (is_first || crash.at - this->last_moment_at >= kSameMoment) {
    ++this->moments;
    this->last_moment_at = crash.at;
  }
}

void PoisonLedger::AddSuspects(const Tallies& tallies,
                               Decisions& decisions,
                               TimePoint now) {
  for (const auto& [fingerprint, tally] : tallies) {
    const bool is_new_suspect = tally.crashes >= kMinCrashesOfSuspect &&
                                tally.unexplained > 0 &&
                                !this->suspected_at.contains(fingerprint);
    if (is_new_suspect && decisions.suspects.size() == kMaxSuspectsPerMessage) {
      this->is_changed = true;  // The others follow in the next message.
      return;
    }
    if (is_new_suspect) {
      this->suspected_at.emplace(fingerprint, now);
      decisions.suspects.push_back(SuspectFingerprint{
          .fingerprint = fingerprint, .age = now - tally.first_at});
    }
  }
}

void PoisonLedger::AddBlocks(const Tallies& tallies,
                             Decisions& decisions,
                             TimePoint now) {
  const auto best = BestExplanations(tallies);
  if (best.empty() || !this->IsQuestionOver(*best.front(), tallies, now)) {
    return;
  }
  // Those in the same requests make up one block.
  std::map<std::uint64_t, Fingerprints> by_requests;
  for (const Candidate* candidate : best) {
    Fingerprints& block = by_requests[candidate->second.requests_digest];
    if (block.size() < kMaxFingerprintsPerBlock) {
      block.push_back(candidate->first);
    }
  }
  for (const Fingerprints& fingerprints : by_requests | std::views::values) {
    this->Block(fingerprints);
    const PoisonBlock block{.fingerprints = fingerprints,
                            .remaining = by_requests.size() == 1
                                             ? kPoisonBlockDuration
                                             : kAmbiguousBlockDuration};
    this->blocks.Apply(block, now);
    decisions.blocks.push_back(block);
  }
  this->is_changed = true;
}

std::vector<const PoisonLedger::Candidate*> PoisonLedger::BestExplanations(
    const Tallies& tallies) {
  // What was served before comes last. Its requests began on sound targets, and
  // a request that crashes them breaks early; what is in fewer requests is the
  // narrower block.
  const auto weakness = [](const Candidate& candidate) {
    const Tally& tally = candidate.second;
    return std::tuple(tally.was_served,
                      -static_cast<std::int64_t>(tally.moments),
                      -static_cast<std::int64_t>(tally.crashes),
                      tally.max_response_bytes, tally.requests);
  };
  const auto is_candidate = [](const Candidate& entry) {
    return entry.second.unexplained > 0 &&
           entry.second.crashes >= kMinCrashesOfSuspect;
  };
  auto candidates = tallies | std::views::filter(is_candidate);
  const auto best =
      std::ranges::min_element(candidates, {}, [&](const Candidate& candidate) {
        return std::pair(weakness(candidate), Rank(candidate.first.kind));
      });
  std::vector<const Candidate*> equal;
  if (best == candidates.end()) {
    return equal;
  }
  for (const Candidate& candidate : candidates) {
    const bool is_in_same_requests =
        candidate.second.requests_digest == best->second.requests_digest &&
        candidate.second.was_served == best->second.was_served;
    if (is_in_same_requests ||
        (weakness(candidate) == weakness(*best) &&
         Rank(candidate.first.kind) == Rank(best->first.kind))) {
      equal.push_back(&candidate);
    }
  }
  return std::ranges::any_of(equal, HasEnoughCrashes)
             ? equal
             : std::vector<const Candidate*>();
}

bool PoisonLedger::HasEnoughCrashes(const Candidate* candidate) {
  const auto& [fingerprint, tally] = *candidate;
  return tally.moments >= MinCrashesToBlock(fingerprint.kind) ||
         (tally.crashes >= kMinCrashesAtOneMoment && !tally.was_served &&
          !IsContent(fingerprint.kind));
}

bool PoisonLedger::HasRival(const Candidate& best, const Tallies& tallies) {
  const auto strength = [](const Tally& tally) {
    return std::tuple(tally.was_served, tally.moments, tally.crashes,
                      tally.max_response_bytes);
  };
  return std::ranges::any_of(tallies, [&](const Candidate& other) {
    return other.first != best.first && !IsContent(other.first.kind) &&
           strength(other.second) == strength(best.second);
  });
}

bool PoisonLedger::IsQuestionOver(const Candidate& best,
                                  const Tallies& tallies,
                                  TimePoint now) const {
  const auto suspected = this->suspected_at.find(best.first);
  return suspected != this->suspected_at.end() &&
         now - suspected->second >=
             (HasRival(best, tallies) ? kAmbiguityTime : kRefutationTime);
}

// The crashes that are explained count for no other fingerprint, unless that
// was in all of them.
void PoisonLedger::Block(const Fingerprints& fingerprints) {
  std::size_t explained = 0;
  std::map<Fingerprint, std::size_t> shared;
  for (Crash& crash : this->crashes | std::views::values) {
    const bool is_explained =
        std::ranges::any_of(crash.requests, [&](const Request& request) {
          return std::ranges::includes(request.fingerprints, fingerprints);
        });
    if (!is_explained) {
      continue;
    }
    ++explained;
    crash.explained_by = fingerprints;
    std::set<Fingerprint> present;
    for (const Request& request : crash.requests) {
      present.insert(request.fingerprints.begin(), request.fingerprints.end());
    }
    std::ranges::for_each(present,
                          [&](const Fingerprint& other) { ++shared[other]; });
  }
  for (Crash& crash : this->crashes | std::views::values) {
    if (crash.explained_by != fingerprints) {
      continue;
    }
    for (Request& request : crash.requests) {
      std::erase_if(request.fingerprints, [&](const Fingerprint& other) {
        return shared[other] < explained;
      });
    }
  }
}

void PoisonLedger::Forget(const Fingerprint& fingerprint) {
  for (Crash& crash : this->crashes | std::views::values) {
    for (Request& request : crash.requests) {
      std::erase(request.fingerprints, fingerprint);
    }
  }
  this->suspected_at.erase(fingerprint);
  this->served_before.erase(fingerprint);
}

}  // namespace cicadaloft
