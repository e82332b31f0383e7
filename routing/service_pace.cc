#include "cicadaloft/routing/service_pace.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace cicadaloft {
namespace {

/// Of streams, before any has been seen.
constexpr double kDefaultPromptTokens = 500;
constexpr double kDefaultOutputTokens = 250;
constexpr double kDefaultEvents = 30;
constexpr double kDefaultIntervalMs = 50;

/// A stated size counts up to this multiple of the mean. A request that is
/// larger is rare, and a false statement must not exclude targets.
constexpr double kMaxSizeFactor = 8;

/// Bounds of the events per token.
constexpr double kMinEventsPerToken = 0.01;
constexpr double kMaxEventsPerToken = 1;

constexpr std::size_t kMaxModels = 4096;

double ToMilliseconds(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

void ServicePace::OnReport(double fraction, double percent, TimePoint now) {
  this->is_estimated = true;
  this->load_fraction.Add(fraction, now);
  this->work_time_percent.Add(percent, now);
}

void ServicePace::OnRun(const CompletedRun& run,
                        double slowness,
                        TimePoint now) {
  const RequestSize size = this->SizeOf(run.stated, now);
  if (run.stated.prompt_tokens) {
    this->prompt_tokens.Add(size.prompt_tokens, now);
  }
  if (run.stated.expected_output_tokens || run.stated.max_output_tokens) {
    this->output_tokens.Add(size.output_tokens, now);
  }
  if (run.events > 0) {
    const auto count = static_cast<double>(run.events);
    this->events.Add(count, now);
    if (run.stated.expected_output_tokens) {
      this->log_events_per_token.Add(
          std::log(std::clamp(count / *run.stated.expected_output_tokens,
                              kMinEventsPerToken, kMaxEventsPerToken)),
          now);
    }
  }
  const std::optional<Duration> measured = run.EventInterval();
  if (!measured) {
    return;
  }
  const double interval = ToMilliseconds(*measured) / slowness;
  this->run_time_ms.Add(
      std::max(interval, ToMilliseconds(run.streamed) / slowness), now);
  this->interval_ms.Add(interval, now);
  if (this->model_intervals_ms.size() < kMaxModels ||
      this->model_intervals_ms.contains(run.stated.model)) {
    this->model_intervals_ms.try_emplace(run.stated.model, kModelHalfLife)
        .first->second.Add(interval, now);
  }
}

RequestSize ServicePace::SizeOf(const StatedSize& stated, TimePoint now) const {
  if (!stated.model) {
    return {};
  }
  const double mean_prompt = this->MeanPromptTokens(now);
  const double mean_output =
      this->output_tokens.Value(kDefaultOutputTokens, now);
  const double mean_events = this->events.Value(kDefaultEvents, now);
  RequestSize size;
  size.prompt_tokens = std::min(stated.prompt_tokens.value_or(mean_prompt),
                                kMaxSizeFactor * mean_prompt);
  size.output_tokens =
      std::min({stated.expected_output_tokens.value_or(mean_output),
                stated.max_output_tokens.value_or(kMaxSizeFactor * mean_output),
                kMaxSizeFactor * mean_output});
  const double events_per_token = std::exp(this->log_events_per_token.Value(
      std::log(kDefaultEvents / kDefaultOutputTokens), now));
  size.events = std::clamp(size.output_tokens * events_per_token, 1.0,
                           kMaxSizeFactor * mean_events);
  return size;
}

std::optional<double> ServicePace::EventInterval(
    const std::optional<ModelId>& model,
    TimePoint now) const {
  if (this->interval_ms.IsEmpty()) {
    return std::nullopt;
  }
  const double mean = this->interval_ms.Value(kDefaultIntervalMs, now);
  const auto found = this->model_intervals_ms.find(model);
  return found == this->model_intervals_ms.end()
             ? mean
             : found->second.Value(mean, now);
}

double ServicePace::WorkTimePercent(TimePoint now) const {
  constexpr double kUsual = 100;
  return this->work_time_percent.Value(kUsual, now);
}

double ServicePace::MeanPromptTokens(TimePoint now) const {
  return this->prompt_tokens.Value(kDefaultPromptTokens, now);
}

double ServicePace::MeanTokens(TimePoint now) const {
  return this->MeanPromptTokens(now) +
         this->output_tokens.Value(kDefaultOutputTokens, now);
}

double ServicePace::MeanRunTime(TimePoint now) const {
  return this->run_time_ms.Value(kDefaultEvents * kDefaultIntervalMs, now);
}

}  // namespace cicadaloft
