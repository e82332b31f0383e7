#ifndef CICADALOFT_ROUTING_SERVICE_PACE_H_
#define CICADALOFT_ROUTING_SERVICE_PACE_H_

#include <chrono>
#include <map>
#include <optional>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/routing/completed_run.h"
#include "cicadaloft/routing/decayed_mean.h"
#include "cicadaloft/routing/request_size.h"

namespace cicadaloft {

/// What one host has learned of a service's requests and of its targets taken
/// together. A target's own estimate starts from it.
class ServicePace {
 public:
  /// Whether any target of the service has stated its work time. The estimates
  /// are used only then.
  bool IsEstimated() const { return this->is_estimated; }

  /// @param load_fraction requests of other hosts, relative to the slots.
  void OnReport(double load_fraction, double work_time_percent, TimePoint now);
  /// @param slowness of the target while the run lasted, as a factor.
  void OnRun(const CompletedRun& run, double slowness, TimePoint now);

  /// @return the expected size; all 0, with one event, without a model.
  RequestSize SizeOf(const StatedSize& stated, TimePoint now) const;
  /// @return time between two events of the model on an average target, in ms;
  /// none before the first run.
  std::optional<double> EventInterval(const std::optional<ModelId>& model,
                                      TimePoint now) const;
  double LoadFraction(TimePoint now) const {
    return this->load_fraction.Value(0, now);
  }
  double WorkTimePercent(TimePoint now) const;
  double MeanPromptTokens(TimePoint now) const;
  double MeanTokens(TimePoint now) const;
  /// @return how long a run takes on an average target, in ms.
  double MeanRunTime(TimePoint now) const;

 private:
  /// The load of all targets changes within a wave of demand.
  static constexpr Duration kLoadHalfLife = std::chrono::seconds(2);
  static constexpr Duration kRequestHalfLife = std::chrono::seconds(60);
  /// A host sees most models less than once a minute, and their speed doesn't
  /// change.
  static constexpr Duration kModelHalfLife = std::chrono::minutes(10);

  bool is_estimated = false;
  DecayedMean load_fraction{kLoadHalfLife};
  DecayedMean work_time_percent{kRequestHalfLife};
  DecayedMean prompt_tokens{kRequestHalfLife};
  DecayedMean output_tokens{kRequestHalfLife};
  DecayedMean events{kRequestHalfLife};
  /// Logarithm of the events per expected token: the estimate is right at the
  /// median and may be far off in both directions.
  DecayedMean log_events_per_token{kRequestHalfLife};
  DecayedMean run_time_ms{kRequestHalfLife};
  DecayedMean interval_ms{kRequestHalfLife};
  std::map<std::optional<ModelId>, DecayedMean> model_intervals_ms;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_SERVICE_PACE_H_
