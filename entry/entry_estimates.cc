#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>
#include <utility>

#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/routing/estimated_cost.h"
#include "cicadaloft/routing/sampled_choice.h"
#include "entry_core.h"

namespace cicadaloft {
namespace {

/// Fraction of the latency objective for which a request waits for a free slot
/// before it may be queued at a target. A request that is more urgent than the
/// running ones would preempt one of them there, whose stream would be late;
/// slots become free within about this time.
constexpr double kSlotWaitFraction = 0.25;

constexpr int kSuccess = 200;
constexpr int kRedirection = 300;

}  // namespace

const ServicePace* EntryCore::EstimatedPace(const ServiceId& service) const {
  const auto found = this->service_paces.find(service);
  return found != this->service_paces.end() && found->second.IsEstimated()
             ? &found->second
             : nullptr;
}

TargetKind EntryCore::KindOf(const TargetRecord& record) const {
  const Service* service =
      this->configuration ? this->configuration->FindService(record.service)
                          : nullptr;
  return TargetKind{.slots = std::max(1U, record.slots),
                    .memory_tokens = service != nullptr && service->engine
                                         ? service->engine->memory_tokens
                                         : 0};
}

StatedSize EntryCore::StatedSizeOf(const OpenRequest& request) {
  const RequestArrived& arrival = request.arrival;
  return StatedSize{.model = request.queue_key.model
                                 ? std::optional(request.queue_key.model->model)
                                 : std::nullopt,
                    .prompt_tokens = arrival.prompt_tokens,
                    .max_output_tokens = arrival.max_output_tokens,
                    .expected_output_tokens = arrival.expected_output_tokens};
}

RequestSize EntryCore::SizeOf(const OpenRequest& request) const {
  const ServicePace* pace = this->EstimatedPace(request.queue_key.service);
  return pace == nullptr ? RequestSize()
                         : pace->SizeOf(StatedSizeOf(request), this->now);
}

TargetView* EntryCore::ChooseByEstimate(OpenRequest& request,
                                        const Candidates& candidates,
                                        const ServicePace& pace) {
  const RequestSize size = this->SizeOf(request);
  const std::optional<ModelId> model = StatedSizeOf(request).model;
  const auto slot_wait = std::chrono::duration_cast<Duration>(
      request.route->latency_objective * kSlotWaitFraction);
  const bool needs_free_slot =
      model && this->now < request.arrived_at + slot_wait;
  const auto estimate_of = [&](const TargetView& target) {
    return target.capacity().Estimate(
        size, model, this->KindOf(target.record()), pace, this->now);
  };
  TargetView* target = ChooseFromSample(
      candidates, StableHash(request.arrival.caller_request_id.value()),
      [&](const TargetView& view) -> std::optional<EstimatedCost> {
        if (!this->CanAccept(view, request)) {
          return std::nullopt;
        }
        const TargetEstimate estimate = estimate_of(view);
        if (needs_free_slot && IsOccupied(estimate)) {
          return std::nullopt;
        }
        return CostOf(estimate, request.route->event_interval_objective,
                      view.record().data_centre != this->settings.data_centre);
      });
  request.estimate =
      target == nullptr ? TargetEstimate() : estimate_of(*target);
  return target;
}

void EntryCore::RecordLoad(TargetView& target, const TargetLoad& load) {
  const TargetRecord& record = target.record();
  target.capacity().OnReport(load, this->KindOf(record),
                             this->service_paces[record.service], this->now);
}

// The load in an AttemptEnded is that of the response's head. It is new only if
// there was no ResponseStarted.
void EntryCore::RecordRun(const OpenRequest& request,
                          const AttemptEnded& ended,
                          TargetView& target) {
  target.capacity().OnEnd(request.size, request.has_response_started);
  if (ended.load && !request.has_response_started) {
    this->RecordLoad(target, *ended.load);
  }
  const TargetRecord& record = target.record();
  const bool is_success =
      ended.http_status >= kSuccess && ended.http_status < kRedirection;
  if (ended.outcome != AttemptOutcome::kCompleted ||
      !request.has_response_started || !is_success ||
      this->EstimatedPace(record.service) == nullptr) {
    return;
  }
  target.capacity().OnRun(
      CompletedRun{
          .stated = StatedSizeOf(request),
          .events = ended.response_events,
          .first_token = request.response_started_at - request.dispatched_at,
          .streamed = this->now - request.response_started_at},
      this->KindOf(record), this->service_paces[record.service], this->now);
}

std::vector<LogField> EntryCore::EstimateFields(
    const OpenRequest& request) const {
  if (this->EstimatedPace(request.queue_key.service) == nullptr) {
    return {};
  }
  constexpr double kPercent = 100;
  const TargetEstimate& estimate = request.estimate;
  return {
      {"estimated_first_token_ms", estimate.first_token},
      {"estimated_interval_ms", estimate.event_interval},
      {"slots_used_percent", std::lround(kPercent * estimate.slots_used)},
      {"memory_used_percent", std::lround(kPercent * estimate.memory_used)}};
}

}  // namespace cicadaloft
