#ifndef CICADALOFT_PLACEMENT_STORE_LOAD_MONITOR_H_
#define CICADALOFT_PLACEMENT_STORE_LOAD_MONITOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/model_path.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Derives from the times of loads from the weight store how many of them may
/// run at once. No message of the platform states the number; beyond it, all
/// loads take proportionally longer.
class StoreLoadMonitor {
 public:
  static constexpr std::uint32_t kMaxLimit = 4;

  /// A load that has ended.
  struct Measurement {
    Duration took{};
    Duration stated{};      ///< By the model's configuration.
    double concurrent = 1;  ///< Loads at the same time, on average.
    bool is_late = false;
    std::uint32_t limit = 0;  ///< After this load.
  };

  /// @return loads that may run at once.
  std::uint32_t limit() const { return this->current_limit; }
  /// @return loads that are no longer expected to run and have not been seen to
  /// end. Where the limit has never been too high, only those that are late.
  std::uint32_t OverdueCount(TimePoint now) const;

  void OnStarted(const TargetId& target,
                 const ModelPath& path,
                 Duration stated,
                 TimePoint now);
  /// @return the target's load if it has not been seen to end; its model.
  std::optional<ModelPath> RunningOn(const TargetId& target) const;
  /// @return targets with a load that has not been seen to end.
  std::vector<TargetId> Targets() const;
  /// The target has the model of its load now.
  Measurement OnLoaded(const TargetId& target, TimePoint now);
  /// The end of the target's load will not be seen.
  void Forget(const TargetId& target) { this->loads.erase(target); }
  /// To be called at regular intervals.
  void Tick(TimePoint now);

 private:
  struct Load {
    ModelPath path;
    TimePoint started_at{};
    Duration stated{};
    std::uint32_t samples = 0;
    double concurrent_sum = 0;
  };

  static Duration LateAfter(const Load& load);
  void Adapt(const Measurement& measurement, TimePoint now);

  std::map<TargetId, Load> loads;
  std::uint32_t current_limit = kMaxLimit;
  /// How many loads ran at full speed together, by the preceding late load.
  std::optional<double> last_late_capacity;
  TimePoint changed_at{};  ///< Of the limit, or the last late load.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_STORE_LOAD_MONITOR_H_
