#include <algorithm>
#include <ranges>
#include <utility>

#include "cicadaloft/entry/event_names.h"
#include "entry_core.h"

namespace cicadaloft {
namespace {

/// Prefill speed of targets, for the order within a rank; about that of all
/// models.
constexpr double kPrefillTokensPerMillisecond = 40;

/// Fraction of the latency objective by which a request has to be sent to be on
/// time, without its own prefill. The remainder is for what the target does
/// meanwhile: its own queue, and prefill of other requests.
constexpr double kMaxStartFraction = 0.75;

}  // namespace

void EntryCore::UpdateRankedServices() {
  const auto services = FindRankedServices(this->configuration->value());
  std::map<ServiceId, RankedService> updated;
  for (const auto& [id, ranks] : services) {
    // The minimums of a service that is still ranked go on.
    const auto found = this->ranked_services.find(id);
    RankedService service = found == this->ranked_services.end()
                                ? RankedService{.ranks = ranks}
                                : std::move(found->second);
    service.ranks = ranks;
    updated.emplace(id, std::move(service));
  }
  this->ranked_services = std::move(updated);
}

// Gives a request to a ranked service its place in the queue.
void EntryCore::AssignPlace(OpenRequest& request) {
  const auto found = this->ranked_services.find(request.queue_key.service);
  if (found == this->ranked_services.end()) {
    return;
  }
  RankedService& service = found->second;
  const RequestArrived& arrival = request.arrival;
  const Route& route = *request.route;
  const Rank rank{.customer = request.customer == nullptr
                                  ? Rank::kDefaultPriority
                                  : request.customer->priority,
                  .route = arrival.is_batch ? Rank::kBatch : route.priority};
  const bool is_large =
      service.large_sizes[route.id].Add(arrival.tokens.value_or(1));
  // A caller that returns after a refusal states the remainder of its time, so
  // it keeps the place of its first arrival, at any host.
  const Duration timeout = request.response_deadline - this->now;
  const Duration usual_timeout =
      service.usual_timeouts[{route.id, request.CustomerIdOrEmpty()}].Add(
          timeout, this->now);
  const TimePoint first_arrival = this->now - (usual_timeout - timeout);
  const auto longest_wait = std::chrono::duration_cast<Duration>(
      route.latency_objective * kMaxStartFraction);
  const Duration prefill = std::min(
      longest_wait, FromMilliseconds(arrival.prompt_tokens.value_or(0) /
                                     kPrefillTokensPerMillisecond));
  request.ranked_place =
      RankedPlace{.rank = rank,
                  .latest_start = first_arrival + longest_wait - prefill,
                  .number = request.sequence_number,
                  .is_large = is_large};
  request.urgency = service.ranks.UrgencyOf(rank);
  // Callers that return often must not reduce the minimum of other ranks.
  if (request.ranked_place->latest_start >= this->now) {
    service.floors.OnArrival(rank);
  }
}

const RankFloors& EntryCore::FloorsOf(const ServiceId& service) const {
  static const RankFloors kNoFloors;
  const auto found = this->ranked_services.find(service);
  return found == this->ranked_services.end() ? kNoFloors
                                              : found->second.floors;
}

void EntryCore::RecordServed(const OpenRequest& request,
                             WaitQueue& queue,
                             const std::vector<RankContender>& contenders) {
  const auto found = this->ranked_services.find(request.queue_key.service);
  if (!request.ranked_place || found == this->ranked_services.end()) {
    return;
  }
  const RankedPlace& place = *request.ranked_place;
  found->second.floors.OnServed(contenders, place);
  queue.progress.OnServed(QueueLine{.rank = place.rank,
                                    .customer = request.CustomerIdOrEmpty(),
                                    .is_late = place.latest_start < this->now},
                          this->now);
  const Duration waited = this->now - request.arrived_at;
  if (waited > Duration::zero()) {
    this->Log(event_names::kWaited, request.arrival.caller_request_id,
              {{"rank", request.RankText()},
               {"urgency", request.urgency},
               {"large", place.is_large ? "yes" : "no"},
               {"slack_ms", place.latest_start - this->now},
               {"estimate_ms", request.expected_wait
                                   ? LogField("", *request.expected_wait).value
                                   : std::string("-")},
               {"waited_ms", waited}});
    this->effects.emplace_back(
        WaitMeasured{.expected = request.expected_wait, .actual = waited});
  }
}

}  // namespace cicadaloft
