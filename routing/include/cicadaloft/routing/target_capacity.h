#ifndef CICADALOFT_ROUTING_TARGET_CAPACITY_H_
#define CICADALOFT_ROUTING_TARGET_CAPACITY_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/routing/completed_run.h"
#include "cicadaloft/routing/decayed_mean.h"
#include "cicadaloft/routing/prompt_cache.h"
#include "cicadaloft/routing/prompt_chain.h"
#include "cicadaloft/routing/request_size.h"
#include "cicadaloft/routing/service_pace.h"
#include "cicadaloft/routing/target_estimate.h"
#include "cicadaloft/routing/target_load.h"

namespace cicadaloft {

/// What all targets of a service have in common.
struct TargetKind {
  std::uint32_t slots = 1;
  double memory_tokens = 0;  ///< 0: not stated.

  friend auto operator<=>(const TargetKind&, const TargetKind&) = default;
  friend bool operator==(const TargetKind&, const TargetKind&) = default;
};

/// Speed, load and memory of one target process, as one host sees them.
class TargetCapacity {
 public:
  /// A request was sent.
  void OnDispatch(const RequestSize& size);
  /// The response to a request has begun, so its prompt is in memory.
  void OnStart(const RequestSize& size,
               const PromptChain& prompt,
               const TargetKind& kind,
               const ServicePace& pace,
               TimePoint now);
  /// A request has ended, whether its response had begun or not.
  void OnEnd(const RequestSize& size, bool has_started);
  /// The target has stated its load just now.
  void OnReport(const TargetLoad& load,
                const TargetKind& kind,
                ServicePace& pace,
                TimePoint now);
  /// A response is complete.
  void OnRun(const CompletedRun& run,
             const TargetKind& kind,
             ServicePace& pace,
             TimePoint now);

  /// Whether the target has stated its work time.
  bool IsStated() const { return this->is_stated; }
  /// @return requests at the target: this host's, and other hosts' by the last
  /// report, which gives way to the mean of earlier reports as it ages.
  double Load(const TargetKind& kind,
              const ServicePace& pace,
              TimePoint now) const;
  /// @return how much longer work takes here than on an average target, as a
  /// factor.
  double Slowness(const ServicePace& pace, TimePoint now) const;
  /// @return tokens of the prompt that the target is likely to have kept, by
  /// what this host has sent there; 0 if its memory isn't stated.
  double CachedTokens(const PromptChain& prompt,
                      const TargetKind& kind,
                      const ServicePace& pace,
                      TimePoint now) const;
  /// @param cached_tokens of the prompt, which are not prefilled.
  TargetEstimate Estimate(const RequestSize& size,
                          double cached_tokens,
                          const std::optional<ModelId>& model,
                          const TargetKind& kind,
                          const ServicePace& pace,
                          TimePoint now) const;

 private:
  /// A host with 90 targets sees a run on each of them about every 15 s.
  static constexpr Duration kSpeedHalfLife = std::chrono::seconds(30);
  /// The work time changes many times a second; its mean over some seconds
  /// tells whether a machine is slow.
  static constexpr Duration kWorkTimeHalfLife = std::chrono::seconds(5);

  /// Reports of a wave of demand. Hosts that prefer the same target show up in
  /// its mean, also when they send seldom.
  static constexpr Duration kLoadHalfLife = std::chrono::seconds(10);

  /// @return the tokens that requests at the target take in its memory.
  double TokensInMemory(double load,
                        const ServicePace& pace,
                        TimePoint now) const;

  void EndPrefill(const RequestSize& size);
  /// @return tokens that all hosts have written at the target so far.
  double WrittenTokens(const TargetKind& kind,
                       const ServicePace& pace,
                       TimePoint now) const;

  bool is_stated = false;
  DecayedMean relative_time{kSpeedHalfLife};
  DecayedMean work_time_percent{kWorkTimeHalfLife};
  /// Requests of other hosts, relative to the slots.
  DecayedMean other_load{kLoadHalfLife};
  std::uint32_t own_requests = 0;
  double own_tokens = 0;
  double own_prompt_tokens = 0;  ///< Of requests that have not begun.
  double other_requests = 0;     ///< By the last report.
  double waiting = 0;            ///< By the last report.
  TimePoint reported_at{};
  PromptCache prompts;
  double written_tokens = 0;  ///< Up to `written_at`.
  TimePoint written_at{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_TARGET_CAPACITY_H_
