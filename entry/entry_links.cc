#include <algorithm>
#include <chrono>
#include <iterator>
#include <ranges>
#include <vector>

#include "cicadaloft/entry/event_names.h"
#include "entry_core.h"

namespace cicadaloft {
namespace {

/// Targets that were ejected this long before the links of this host were
/// suspected had not failed by themselves.
constexpr Duration kMaxSuspicionDelay = std::chrono::seconds(2);

}  // namespace

void EntryCore::RecordLinks(const OpenRequest& request,
                            const AttemptEnded& ended) {
  const RequestId& id = request.arrival.request;
  switch (ended.outcome) {
    case AttemptOutcome::kNotSent:
      this->reachability.OnFailure(id, request.target,
                                   LinkFailure::kNotConnected, this->now);
      break;
    case AttemptOutcome::kBrokenBeforeResponse:
    case AttemptOutcome::kBrokenDuringResponse:
    case AttemptOutcome::kTimedOut:
      // Also a response that isn't valid.
      if (ended.http_status != 0 && !request.has_response_started) {
        this->reachability.OnSign(id, request.target, this->now);
      } else {
        this->reachability.OnFailure(id, request.target, LinkFailure::kBroken,
                                     this->now);
      }
      break;
    case AttemptOutcome::kMemoryLimit:
    case AttemptOutcome::kCancelled:
      this->reachability.OnEnded(id);
      break;
    case AttemptOutcome::kCompleted:
    case AttemptOutcome::kShed:
    case AttemptOutcome::kOutdatedHost:
    case AttemptOutcome::kNotLoaded:
    case AttemptOutcome::kOtherInstance:
    case AttemptOutcome::kErrorResponse:
    case AttemptOutcome::kOversizedResponse:
      this->reachability.OnSign(id, request.target, this->now);
      break;
  }
  // A suspicion begins with the failure that raises it: that one and those that
  // follow are not blamed on their targets.
  if (this->reachability.links() == TargetLinks::kReached) {
    this->ProbeTargets();
  }
}

void EntryCore::ProbeTargets() {
  if (!this->reachability.IsProbeDue(this->now)) {
    return;
  }
  for (const ProbeTarget& probe :
       this->reachability.StartProbes(this->ProbeCandidates(), this->now)) {
    this->effects.emplace_back(probe);
  }
  this->FollowLinks();
}

// Targets that leave may be gone at any moment.
std::vector<ProbeCandidate> EntryCore::ProbeCandidates() const {
  std::vector<ProbeCandidate> candidates;
  for (const auto& [id, target] : this->targets) {
    const TargetRecord& record = target.record();
    if (!record.is_draining && !target.notices().is_leaving()) {
      candidates.push_back(ProbeCandidate{.target = id,
                                          .address = record.address,
                                          .service = record.service,
                                          .data_centre = record.data_centre});
    }
  }
  return candidates;
}

void EntryCore::Handle(const TargetProbed& probed) {
  this->reachability.OnProbed(probed, this->now);
  this->FollowLinks();
  this->ProbeTargets();
}

void EntryCore::FollowLinks() {
  const TargetLinks before =
      std::exchange(this->followed_links, this->reachability.links());
  if (before == this->followed_links) {
    return;
  }
  if (this->followed_links == TargetLinks::kLost) {
    this->OnTargetsLost();
  } else if (before == TargetLinks::kLost) {
    this->OnTargetsReached();
  } else if (this->followed_links == TargetLinks::kReached) {
    this->ResumeSuspended();
    this->DispatchFromAllQueues();
  }
}

// The links of this host were suspected when the attempts failed.
void EntryCore::ResumeSuspended() {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : this->requests) {
    if (request.suspended_after) {
      ids.push_back(id);
    }
  }
  for (const RequestId& id : ids) {
    OpenRequest& request = this->requests.at(id);
    this->expiries.erase({request.wait_deadline, id});
    const AttemptOutcome outcome = *request.suspended_after;
    request.suspended_after.reset();
    request.delivery_count += this->UsesDetours() ? 0 : 1;
    this->TryRetry(request, outcome, request.delivery_count > 0);
  }
}

void EntryCore::OnTargetsLost() {
  this->Log(event_names::kTargetsLost, RequestId(),
            {{"failed_targets", this->reachability.FailedTargetCount()},
             {"silent_attempts", this->reachability.SilentAttemptCount()},
             {"probes", this->reachability.probe_count()},
             {"reached_ms_ago", this->now - this->reachability.reached_at()},
             {"suspected_ms", this->now - this->reachability.suspected_at()},
             {"waiting", this->WaitingRequestCount()},
             {"helping_hosts", this->helping_hosts.size()}});
  this->effects.emplace_back(
      TargetReachabilityChanged{.reaches_targets = false});
  this->ConfirmHelpingHosts();
  this->ResumeSuspended();
  this->DetourWaitingRequests();
}

void EntryCore::OnTargetsReached() {
  this->Log(event_names::kTargetsReached, RequestId(),
            {{"lost_ms", this->now - this->reachability.lost_at()},
             {"probes", this->reachability.probe_count()},
             {"detours", this->detour_count}});
  this->detour_count = 0;
  this->effects.emplace_back(
      TargetReachabilityChanged{.reaches_targets = true});
  const TimePoint since =
      this->reachability.suspected_at() - kMaxSuspicionDelay;
  for (TargetView& target : this->targets | std::views::values) {
    target.LiftEjection(since);
  }
  this->DispatchFromAllQueues();
}

// Without a host that helps, targets are ejected as ever: requests wait for
// them.
bool EntryCore::AreLinksBlamed() const {
  return this->reachability.links() == TargetLinks::kSuspected ||
         this->UsesDetours();
}

}  // namespace cicadaloft
