#include <algorithm>
#include <chrono>
#include <cstdint>
#include <numeric>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/entry/event_names.h"
#include "entry_core.h"

namespace cicadaloft {
namespace {

/// Bounds the length of a log line.
constexpr std::size_t kMaxLoggedHashes = 32;

/// Evidence kept until the registry shows whether targets have ended.
constexpr std::size_t kMaxDoubtfulEvidence = 64;

/// How much later than its links are back a host learns from the registry that
/// a target's process has ended.
constexpr Duration kMaxRegistryDelay = std::chrono::seconds(5);

bool IsConnectionBroken(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kBrokenBeforeResponse ||
         outcome == AttemptOutcome::kBrokenDuringResponse;
}

std::string JoinHashes(const std::vector<std::uint64_t>& hashes) {
  const auto first = hashes | std::views::take(kMaxLoggedHashes);
  return std::accumulate(first.begin(), first.end(), std::string(),
                         [](std::string text, std::uint64_t hash) {
                           text +=
                               (text.empty() ? "" : ",") + std::to_string(hash);
                           return text;
                         });
}

// @return the fingerprints of the request that broke earliest.
Fingerprints EarliestBroken(const CrashEvidence& evidence) {
  return evidence.requests.empty() ? Fingerprints()
                                   : evidence.requests.front().fingerprints;
}

}  // namespace

void EntryCore::RecordPoisonEvidence(const OpenRequest& request,
                                     const AttemptEnded& ended) {
  if (IsConnectionBroken(ended.outcome)) {
    this->Log(
        event_names::kAttemptBroken, request.arrival.caller_request_id,
        {{"target", request.target.value()},
         {"model", request.ModelText()},
         {"content", request.arrival.fingerprint},
         {"segments", request.arrival.prompt_segments.size()},
         {"prompt_segments", JoinHashes(request.arrival.prompt_segments)}});
    this->poison_guard.OnBroken(
        request.fingerprints,
        BrokenAttempt{.target = request.target,
                      .instance = request.instance,
                      .response_bytes = ended.response_bytes},
        this->now);
    return;
  }
  if (ended.outcome == AttemptOutcome::kNotSent) {
    this->poison_guard.OnUnreachable(request.target, request.instance,
                                     this->now);
    return;
  }
  // A target may send an error without having run the request.
  constexpr int kRedirection = 300;
  if (ended.outcome == AttemptOutcome::kCompleted &&
      ended.http_status < kRedirection) {
    this->poison_guard.OnResponse(request.fingerprints, this->now);
  }
}

void EntryCore::ReportPoisonEvidence() {
  switch (this->reachability.links()) {
    case TargetLinks::kReached:
      for (CrashEvidence& evidence : this->poison_guard.TakeEvidence()) {
        this->ReportEvidence(std::move(evidence));
      }
      break;
    case TargetLinks::kSuspected:
      break;
    case TargetLinks::kLost:
      for (CrashEvidence& evidence : this->poison_guard.TakeEvidence()) {
        if (this->doubtful_evidence.size() < kMaxDoubtfulEvidence) {
          this->doubtful_evidence.emplace_back(this->now, std::move(evidence));
        }
      }
      break;
  }
  this->SettleDoubtfulEvidence();
  if (auto refutation = this->poison_guard.TakeRefutation()) {
    this->Log(event_names::kPoisonRefuted, RequestId(),
              {{"fingerprints", Describe(refutation->fingerprints)},
               {"served_before", Describe(refutation->served_before)}});
    this->effects.emplace_back(std::move(*refutation));
  }
}

void EntryCore::ReportEvidence(CrashEvidence evidence) {
  this->Log(event_names::kTargetCrash, RequestId(),
            {{"target", evidence.target.value()},
             {"instance", evidence.instance.value()},
             {"unreachable", evidence.is_unreachable ? "yes" : "no"},
             {"requests", evidence.requests.size()},
             {"fingerprints", Describe(EarliestBroken(evidence))}});
  this->effects.emplace_back(std::move(evidence));
}

// A host that has lost its links loses all targets, and that it can't connect
// shows nothing. Targets may have crashed all the same; the registry shows it.
void EntryCore::SettleDoubtfulEvidence() {
  const bool is_over =
      this->reachability.links() == TargetLinks::kReached &&
      this->now - this->reachability.settled_at() >= kMaxRegistryDelay;
  std::erase_if(this->doubtful_evidence, [&](const auto& item) {
    const auto& [at, evidence] = item;
    const auto target = this->targets.find(evidence.target);
    const bool has_ended = target == this->targets.end() ||
                           target->second.record().instance > evidence.instance;
    if (has_ended) {
      this->ReportEvidence(CrashEvidence{.target = evidence.target,
                                         .instance = evidence.instance,
                                         .requests = evidence.requests,
                                         .age = this->now - at});
    }
    return has_ended || is_over;
  });
}

std::optional<Error> EntryCore::CheckPoison(const OpenRequest& request) const {
  const auto blocked =
      this->poison_guard.FindBlocked(request.fingerprints, this->now);
  if (!blocked) {
    return std::nullopt;
  }
  return MakeError(ErrorKind::kPoisonRequest,
                   "several targets have crashed while they ran requests with "
                   "the fingerprints " +
                       Describe(*blocked));
}

void EntryCore::Handle(const PoisonSuspects& suspects) {
  this->poison_guard.OnSuspects(suspects, this->now);
}

void EntryCore::Handle(const PoisonBlock& block) {
  if (!this->poison_guard.OnBlock(block, this->now)) {
    return;
  }
  this->Log(event_names::kPoisonBlock, RequestId(),
            {{"fingerprints", Describe(block.fingerprints)},
             {"remaining_ms", block.remaining}});
  std::vector<std::pair<RequestId, Error>> blocked;
  for (const auto& [id, request] : this->requests) {
    const auto error =
        request.is_running ? std::nullopt : this->CheckPoison(request);
    if (error) {
      blocked.emplace_back(id, *error);
    }
  }
  for (const auto& [id, error] : blocked) {
    const OpenRequest& request = this->requests.at(id);
    this->RefuseOpenRequest(request, error);
    this->Close(request);
  }
}

}  // namespace cicadaloft
