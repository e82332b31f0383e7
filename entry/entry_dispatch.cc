#include <algorithm>
#include <functional>
#include <iterator>
#include <ranges>
#include <utility>

#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/entry/event_names.h"
#include "cicadaloft/routing/target_choice.h"
#include "entry_core.h"

namespace cicadaloft {
namespace {

/// Maximum load of a target, as a multiple of its slots. The target's own queue
/// only has to cover the transit time of the next request: a request in this
/// host's queue can still be sent to another target.
constexpr double kMaxLoadPerSlot = 1.25;

/// Interval at which the loading of a model is requested again while requests
/// wait for it: the previous message or its outcome may have been lost.
constexpr Duration kModelLoadRequestInterval = std::chrono::milliseconds(400);

/// A request with less remaining time than this is not dispatched.
constexpr Duration kMinDispatchTime = std::chrono::milliseconds(20);

}  // namespace

void EntryCore::Enqueue(const OpenRequest& request) {
  this->queues[request.queue_key].requests.Push(
      request.Place(),
      QueueAttributes{.customer = request.CustomerIdOrEmpty(),
                      .cost = request.QueueCost()},
      request.arrival.request);
  this->expiries.emplace(request.wait_deadline, request.arrival.request);
}

void EntryCore::RemoveFromQueue(const OpenRequest& request) {
  const auto queue = this->queues.find(request.queue_key);
  if (queue == this->queues.end()) {
    return;
  }
  queue->second.requests.Remove(request.Place(), request.CustomerIdOrEmpty());
  if (queue->second.requests.size() == 0) {
    this->queues.erase(queue);
  }
}

// Callers that take a stream up have a part of it already, so they go first.
void EntryCore::DispatchFromAllQueues() {
  const auto is_for_take_ups = [](const QueueKey& key) {
    return key.software.has_value();
  };
  const auto all_keys = this->queues | std::views::keys;
  std::vector<QueueKey> keys;
  std::ranges::copy_if(all_keys, std::back_inserter(keys), is_for_take_ups);
  std::ranges::copy_if(all_keys, std::back_inserter(keys),
                       std::not_fn(is_for_take_ups));
  std::ranges::for_each(
      keys, [this](const QueueKey& key) { this->DispatchFromQueue(key); });
}

void EntryCore::DispatchFromQueue(const QueueKey& key) {
  const auto found = this->queues.find(key);
  if (found == this->queues.end() || this->RefuseIfVersionGone(key)) {
    return;
  }
  WaitQueue& queue = found->second;
  const Candidates candidates = this->CandidatesFor(key);
  std::vector<RequestId> undispatched;
  bool should_continue = this->HasCapacity(candidates);
  while (should_continue && queue.requests.size() > 0) {
    const auto contenders = queue.requests.ranked_items().Contenders();
    const RequestId id =
        *queue.requests.Pop(this->FloorsOf(key.service), this->now);
    OpenRequest& request = this->requests.at(id);
    if (this->TryDispatch(request, candidates)) {
      this->RecordServed(request, queue, contenders);
    } else {
      undispatched.push_back(id);
      // If a request that avoids some targets can't be dispatched, the requests
      // behind it may still be.
      should_continue = !request.avoided_until.empty();
    }
  }
  for (const RequestId& id : undispatched) {
    this->Enqueue(this->requests.at(id));
  }
  if (queue.requests.size() == 0) {
    this->queues.erase(key);
    return;
  }
  this->RequestWarmup(key, queue, candidates);
  this->RequestModelLoad(key, queue, candidates);
  this->RefuseIfTargetsRest(key, candidates);
  this->UpdateEstimates(key, candidates);
}

std::vector<RequestId> EntryCore::RequestsInQueue(const QueueKey& key) const {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : this->requests) {
    if (request.IsQueued() && request.queue_key == key) {
      ids.push_back(id);
    }
  }
  return ids;
}

// Refuses the requests that would only wait until the end of their time because
// all targets that stay rest for longer. A model may be loaded on another
// target meanwhile, so this applies to services without models.
void EntryCore::RefuseIfTargetsRest(const QueueKey& key,
                                    const Candidates& candidates) {
  const auto leaves = [](const TargetView* target) {
    return target->record().is_draining || target->notices().is_leaving();
  };
  Candidates staying;
  std::ranges::remove_copy_if(candidates, std::back_inserter(staying), leaves);
  const bool all_rest =
      !key.model && !staying.empty() &&
      std::ranges::all_of(staying, [this](const TargetView* target) {
        return target->notices().IsResting(this->now);
      });
  if (!all_rest) {
    return;
  }
  const TimePoint rest_end = std::ranges::min(
      staying | std::views::transform([](const TargetView* target) {
        return target->notices().resting_until();
      }));
  for (const RequestId& id : this->RequestsInQueue(key)) {
    const OpenRequest& request = this->requests.at(id);
    if (request.wait_deadline > rest_end) {
      continue;
    }
    this->RefuseOpenRequest(
        request, MakeError(ErrorKind::kNoCapacity,
                           "all targets have asked for a rest that is longer "
                           "than the request may wait"));
    this->Close(request);
  }
}

// Whether any candidate could accept a request that avoids no target.
bool EntryCore::HasCapacity(const Candidates& candidates) const {
  const OpenRequest any_request{};
  return std::ranges::any_of(candidates, [&](const TargetView* target) {
    return this->CanAccept(*target, any_request);
  });
}

bool EntryCore::TryDispatch(OpenRequest& request,
                            const Candidates& candidates) {
  const ServicePace* pace = this->EstimatedPace(request.queue_key.service);
  TargetView* target =
      pace != nullptr ? this->ChooseByEstimate(request, candidates, *pace)
                      : ChooseTarget(candidates, this->PreferenceOf(request),
                                     this->now, [&](const TargetView& view) {
                                       return this->CanAccept(view, request);
                                     });
  if (target == nullptr) {
    return false;
  }
  if (request.response_deadline - this->now < kMinDispatchTime) {
    return false;
  }
  this->expiries.erase({request.wait_deadline, request.arrival.request});
  this->expiries.emplace(request.response_deadline, request.arrival.request);
  request.attempt = request.attempt.Next();
  request.is_running = true;
  request.target = target->record().id;
  request.instance = target->record().instance;
  if (this->NeedsWarmupPermit(*target)) {
    this->permits.OnSend(request.target);
  }
  if (this->RejectionLimitOf(*target)) {
    target->brittle_bound().OnDispatch(target->in_flight(), this->now);
  }
  target->OnDispatch();
  this->reachability.OnSent(request.arrival.request, request.target, this->now);
  ++this->service_counts[request.queue_key.service].started;
  request.dispatched_at = this->now;
  request.size = this->SizeOf(request);
  target->capacity().OnDispatch(request.size);
  this->LogDispatch(request, *target, candidates.size());
  this->effects.emplace_back(this->MakeDispatch(request, *target));
  return true;
}

Dispatch EntryCore::MakeDispatch(const OpenRequest& request,
                                 const TargetView& target) const {
  const RetryPolicy retry_policy = request.route->retry_policy;
  const SoftwareVersion& software = target.record().software;
  std::optional<OriginRecord> origin;
  if (retry_policy == RetryPolicy::kResumable && !software.empty()) {
    origin = OriginRecord{
        .stream = MakeStreamKey(request.CustomerIdOrEmpty(),
                                request.arrival.caller_request_id),
        .origin = {.service = request.queue_key.service, .software = software}};
  }
  return Dispatch{.request = request.arrival.request,
                  .attempt = request.attempt,
                  .target = request.target,
                  .address = target.record().address,
                  .customer = request.CustomerIdOrEmpty(),
                  .priority = request.Priority(),
                  .response_timeout = request.response_deadline - this->now,
                  .withholds_error_response =
                      retry_policy == RetryPolicy::kIdempotent &&
                      request.run_count + 1 < request.route->max_runs,
                  .origin = std::move(origin),
                  .configuration = request.configuration->version()};
}

void EntryCore::LogDispatch(const OpenRequest& request,
                            const TargetView& target,
                            std::size_t candidate_count) {
  const SoftwareVersion& software = target.record().software;
  std::vector<LogField> fields = {
      {"target", request.target.value()},
      {"software", software.empty() ? "-" : software.value()},
      {"attempt", request.attempt.value()},
      {"model", request.ModelText()},
      {"customer", request.CustomerIdOrEmpty().value()},
      {"waited_ms", this->now - request.arrived_at},
      {"candidates", candidate_count},
      {"own_load", target.in_flight()},
      {"cold_ms", target.ColdRemaining(this->now)},
      {"hosts", this->shares.host_count},
      {"configuration", request.configuration->version().value()}};
  std::ranges::move(this->EstimateFields(request), std::back_inserter(fields));
  std::ranges::move(ForwardedFields(request.arrival),
                    std::back_inserter(fields));
  this->Log(event_names::kDispatch, request.arrival.caller_request_id,
            std::move(fields));
}

TargetPreference EntryCore::PreferenceOf(const OpenRequest& request) const {
  return TargetPreference{
      .local_data_centre = this->settings.data_centre,
      .prompt_prefix_key = request.arrival.prompt_prefix_key,
      .tie_breaker = StableHash(request.arrival.caller_request_id.value())};
}

EntryCore::Candidates EntryCore::CandidatesFor(const QueueKey& key) {
  Candidates candidates;
  const auto add = [&](const TargetId& id) {
    const auto found = this->targets.find(id);
    if (found != this->targets.end() &&
        found->second.record().service == key.service &&
        (!key.software || found->second.record().software == *key.software)) {
      candidates.push_back(&found->second);
    }
  };
  if (key.model) {
    std::ranges::for_each(
        this->model_locations.LoadedTargets(*key.model, this->now), add);
  } else if (const auto all = this->targets_by_service.find(key.service);
             all != this->targets_by_service.end()) {
    std::ranges::for_each(all->second, add);
  }
  return candidates;
}

bool EntryCore::IsUsable(const TargetView& target) const {
  const TargetRecord& record = target.record();
  return !record.is_draining && !target.notices().is_leaving() &&
         !this->evacuated.contains(record.data_centre) &&
         !target.ejection().IsEjected(this->now) &&
         !target.notices().IsResting(this->now);
}

bool EntryCore::CanAccept(const TargetView& target,
                          const OpenRequest& request) const {
  const TargetRecord& record = target.record();
  return this->IsUsable(target) && !request.Avoids(record.id, this->now) &&
         !this->IsFull(target) &&
         (!this->NeedsWarmupPermit(target) ||
          this->permits.MaySend(record.id, this->now));
}

bool EntryCore::IsFull(const TargetView& target) const {
  if (const auto brittle = this->BrittleTargetOf(target)) {
    return !this->HasRoom(target, *brittle);
  }
  const TargetRecord& record = target.record();
  const ServicePace* pace = this->EstimatedPace(record.service);
  const double load =
      pace != nullptr && target.capacity().IsStated()
          ? target.capacity().Load({.slots = record.slots}, *pace, this->now)
          : target.EstimatedLoad(this->now);
  return load >= record.slots * kMaxLoadPerSlot;
}

void EntryCore::RequestModelLoad(const QueueKey& key,
                                 WaitQueue& queue,
                                 const Candidates& candidates) {
  if (!key.model || !this->configuration) {
    return;
  }
  const bool is_requested =
      queue.model_requested_at &&
      this->now - *queue.model_requested_at < kModelLoadRequestInterval;
  const bool is_loading = this->ExpectedReadyAt(key).has_value();
  const bool is_loaded = std::ranges::any_of(
      candidates,
      [this](const TargetView* target) { return this->IsUsable(*target); });
  if (is_requested || is_loading || is_loaded) {
    return;
  }
  queue.model_requested_at = this->now;
  const auto oldest = queue.requests.Oldest();
  const OpenRequest& request = this->requests.at(*oldest);
  this->Log(event_names::kModelLoadRequest, request.arrival.caller_request_id,
            {{"model", key.model->ToString()},
             {"software", key.software ? key.software->value() : "-"},
             {"waiting", queue.requests.size()}});
  this->effects.emplace_back(ModelLoadRequest{
      .service = key.service,
      .path = *key.model,
      .waiting = static_cast<std::uint32_t>(queue.requests.size()),
      .latency_objective = request.route->latency_objective,
      .denied_by = this->UnusableTargets(key, candidates),
      .software = key.software});
}

// Targets that have denied having the model, and candidates that are ejected
// or rest.
std::vector<TargetId> EntryCore::UnusableTargets(
    const QueueKey& key,
    const Candidates& candidates) const {
  std::vector<TargetId> unusable =
      this->model_locations.DenyingTargets(*key.model, this->now);
  std::erase_if(unusable, [&](const TargetId& id) {
    return !this->HasVersionFor(key, id);
  });
  for (const TargetView* target : candidates) {
    if (target->ejection().IsEjected(this->now) ||
        target->notices().IsResting(this->now)) {
      unusable.push_back(target->record().id);
    }
  }
  return unusable;
}

void EntryCore::LogWait(const OpenRequest& request) {
  const QueueKey& key = request.queue_key;
  const auto candidates = this->CandidatesFor(key);
  const auto count = [&](auto predicate) {
    return std::ranges::count_if(candidates, predicate);
  };
  this->Log(
      event_names::kWait, request.arrival.caller_request_id,
      {{"model", key.model ? key.model->ToString() : "-"},
       {"service", key.service.value()},
       {"rank", request.RankText()},
       {"holders", candidates.size()},
       {"leaving", count([](const TargetView* target) {
          return target->record().is_draining || target->notices().is_leaving();
        })},
       {"resting", count([this](const TargetView* target) {
          return target->notices().IsResting(this->now);
        })},
       {"evacuated", count([this](const TargetView* target) {
          return this->evacuated.contains(target->record().data_centre);
        })},
       {"ejected", count([this](const TargetView* target) {
          return target->ejection().IsEjected(this->now);
        })},
       {"full", count([this](const TargetView* target) {
          return this->IsFull(*target);
        })},
       {"cold", count([this](const TargetView* target) {
          return this->NeedsWarmupPermit(*target);
        })},
       {"line",
        this->queues.contains(key) ? this->queues[key].requests.size() : 0},
       {"at_most_ms", request.wait_deadline - this->now}});
}

}  // namespace cicadaloft
