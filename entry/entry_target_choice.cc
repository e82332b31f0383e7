#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <optional>
#include <string>
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

/// Probability that the target on which all hosts agree has kept a shared part.
/// A host of many sees only a small part of what the others send there.
constexpr double kAgreedProbability = 0.5;

/// The same, as a fraction of the time for which the request may wait at all.
constexpr double kMaxWaitFraction = 0.5;

constexpr int kSuccess = 200;
constexpr int kRedirection = 300;

TimePoint SlotWaitEnd(const OpenRequest& request) {
  const auto wait = std::min<std::chrono::duration<double, Duration::period>>(
      request.route->latency_objective * kSlotWaitFraction,
      (request.wait_deadline - request.arrived_at) * kMaxWaitFraction);
  return request.arrived_at + std::chrono::duration_cast<Duration>(wait);
}

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
  const bool needs_free_slot = model && this->now < SlotWaitEnd(request);
  const auto estimate_of = [&](const TargetView& target, double cached) {
    return target.capacity().Estimate(
        size, cached, model, this->KindOf(target.record()), pace, this->now);
  };
  const auto is_available = [&](const TargetView* target) {
    return this->CanAccept(*target, request) &&
           !(needs_free_slot && IsOccupied(estimate_of(*target, 0)));
  };
  // Most requests that wait find no target, so this is looked at first.
  Candidates available;
  std::ranges::copy_if(candidates, std::back_inserter(available), is_available);
  if (available.empty()) {
    return nullptr;
  }
  const PromptExpectation expectation =
      this->ExpectPrompt(request, candidates, pace);
  const auto full_estimate_of = [&](const TargetView& target) {
    return estimate_of(target, this->CachedTokensAt(target, expectation, pace));
  };
  TargetView* preferred =
      std::ranges::find(available, expectation.preferred) == available.end()
          ? nullptr
          : expectation.preferred;
  TargetView* target = ChooseFromSample(
      available, StableHash(request.arrival.caller_request_id.value()),
      preferred, [&](const TargetView& view) {
        return std::optional(CostOf(
            full_estimate_of(view), request.route->event_interval_objective,
            view.record().data_centre != this->settings.data_centre));
      });
  request.estimate = full_estimate_of(*target);
  return target;
}

// Finds the target that all hosts agree on for the shared part, and the one
// where the most tokens are expected.
EntryCore::PromptExpectation EntryCore::ExpectPrompt(
    const OpenRequest& request,
    const Candidates& candidates,
    const ServicePace& pace) const {
  PromptExpectation expectation{
      .prompt =
          ChainParts(request.queue_key.model, request.arrival.prompt_parts)};
  if (expectation.prompt.empty()) {
    return expectation;
  }
  const std::uint64_t shared_key = SharedKey(expectation.prompt);
  if (shared_key != 0 && !this->IsOnlyHost()) {
    const std::string key = std::to_string(shared_key);
    expectation.agreed =
        std::ranges::max(candidates, {}, [&](const TargetView* target) {
          return RendezvousWeight(key, target->record().id.value());
        });
  }
  double most = 0;
  for (TargetView* target : candidates) {
    const double cached = this->CachedTokensAt(*target, expectation, pace);
    if (cached > most) {
      most = cached;
      expectation.preferred = target;
    }
  }
  return expectation;
}

double EntryCore::CachedTokensAt(const TargetView& target,
                                 const PromptExpectation& expectation,
                                 const ServicePace& pace) const {
  if (expectation.prompt.empty()) {
    return 0;
  }
  const TargetKind kind = this->KindOf(target.record());
  const double known =
      target.capacity().CachedTokens(expectation.prompt, kind, pace, this->now);
  const bool is_agreed = expectation.agreed == &target;
  return is_agreed && kind.memory_tokens > 0
             ? std::max(known,
                        kAgreedProbability * expectation.prompt.front().tokens)
             : known;
}

void EntryCore::RecordLoad(TargetView& target, const TargetLoad& load) {
  const TargetRecord& record = target.record();
  target.capacity().OnReport(load, this->KindOf(record),
                             this->service_paces[record.service], this->now);
}

void EntryCore::RecordStart(const OpenRequest& request,
                            const ResponseStarted& started,
                            TargetView& target) {
  const TargetRecord& record = target.record();
  target.capacity().OnStart(
      request.size,
      ChainParts(request.queue_key.model, request.arrival.prompt_parts),
      this->KindOf(record), this->service_paces[record.service], this->now);
  if (started.load) {
    this->RecordLoad(target, *started.load);
  }
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
  const CompletedRun run{
      .stated = StatedSizeOf(request),
      .events = ended.response_events,
      .first_token = request.response_started_at - request.dispatched_at,
      .streamed = this->now - request.response_started_at};
  target.capacity().OnRun(run, this->KindOf(record),
                          this->service_paces[record.service], this->now);
  if (request.estimate) {
    this->effects.emplace_back(
        RunMeasured{.estimated_first_token = request.estimate->first_token,
                    .first_token = run.first_token,
                    .estimated_interval = request.estimate->event_interval,
                    .interval = run.EventInterval(),
                    .estimated_cached_tokens = request.estimate->cached_tokens,
                    .prompt_tokens = request.size.prompt_tokens});
  }
}

std::vector<LogField> EntryCore::EstimateFields(
    const OpenRequest& request) const {
  if (!request.estimate) {
    return {};
  }
  constexpr double kPercent = 100;
  const TargetEstimate& estimate = *request.estimate;
  return {
      {"estimated_first_token_ms", estimate.first_token},
      {"estimated_interval_ms", estimate.event_interval},
      {"cached_tokens", std::lround(estimate.cached_tokens)},
      {"slots_used_percent", std::lround(kPercent * estimate.slots_used)},
      {"memory_used_percent", std::lround(kPercent * estimate.memory_used)}};
}

}  // namespace cicadaloft
