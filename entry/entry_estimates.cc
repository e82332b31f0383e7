#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "cicadaloft/entry/event_names.h"
#include "entry_core.h"

namespace cicadaloft {
namespace {

/// Interval at which the waits of all requests of a queue are estimated again.
constexpr Duration kEstimateInterval = std::chrono::milliseconds(100);

/// A load that is expected to take a time takes at least this fraction of it.
constexpr double kMinLoadTimeFraction = 0.8;

std::string MillisecondsText(Duration time) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(time)
                 .count()) +
         " ms";
}

}  // namespace

std::optional<TimePoint> EntryCore::ExpectedReadyAt(const QueueKey& key) const {
  if (!key.model) {
    return std::nullopt;
  }
  return this->model_locations.ExpectedReadyAt(
      *key.model, this->now,
      [&](const TargetId& id) { return this->HasVersionFor(key, id); });
}

// Estimates are made only where no other capacity can be expected than that
// which has served the queue lately.
EntryCore::EstimateBasis EntryCore::EstimateBasisOf(
    const QueueKey& key,
    const Candidates& candidates) const {
  const auto may_return = [this](const TargetView* target) {
    return target->ejection().IsEjected(this->now) ||
           target->notices().IsResting(this->now) ||
           this->NeedsWarmupPermit(*target);
  };
  if (this->HasCapacity(candidates) ||
      std::ranges::any_of(candidates, may_return)) {
    return {};
  }
  const bool is_served = std::ranges::any_of(
      candidates,
      [this](const TargetView* target) { return this->IsUsable(*target); });
  const auto load_end = this->ExpectedReadyAt(key);
  return EstimateBasis{.is_rate_known = is_served && !load_end,
                       .load_end = is_served ? std::nullopt : load_end};
}

std::optional<Duration> EntryCore::MinWait(const OpenRequest& request,
                                           const WaitQueue& queue,
                                           const LinePosition& position,
                                           const EstimateBasis& basis) const {
  if (basis.load_end) {
    return std::chrono::duration_cast<Duration>((*basis.load_end - this->now) *
                                                kMinLoadTimeFraction);
  }
  return basis.is_rate_known
             ? queue.progress.MinWait(
                   position, request.wait_deadline - this->now, this->now)
             : std::nullopt;
}

// Refuses the waiting requests of a ranked service that can't be served within
// the time for which they may wait.
void EntryCore::UpdateEstimates(const QueueKey& key,
                                const Candidates& candidates) {
  const auto found = this->queues.find(key);
  if (found == this->queues.end() ||
      !this->ranked_services.contains(key.service)) {
    return;
  }
  WaitQueue& queue = found->second;
  const auto& items = queue.requests.ranked_items();
  queue.progress.Update(items.Lines(this->now), this->now);
  if (this->now - queue.estimated_at < kEstimateInterval) {
    return;
  }
  queue.estimated_at = this->now;
  const EstimateBasis basis = this->EstimateBasisOf(key, candidates);
  std::vector<std::pair<RequestId, Duration>> hopeless;
  std::map<QueueLine, std::size_t> refused;
  items.VisitPositions(
      this->now, [&](const RequestId& id, LinePosition position) {
        const OpenRequest& request = this->requests.at(id);
        std::size_t& refused_ahead = refused[position.line];
        position.ahead -= refused_ahead;
        const auto wait = this->MinWait(request, queue, position, basis);
        if (IsHopeless(request, wait, this->now)) {
          hopeless.emplace_back(id, *wait);
          ++refused_ahead;
        }
      });
  for (const auto& [id, wait] : hopeless) {
    this->RefuseHopeless(this->requests.at(id), wait);
  }
}

bool EntryCore::IsHopeless(const OpenRequest& request,
                           const std::optional<Duration>& min_wait,
                           TimePoint now) {
  return min_wait && request.run_count == 0 &&
         *min_wait > request.wait_deadline - now;
}

void EntryCore::RefuseHopeless(OpenRequest& request, Duration min_wait) {
  request.is_hopeless = true;
  const Duration left = request.wait_deadline - this->now;
  this->Log(event_names::kRefuseEarly, request.arrival.caller_request_id,
            {{"rank", request.RankText()},
             {"model", request.ModelText()},
             {"estimate_ms", min_wait},
             {"left_ms", left},
             {"waited_ms", this->now - request.arrived_at}});
  this->RefuseOpenRequest(
      request,
      MakeError(ErrorKind::kNoCapacity,
                "no target can accept the request for at least " +
                    MillisecondsText(min_wait) + ", and it may wait only " +
                    MillisecondsText(left) + " more"));
  this->Close(request);
}

// Chooses when the caller of a request to a ranked service should return: when
// capacity is expected for it, but within a third of the time that it has left,
// since callers wait no longer.
Duration EntryCore::RankedRetryAfter(const OpenRequest& request,
                                     Duration min_wait) {
  const Duration limit =
      std::max(Duration::zero(), (request.response_deadline - this->now) / 3);
  const auto queue = this->queues.find(request.queue_key);
  const auto position =
      queue == this->queues.end()
          ? std::nullopt
          : queue->second.requests.ranked_items().PositionOf(
                *request.ranked_place, request.CustomerIdOrEmpty(), this->now);
  const auto wait = position ? queue->second.progress.ReserveReturn(
                                   *position, limit, this->now)
                             : std::nullopt;
  // If nothing is known, waiting in the queue is best, unless it is in vain.
  const Duration unknown_wait = request.is_hopeless ? limit : Duration::zero();
  return std::min(limit, std::max(min_wait, wait.value_or(unknown_wait)));
}

// Estimates the wait of a request that has just been queued.
// @return whether it was refused.
bool EntryCore::EstimateWait(OpenRequest& request) {
  const QueueKey& key = request.queue_key;
  const auto queue = this->queues.find(key);
  if (!request.ranked_place || queue == this->queues.end()) {
    return false;
  }
  const auto position = queue->second.requests.ranked_items().PositionOf(
      *request.ranked_place, request.CustomerIdOrEmpty(), this->now);
  if (!position) {
    return false;
  }
  request.expected_wait =
      queue->second.progress.ExpectedWait(*position, this->now);
  const auto wait =
      this->MinWait(request, queue->second, *position,
                    this->EstimateBasisOf(key, this->CandidatesFor(key)));
  if (!IsHopeless(request, wait, this->now)) {
    return false;
  }
  this->RefuseHopeless(request, *wait);
  return true;
}

}  // namespace cicadaloft
