#include "cicadaloft/routing/target_capacity.h"

#include <algorithm>
#include <optional>

#include "cicadaloft/core/half_life.h"

namespace cicadaloft {
namespace {

constexpr double kUsualPercent = 100;

/// Bounds of a sample, as factors. Machines vary by less, and a false statement
/// must not exclude a target for long.
constexpr double kMinFactor = 0.25;
constexpr double kMaxFactor = 4;

/// About the duration of a stream: by then another request has taken its place.
constexpr Duration kReportHalfLife = std::chrono::seconds(1);

/// A mean of reported loads stays below the bound of a full target, so that a
/// target without a recent report is tried again.
constexpr double kMaxLoadFraction = 0.9;

constexpr double kPrefillTokensPerMs = 40;

/// Before the first run has been seen.
constexpr double kDefaultIntervalMs = 50;

/// How much longer a step takes with all slots in use than with one.
constexpr double kBatchGrowth = 0.5;

double BatchFactor(double load, const TargetKind& kind) {
  return 1 + kBatchGrowth * std::min(1.0, load / kind.slots);
}

}  // namespace

void TargetCapacity::OnDispatch(const RequestSize& size) {
  ++this->own_requests;
  this->own_tokens += size.tokens();
  this->own_prompt_tokens += size.prompt_tokens;
}

void TargetCapacity::EndPrefill(const RequestSize& size) {
  this->own_prompt_tokens =
      std::max(0.0, this->own_prompt_tokens - size.prompt_tokens);
}

void TargetCapacity::OnStart(const RequestSize& size,
                             const PromptChain& prompt,
                             const TargetKind& kind,
                             const ServicePace& pace,
                             TimePoint now) {
  this->EndPrefill(size);
  const double kept = this->CachedTokens(prompt, kind, pace, now);
  this->written_tokens = this->WrittenTokens(kind, pace, now) +
                         std::max(0.0, size.tokens() - kept);
  this->written_at = now;
  this->prompts.OnUse(prompt, this->written_tokens);
}

double TargetCapacity::WrittenTokens(const TargetKind& kind,
                                     const ServicePace& pace,
                                     TimePoint now) const {
  if (this->written_at == TimePoint{}) {
    return 0;
  }
  const std::chrono::duration<double, std::milli> elapsed =
      now - this->written_at;
  const double others =
      std::max(0.0, this->Load(kind, pace, now) - this->own_requests);
  return this->written_tokens + others * pace.MeanTokens(now) *
                                    elapsed.count() / pace.MeanRunTime(now);
}

double TargetCapacity::CachedTokens(const PromptChain& prompt,
                                    const TargetKind& kind,
                                    const ServicePace& pace,
                                    TimePoint now) const {
  const double free =
      kind.memory_tokens -
      this->TokensInMemory(this->Load(kind, pace, now), pace, now);
  return free <= 0 ? 0
                   : this->prompts.CachedTokens(
                         prompt, this->WrittenTokens(kind, pace, now), free);
}

void TargetCapacity::OnEnd(const RequestSize& size, bool has_started) {
  if (!has_started) {
    this->EndPrefill(size);
  }
  this->own_requests -= this->own_requests > 0 ? 1 : 0;
  // Sums of doubles that are added and removed don't return to 0 exactly.
  this->own_tokens = this->own_requests == 0
                         ? 0
                         : std::max(0.0, this->own_tokens - size.tokens());
  this->own_prompt_tokens =
      this->own_requests == 0 ? 0 : this->own_prompt_tokens;
}

void TargetCapacity::OnReport(const TargetLoad& load,
                              const TargetKind& kind,
                              ServicePace& pace,
                              TimePoint now) {
  const double all = static_cast<double>(load.running) + load.waiting;
  this->other_requests = std::max(0.0, all - this->own_requests);
  this->waiting = load.waiting;
  this->reported_at = now;
  if (!load.work_time_percent) {
    return;
  }
  this->is_stated = true;
  const double percent =
      std::clamp(static_cast<double>(*load.work_time_percent),
                 kMinFactor * kUsualPercent, kMaxFactor * kUsualPercent);
  this->work_time_percent.Add(percent, now);
  const double fraction =
      std::min(kMaxLoadFraction, this->other_requests / kind.slots);
  this->other_load.Add(fraction, now);
  pace.OnReport(fraction, percent, now);
}

void TargetCapacity::OnRun(const CompletedRun& run,
                           const TargetKind& kind,
                           ServicePace& pace,
                           TimePoint now) {
  const double batch = BatchFactor(this->Load(kind, pace, now), kind);
  const double work_time =
      this->work_time_percent.Value(pace.WorkTimePercent(now), now) /
      kUsualPercent;
  const auto usual = pace.EventInterval(run.stated.model, now);
  pace.OnRun(run, this->Slowness(pace, now) * batch, now);
  const std::optional<Duration> measured = run.EventInterval();
  if (measured && usual && *usual > 0) {
    const std::chrono::duration<double, std::milli> interval = *measured;
    this->relative_time.Add(
        std::clamp(interval.count() / (*usual * batch * work_time), kMinFactor,
                   kMaxFactor),
        now);
  }
}

double TargetCapacity::Load(const TargetKind& kind,
                            const ServicePace& pace,
                            TimePoint now) const {
  const double usual =
      this->other_load.Value(pace.LoadFraction(now), now) * kind.slots;
  const double certainty =
      DecayFactor(now - this->reported_at, kReportHalfLife);
  return this->own_requests + usual +
         (this->other_requests - usual) * certainty;
}

double TargetCapacity::Slowness(const ServicePace& pace, TimePoint now) const {
  return this->relative_time.Value(1, now) *
         this->work_time_percent.Value(pace.WorkTimePercent(now), now) /
         kUsualPercent;
}

double TargetCapacity::TokensInMemory(double load,
                                      const ServicePace& pace,
                                      TimePoint now) const {
  const double others = std::max(0.0, load - this->own_requests);
  return this->own_tokens + others * pace.MeanTokens(now);
}

TargetEstimate TargetCapacity::Estimate(const RequestSize& size,
                                        double cached_tokens,
                                        const std::optional<ModelId>& model,
                                        const TargetKind& kind,
                                        const ServicePace& pace,
                                        TimePoint now) const {
  const double slots = kind.slots;
  const double load = this->Load(kind, pace, now);
  const double slowness = this->Slowness(pace, now);
  const double factor = slowness * BatchFactor(load, kind);
  const double waiting_tokens =
      this->waiting * DecayFactor(now - this->reported_at, kReportHalfLife) *
      pace.MeanPromptTokens(now);
  const double cached = std::min(cached_tokens, size.prompt_tokens);
  const double own_prefill_ms =
      (size.prompt_tokens - cached) / kPrefillTokensPerMs * slowness;
  const double prefill_ms =
      own_prefill_ms + std::max(this->own_prompt_tokens, waiting_tokens) /
                           kPrefillTokensPerMs * slowness;
  // One of the slots becomes free in each such part of a run.
  const double slot_wait_ms =
      std::max(0.0, load + 1 - slots) / slots * pace.MeanRunTime(now) * factor;
  const double interval_ms =
      pace.EventInterval(model, now).value_or(kDefaultIntervalMs) * factor;
  const double first_token_ms = slot_wait_ms + prefill_ms;
  const double memory = kind.memory_tokens;
  return TargetEstimate{
      .slots_used = load / slots,
      .memory_used =
          memory > 0
              ? (this->TokensInMemory(load, pace, now) + size.tokens()) / memory
              : 0,
      .cached_tokens = cached,
      .first_token = FromMilliseconds(first_token_ms),
      .event_interval = FromMilliseconds(interval_ms),
      .completion =
          FromMilliseconds(first_token_ms + size.events * interval_ms),
      .delay_of_others =
          FromMilliseconds(std::min(load, slots) * own_prefill_ms)};
}

}  // namespace cicadaloft
