#include "cicadaloft/detour/target_reachability.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace cicadaloft {

void TargetReachability::OnSent(const RequestId& request,
                                const TargetId& target,
                                TimePoint now) {
  this->silent.insert_or_assign(
      request, SilentAttempt{.target = target, .sent_at = now});
}

void TargetReachability::OnSign(const RequestId& request,
                                const TargetId& target,
                                TimePoint now) {
  this->silent.erase(request);
  this->signs[target] = now;
  this->last_sign_at = now;
  const auto failure = this->failures.find(target);
  if (failure != this->failures.end() &&
      (failure->second.kind == LinkFailure::kBroken ||
       now - failure->second.last_at >= kFailureWindow)) {
    this->failures.erase(failure);
  }
}

void TargetReachability::OnFailure(const RequestId& request,
                                   const TargetId& target,
                                   LinkFailure failure,
                                   TimePoint now) {
  this->silent.erase(request);
  const auto [entry, is_new] = this->failures.try_emplace(
      target, Failure{.kind = failure, .first_at = now});
  // Failures before the last sign from any target belong to that target alone.
  if (!is_new && entry->second.first_at <= this->last_sign_at) {
    entry->second.first_at = now;
  }
  entry->second.kind = failure;
  entry->second.last_at = now;
  if (failure == LinkFailure::kNotConnected) {
    this->unconnected[target] = now;
  }
}

std::size_t TargetReachability::RequiredTargets() const {
  return std::min<std::size_t>(2, this->target_count);
}

// Whether two targets have failed, or one for some time, without a sign from
// any target since the first failure.
bool TargetReachability::HaveTargetsFailed(TimePoint now) const {
  std::size_t count = 0;
  TimePoint first = TimePoint::max();
  for (const Failure& failure : this->failures | std::views::values) {
    if (failure.last_at > this->last_sign_at) {
      ++count;
      first = std::min(first, std::max(failure.first_at, this->last_sign_at));
    }
  }
  return count > 0 &&
         (count >= this->RequiredTargets() || now - first >= kMaxSilence);
}

// Signs don't count here: they may come on connections that were open before.
bool TargetReachability::HaveNoneConnected(TimePoint now) const {
  const auto count = std::ranges::count_if(
      this->failures | std::views::values, [now](const Failure& failure) {
        return failure.kind == LinkFailure::kNotConnected &&
               now - failure.last_at < kFailureWindow;
      });
  return count > 0 &&
         static_cast<std::size_t>(count) >= this->RequiredTargets();
}

bool TargetReachability::AreTargetsSilent(TimePoint now) const {
  const TimePoint heard_at = std::max(this->last_sign_at, this->ended_at);
  if (this->silent.empty() || now - heard_at < kMaxSilence) {
    return false;
  }
  TimePoint first = TimePoint::max();
  std::set<TargetId> targets;
  for (const SilentAttempt& attempt : this->silent | std::views::values) {
    if (attempt.sent_at >= this->ended_at) {
      first = std::min(first, attempt.sent_at);
      targets.insert(attempt.target);
    }
  }
  if (targets.empty()) {
    return false;
  }
  const Duration silence = now - std::max(heard_at, first);
  return silence >= (targets.size() >= this->RequiredTargets()
                         ? kMaxSilence
                         : kMaxSilenceOfOneTarget);
}

bool TargetReachability::IsProbeDue(TimePoint now) const {
  switch (this->current_links) {
    case TargetLinks::kReached:
      return now - this->current_suspected_at >= kSuspicionInterval &&
             (this->HaveTargetsFailed(now) || this->HaveNoneConnected(now) ||
              this->AreTargetsSilent(now));
    case TargetLinks::kSuspected:
      return this->unanswered.empty() ||
             now - this->current_suspected_at >= kProbeAnswerTimeout;
    case TargetLinks::kLost:
      return now - this->return_probes_at >= kReturnProbeInterval;
  }
  return false;
}

std::vector<ProbeTarget> TargetReachability::StartProbes(
    std::vector<ProbeCandidate> candidates,
    TimePoint now) {
  if (candidates.empty()) {
    this->EndSuspicion(TargetLinks::kReached, now);
    return {};
  }
  switch (this->current_links) {
    case TargetLinks::kReached:
      return this->StartSuspicion(std::move(candidates), now);
    case TargetLinks::kSuspected:
      return this->StartFurtherProbes(std::move(candidates), now);
    case TargetLinks::kLost:
      return this->StartReturnProbes(candidates, now);
  }
  return {};
}

void TargetReachability::Annotate(std::vector<ProbeCandidate>& candidates,
                                  TimePoint now) {
  const auto at = [](const auto& times, const TargetId& target) {
    const auto found = times.find(target);
    return found == times.end() ? TimePoint{} : found->second;
  };
  std::map<TargetId, TimePoint> kept_signs;
  std::map<TargetId, TimePoint> kept_unconnected;
  for (ProbeCandidate& candidate : candidates) {
    const TargetId& target = candidate.target;
    candidate.reached_at = at(this->signs, target);
    const TimePoint unconnected_at = at(this->unconnected, target);
    const auto failure = this->failures.find(target);
    candidate.has_failed = (failure != this->failures.end() &&
                            failure->second.last_at > candidate.reached_at) ||
                           (unconnected_at != TimePoint{} &&
                            now - unconnected_at < kUnconnectedTtl);
    kept_signs.emplace(target, candidate.reached_at);
    kept_unconnected.emplace(target, unconnected_at);
  }
  this->signs = std::move(kept_signs);
  this->unconnected = std::move(kept_unconnected);
}

std::vector<ProbeTarget> TargetReachability::StartSuspicion(
    std::vector<ProbeCandidate> candidates,
    TimePoint now) {
  this->Annotate(candidates, now);
  this->current_links = TargetLinks::kSuspected;
  this->current_suspected_at = now;
  this->probed.clear();
  this->unanswered.clear();
  this->has_further_probes = false;
  this->probes_sent = 0;
  return this->MakeProbes(std::move(candidates), kFirstProbes);
}

std::vector<ProbeTarget> TargetReachability::StartFurtherProbes(
    std::vector<ProbeCandidate> candidates,
    TimePoint now) {
  if (!this->unanswered.empty()) {
    // Probes that nobody has answered show nothing.
    this->EndSuspicion(TargetLinks::kReached, now);
    return {};
  }
  this->has_further_probes = true;
  this->Annotate(candidates, now);
  std::erase_if(candidates, [this](const ProbeCandidate& candidate) {
    return this->probed.contains(candidate.target);
  });
  if (candidates.empty()) {
    this->EndSuspicion(TargetLinks::kLost, now);
    return {};
  }
  return this->MakeProbes(std::move(candidates), kFurtherProbes);
}

std::vector<ProbeTarget> TargetReachability::MakeProbes(
    std::vector<ProbeCandidate> candidates,
    std::size_t count) {
  std::vector<ProbeTarget> probes;
  for (const ProbeCandidate& chosen :
       ChooseProbes(std::move(candidates), count)) {
    this->probed.insert(chosen.target);
    this->unanswered.insert(chosen.target);
    probes.push_back(
        ProbeTarget{.target = chosen.target, .address = chosen.address});
  }
  this->probes_sent += probes.size();
  return probes;
}

// A target that was reached is probed again, and others in turn.
std::vector<ProbeTarget> TargetReachability::StartReturnProbes(
    const std::vector<ProbeCandidate>& candidates,
    TimePoint now) {
  this->return_probes_at = now;
  std::map<TargetId, std::string> addresses;
  for (const ProbeCandidate& candidate : candidates) {
    addresses.emplace(candidate.target, candidate.address);
  }
  std::vector<ProbeTarget> probes;
  const auto again = this->last_reached ? addresses.find(*this->last_reached)
                                        : addresses.end();
  if (again != addresses.end()) {
    probes.push_back(
        ProbeTarget{.target = again->first, .address = again->second});
  }
  const std::size_t count = std::min(kReturnProbes, addresses.size());
  auto next = addresses.upper_bound(this->last_probed);
  while (probes.size() < count) {
    next = next == addresses.end() ? addresses.begin() : next;
    if (next != again) {
      this->last_probed = next->first;
      probes.push_back(
          ProbeTarget{.target = next->first, .address = next->second});
    }
    ++next;
  }
  this->probes_sent += probes.size();
  return probes;
}

void TargetReachability::OnProbed(const TargetProbed& probed, TimePoint now) {
  if (probed.is_reached) {
    this->signs[probed.target] = now;
    this->unconnected.erase(probed.target);
  }
  switch (this->current_links) {
    case TargetLinks::kReached:
      break;
    case TargetLinks::kSuspected:
      this->OnSuspectProbed(probed, now);
      break;
    case TargetLinks::kLost:
      this->OnLostProbed(probed, now);
      break;
  }
}

void TargetReachability::OnSuspectProbed(const TargetProbed& probed,
                                         TimePoint now) {
  if (this->unanswered.erase(probed.target) == 0) {
    return;
  }
  if (probed.is_reached) {
    this->EndSuspicion(TargetLinks::kReached, now);
  } else if (this->unanswered.empty() && this->has_further_probes) {
    this->EndSuspicion(TargetLinks::kLost, now);
  }
}

void TargetReachability::OnLostProbed(const TargetProbed& probed,
                                      TimePoint now) {
  if (!probed.is_reached) {
    if (this->last_reached == probed.target) {
      this->last_reached.reset();
    }
    return;
  }
  this->last_reached = probed.target;
  this->successes.push_back(now);
  while (now - this->successes.front() > kReturnWindow) {
    this->successes.pop_front();
  }
  if (this->successes.size() >= kSuccessesToReturn) {
    this->EndSuspicion(TargetLinks::kReached, now);
  }
}

// What was observed before it is settled by the probes.
void TargetReachability::EndSuspicion(TargetLinks links, TimePoint now) {
  this->current_links = links;
  this->probed.clear();
  this->unanswered.clear();
  this->ended_at = now;
  this->successes.clear();
  this->last_reached.reset();
  if (links == TargetLinks::kLost) {
    this->current_lost_at = now;
    this->return_probes_at = now;
    return;
  }
  this->last_sign_at = now;
  this->failures.clear();
}

}  // namespace cicadaloft
