#include <algorithm>
#include <ranges>

#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/entry/reasons.h"
#include "cicadaloft/routing/target_choice.h"
#include "entry_core.h"

namespace cicadaloft {
namespace {

/// Work that a target is given beyond its slots, as a part of them. Its own
/// queue bridges the way of the next request, and no more: in this host's queue
/// a request can still go elsewhere.
constexpr double kQueueFactor = 1.25;

/// A model is asked for again after this time while requests wait for it: the
/// ask, or its outcome, may have been lost.
constexpr Duration kAskAgain = std::chrono::milliseconds(400);

/// A target with less left than this to answer in gets nothing.
constexpr Duration kLeastWork = std::chrono::milliseconds(20);

}  // namespace

void EntryCore::Enqueue(const OpenRequest& request) {
  this->lines[request.line].queue.Push(
      request.IsBatch(),
      QueueAttributes{.customer = request.CustomerName(),
                      .cost = std::max(1.0, request.cost)},
      request.number, request.arrival.request);
  this->expiries.emplace(request.gives_up_at, request.arrival.request);
}

void EntryCore::LeaveLine(const OpenRequest& request) {
  const auto line = this->lines.find(request.line);
  if (line == this->lines.end()) {
    return;
  }
  line->second.queue.Remove(request.IsBatch(), request.CustomerName(),
                            request.number);
  if (line->second.queue.size() == 0) {
    this->lines.erase(line);
  }
}

void EntryCore::PumpAll() {
  std::vector<LineKey> keys;
  std::ranges::copy(this->lines | std::views::keys, std::back_inserter(keys));
  std::ranges::for_each(keys, [this](const LineKey& key) { this->Pump(key); });
}

void EntryCore::Pump(const LineKey& key) {
  const auto found = this->lines.find(key);
  if (found == this->lines.end()) {
    return;
  }
  Line& line = found->second;
  const Candidates candidates = this->CandidatesFor(key);
  std::vector<RequestId> kept;
  bool goes_on = this->HasRoom(candidates);
  while (goes_on && line.queue.size() > 0) {
    const RequestId id = *line.queue.Pop();
    OpenRequest& request = this->requests.at(id);
    if (!this->TryDispatch(request, candidates)) {
      kept.push_back(id);
      // One that avoids targets says nothing of those behind it.
      goes_on = !request.avoided.empty();
    }
  }
  for (const RequestId& id : kept) {
    this->Enqueue(this->requests.at(id));
  }
  if (line.queue.size() == 0) {
    this->lines.erase(key);
    return;
  }
  this->AskForWarmup(key, line, candidates);
  this->AskForModel(key, line, candidates);
}

// Whether any target could take a request that avoids none.
bool EntryCore::HasRoom(const Candidates& candidates) const {
  const OpenRequest anyone{};
  return std::ranges::any_of(candidates, [&](const TargetView* target) {
    return this->MayTake(*target, anyone);
  });
}

bool EntryCore::TryDispatch(OpenRequest& request,
                            const Candidates& candidates) {
  TargetView* target = ChooseTarget(
      candidates, this->WishOf(request), this->now,
      [&](const TargetView& view) { return this->MayTake(view, request); });
  if (target == nullptr) {
    return false;
  }
  const Duration left = request.ends_at - this->now;
  if (left < kLeastWork) {
    return false;
  }
  this->expiries.erase({request.gives_up_at, request.arrival.request});
  this->expiries.emplace(request.ends_at, request.arrival.request);
  request.attempt = request.attempt.Next();
  request.is_running = true;
  request.target = target->record().id;
  request.instance = target->record().instance;
  if (this->NeedsPermit(*target)) {
    this->permits.OnSend(request.target);
  }
  target->OnDispatch();
  this->Log(reasons::kDispatch, request.arrival.caller_request_id,
            {{"target", request.target.value()},
             {"attempt", request.attempt.value()},
             {"model", request.ModelText()},
             {"customer", request.CustomerName().value()},
             {"waited_ms", this->now - request.arrived},
             {"candidates", candidates.size()},
             {"own_load", target->in_flight()},
             {"cold_ms", target->ColdRemaining(this->now)},
             {"hosts", this->shares.host_count},
             {"configuration", request.configuration->version().value()}});
  this->effects.emplace_back(
      Dispatch{.request = request.arrival.request,
               .attempt = request.attempt,
               .target = request.target,
               .address = target->record().address,
               .customer = request.CustomerName(),
               .priority = request.Rank(),
               .response_timeout = left,
               .withholds_error_response =
                   request.route->retry_policy == RetryPolicy::kIdempotent &&
                   request.runs + 1 < request.route->max_runs});
  return true;
}

TargetPreference EntryCore::WishOf(const OpenRequest& request) const {
  return TargetPreference{
      .local_data_centre = this->settings.data_centre,
      .prompt_prefix_key = request.arrival.prompt_prefix_key,
      .tie_breaker = StableHash(request.arrival.caller_request_id.value())};
}

EntryCore::Candidates EntryCore::CandidatesFor(const LineKey& key) {
  Candidates candidates;
  const auto add = [&](const TargetId& id) {
    const auto found = this->targets.find(id);
    if (found != this->targets.end() &&
        found->second.record().service == key.service) {
      candidates.push_back(&found->second);
    }
  };
  if (key.model) {
    std::ranges::for_each(
        this->whereabouts.LoadedTargets(*key.model, this->now), add);
  } else if (const auto all = this->targets_of.find(key.service);
             all != this->targets_of.end()) {
    std::ranges::for_each(all->second, add);
  }
  return candidates;
}

bool EntryCore::IsUsable(const TargetView& target) const {
  const TargetRecord& record = target.record();
  return !record.is_draining && !this->evacuated.contains(record.data_centre) &&
         !target.ejection().IsEjected(this->now);
}

bool EntryCore::MayTake(const TargetView& target,
                        const OpenRequest& request) const {
  const TargetRecord& record = target.record();
  return this->IsUsable(target) && !request.Avoids(record.id, this->now) &&
         !this->IsFull(target) &&
         (!this->NeedsPermit(target) ||
          this->permits.MaySend(record.id, this->now));
}

bool EntryCore::IsFull(const TargetView& target) const {
  return target.EstimatedLoad(this->now) >=
         target.record().slots * kQueueFactor;
}

void EntryCore::AskForModel(const LineKey& key,
                            Line& line,
                            const Candidates& candidates) {
  if (!key.model || !this->configuration) {
    return;
  }
  const bool has_asked =
      line.asked_at && this->now - *line.asked_at < kAskAgain;
  const bool is_coming =
      this->whereabouts.ExpectedReadyAt(*key.model, this->now).has_value();
  const bool is_held = std::ranges::any_of(
      candidates,
      [this](const TargetView* holder) { return this->IsUsable(*holder); });
  if (has_asked || is_coming || is_held) {
    return;
  }
  line.asked_at = this->now;
  const auto oldest = line.queue.Oldest();
  const OpenRequest& request = this->requests.at(*oldest);
  this->Log(reasons::kModelLoadRequest, request.arrival.caller_request_id,
            {{"model", key.model->ToString()}, {"waiting", line.queue.size()}});
  this->effects.emplace_back(
      ModelLoadRequest{.service = key.service,
                       .path = *key.model,
                       .waiting = static_cast<std::uint32_t>(line.queue.size()),
                       .latency_objective = request.route->latency_objective,
                       .denied_by = this->UselessHolders(key, candidates)});
}

// Holders that deny the model, or have failed.
std::vector<TargetId> EntryCore::UselessHolders(
    const LineKey& key,
    const Candidates& candidates) const {
  std::vector<TargetId> useless =
      this->whereabouts.DenyingTargets(*key.model, this->now);
  for (const TargetView* holder : candidates) {
    if (holder->ejection().IsEjected(this->now)) {
      useless.push_back(holder->record().id);
    }
  }
  return useless;
}

void EntryCore::LogWait(const OpenRequest& request) {
  const LineKey& key = request.line;
  const auto holders = this->CandidatesFor(key);
  const auto count = [&](auto is_so) {
    return std::ranges::count_if(holders, is_so);
  };
  this->Log(
      reasons::kWait, request.arrival.caller_request_id,
      {{"model", key.model ? key.model->ToString() : "-"},
       {"service", key.service.value()},
       {"holders", holders.size()},
       {"leaving", count([](const TargetView* holder) {
          return holder->record().is_draining;
        })},
       {"evacuated", count([this](const TargetView* holder) {
          return this->evacuated.contains(holder->record().data_centre);
        })},
       {"ejected", count([this](const TargetView* holder) {
          return holder->ejection().IsEjected(this->now);
        })},
       {"full", count([this](const TargetView* holder) {
          return this->IsFull(*holder);
        })},
       {"cold", count([this](const TargetView* holder) {
          return this->NeedsPermit(*holder);
        })},
       {"line", this->lines.contains(key) ? this->lines[key].queue.size() : 0},
       {"at_most_ms", request.gives_up_at - this->now}});
}

}  // namespace cicadaloft
