#include "scenarios/runner/fake_target.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <ranges>
#include <utility>

namespace cicadaloft::scenarios {
namespace {

constexpr Duration kReportLag = std::chrono::milliseconds(150);
constexpr Duration kFirstByte = std::chrono::milliseconds(20);
constexpr Duration kLostAnswerTimeout = std::chrono::seconds(5);
constexpr Duration kAdapterLoadTime = std::chrono::milliseconds(7);
constexpr double kNearSpeedup = 4;  ///< Of a checkpoint that is near.

}  // namespace

Duration FakeStore::Begin(bool is_adapter,
                          std::uint32_t knee,
                          Duration at_full_speed) {
  std::uint32_t& loads = is_adapter ? this->adapters : this->models;
  ++loads;
  this->peak_models = std::max(this->peak_models, this->models);
  const double slowdown = std::max(1.0, static_cast<double>(loads) / knee);
  return std::chrono::duration_cast<Duration>(at_full_speed * slowdown);
}

void FakeStore::End(bool is_adapter) {
  --(is_adapter ? this->adapters : this->models);
}

FakeTarget::FakeTarget(VirtualTime& time,
                       FakeStore& store,
                       const Target& target,
                       const BackEnd& back_end,
                       Duration load_time)
    : time(time),
      store(store),
      target_item(target),
      back_end(back_end),
      load_time(load_time),
      instance(1),
      idle_since(time.Now()) {}

void FakeTarget::Run(const TargetCall& call,
                     std::function<void()> started,
                     CallEnd ended) {
  if (this->is_dead) {
    ended(AttemptOutcome::kNotSent);
    return;
  }
  if (call.model.has_value()) {
    const auto found = this->held.find(*call.model);
    if (found == this->held.end() || !found->second.loaded) {
      ended(AttemptOutcome::kNotLoaded);
      return;
    }
  }
  this->NoteUse();
  this->all_runs.push_back(call.run);
  const std::uint64_t id = this->next_id++;
  this->running.push_back(RunningCall{.id = id,
                                      .request = call.run.request,
                                      .ended = std::move(ended),
                                      .started = false});
  const std::size_t bears = std::min<std::size_t>(
      this->back_end.initial_concurrency + this->good_answers,
      this->target_item.max_concurrency);
  if (this->running.size() > bears) {
    this->Violation("bears " + std::to_string(bears) + " requests and got " +
                    std::to_string(this->running.size()));
  }
  if (call.is_poison) {
    this->time.After(kFirstByte, [this, id] {
      if (std::ranges::find(this->running, id, &RunningCall::id) !=
          this->running.end()) {
        this->Crash();
      }
    });
    return;
  }
  const auto first_byte =
      std::chrono::duration_cast<Duration>(kFirstByte * this->slowness);
  const auto work =
      std::chrono::duration_cast<Duration>(call.work * this->slowness);
  this->time.After(first_byte, [this, id, started = std::move(started)] {
    const auto found = std::ranges::find(this->running, id, &RunningCall::id);
    if (found != this->running.end()) {
      found->started = true;
      started();
    }
  });
  this->time.After(first_byte + work, [this, id] {
    this->Finish(id, AttemptOutcome::kCompleted);
  });
}

void FakeTarget::Cancel(const RequestId& request) {
  const auto found =
      std::ranges::find(this->running, request, &RunningCall::request);
  if (found != this->running.end()) {
    this->Finish(found->id, found->started ? AttemptOutcome::kDiedStarted
                                           : AttemptOutcome::kTimedOut);
  }
}

void FakeTarget::Finish(std::uint64_t id, AttemptOutcome outcome) {
  const auto found = std::ranges::find(this->running, id, &RunningCall::id);
  if (found == this->running.end()) {
    return;
  }
  const CallEnd ended = found->ended;
  this->running.erase(found);
  this->NoteUse();
  this->good_answers += outcome == AttemptOutcome::kCompleted ? 1 : 0;
  ended(outcome);
}

void FakeTarget::CarryOut(const OrderTarget& order,
                          std::function<void(OrderOutcome)> ended) {
  const auto answer = [this, ended](OrderOutcome outcome) {
    if (this->answers_to_lose > 0) {
      --this->answers_to_lose;
      this->time.After(kLostAnswerTimeout,
                       [ended] { ended(OrderOutcome::kUnknown); });
      return;
    }
    ended(outcome);
  };
  if (this->is_dead) {
    this->time.After(kLostAnswerTimeout,
                     [ended] { ended(OrderOutcome::kUnknown); });
    return;
  }
  if (order.instance != this->instance ||
      (this->back_end.checks_fencing && order.token < this->highest_token)) {
    answer(OrderOutcome::kRefused);
    return;
  }
  this->highest_token = std::max(this->highest_token, order.token);
  this->NoteUse();
  if (order.action == PlacementAction::kUnload) {
    this->held.erase(order.model);
    answer(OrderOutcome::kConfirmed);
    return;
  }
  this->held.try_emplace(order.model,
                         HeldModel{.memory_mib = order.memory_mib});
  if (this->UsedMib() > this->target_item.memory_mib) {
    this->Violation("memory of " +
                    std::to_string(this->target_item.memory_mib) +
                    " MiB holds " + std::to_string(this->UsedMib()));
  }
  const bool is_adapter = order.base.has_value();
  const bool is_near = this->checkpoints.contains(order.model);
  const std::uint32_t knee = is_adapter ? this->back_end.adapter_concurrency
                                        : this->back_end.store_concurrency;
  Duration takes = is_adapter ? kAdapterLoadTime : this->load_time;
  if (is_near) {
    takes = std::chrono::duration_cast<Duration>(takes / kNearSpeedup);
  } else {
    takes = this->store.Begin(is_adapter, knee, takes);
  }
  const TargetInstance began = this->instance;
  this->time.After(takes, [this, order, answer, ended, began, is_adapter,
                           is_near] {
    if (!is_near) {
      this->store.End(is_adapter);
    }
    if (began != this->instance || this->is_dead) {
      ended(OrderOutcome::kUnknown);
      return;
    }
    this->held[order.model].loaded = true;
    this->checkpoints.insert_or_assign(order.model, CheckpointTier::kMemory);
    answer(OrderOutcome::kConfirmed);
  });
}

std::optional<TargetReport> FakeTarget::Report() {
  if (this->is_dead) {
    return std::nullopt;
  }
  const TimePoint now = this->time.Now();
  this->reports.emplace_back(now, this->ReportNow());
  while (this->reports.size() > 1 &&
         std::next(this->reports.begin())->first <= now - kReportLag) {
    this->reports.pop_front();
  }
  return this->reports.front().second;
}

TargetReport FakeTarget::ReportNow() const {
  std::vector<ReportedModel> models;
  std::ranges::transform(this->held, std::back_inserter(models),
                         [](const auto& model) {
                           return ReportedModel{.model = model.first,
                                                .loaded = model.second.loaded};
                         });
  std::vector<CachedCheckpoint> cached;
  std::ranges::transform(
      this->checkpoints, std::back_inserter(cached), [](const auto& entry) {
        return CachedCheckpoint{.model = entry.first, .tier = entry.second};
      });
  return TargetReport{
      .target = this->target_item.id,
      .instance = this->instance,
      .running = static_cast<std::uint32_t>(this->running.size()),
      .queued = 0,
      .used_mib = this->UsedMib(),
      .models = std::move(models),
      .checkpoints = std::move(cached)};
}

void FakeTarget::Crash() {
  this->NoteUse();
  this->instance = this->instance.Next();
  this->held.clear();
  this->checkpoints.clear();
  this->highest_token = FencingToken();
  this->good_answers = 0;
  this->BreakAll();
}

void FakeTarget::SetDead(bool dead) {
  if (dead) {
    this->Crash();
  }
  this->is_dead = dead;
}

void FakeTarget::BreakAll() {
  std::ranges::for_each(std::exchange(this->running, {}), [](auto& call) {
    call.ended(call.started ? AttemptOutcome::kDiedStarted
                            : AttemptOutcome::kDiedUnstarted);
  });
}

std::uint64_t FakeTarget::UsedMib() const {
  const auto sizes = this->held | std::views::values |
                     std::views::transform(&HeldModel::memory_mib);
  return std::accumulate(sizes.begin(), sizes.end(), std::uint64_t{0});
}

void FakeTarget::NoteUse() {
  const TimePoint now = this->time.Now();
  if (this->running.empty() && !this->held.empty()) {
    this->idle_sum += now - this->idle_since;
  }
  this->idle_since = now;
}

Duration FakeTarget::IdleTime() const {
  const bool is_idle = this->running.empty() && !this->held.empty();
  return this->idle_sum +
         (is_idle ? this->time.Now() - this->idle_since : Duration{});
}

void FakeTarget::Violation(const std::string& what) {
  this->broken.push_back("target " + this->target_item.id.value() + " at " +
                         std::to_string(this->time.Now().time_since_epoch() /
                                        std::chrono::milliseconds(1)) +
                         " ms: " + what);
}

}  // namespace cicadaloft::scenarios
