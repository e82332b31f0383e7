#ifndef CICADALOFT_PLACEMENT_MESSAGES_H_
#define CICADALOFT_PLACEMENT_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

enum class PlacementAction { kLoad, kUnload };

/// A decision of a data centre's placement owner. It counts only if its writer
/// owns the duty, and, for a load, if the target's memory holds it beside all
/// that is reserved. Memory is reserved from here on.
struct PlacementRecord {
  const TargetId target;
  const ModelId model;
  const PlacementAction action = PlacementAction::kLoad;
  const TargetInstance instance;  ///< The process that is to carry it out.
  /// Decided, mirrored and ordered while the log was out: it has happened, so
  /// the fold takes it without asking for room.
  const bool ordered_in_outage = false;

  friend auto operator<=>(const PlacementRecord&,
                          const PlacementRecord&) = default;
  friend bool operator==(const PlacementRecord&,
                         const PlacementRecord&) = default;
};

enum class PlacementOutcome {
  kLoaded,
  kUnloaded,  ///< Confirmed: the memory is free again.
  kFailed,    ///< Confirmed that the load left nothing in memory.
};

/// What the target confirmed. An outcome that is not known has no record: the
/// memory stays reserved.
struct PlacementOutcomeRecord {
  const TargetId target;
  const ModelId model;
  const TargetInstance instance;
  const PlacementOutcome outcome = PlacementOutcome::kLoaded;

  friend auto operator<=>(const PlacementOutcomeRecord&,
                          const PlacementOutcomeRecord&) = default;
  friend bool operator==(const PlacementOutcomeRecord&,
                         const PlacementOutcomeRecord&) = default;
};

/// A target has a new process: nothing of the old one is in memory.
struct TargetInstanceRecord {
  const TargetId target;
  const TargetInstance instance;

  friend auto operator<=>(const TargetInstanceRecord&,
                          const TargetInstanceRecord&) = default;
  friend bool operator==(const TargetInstanceRecord&,
                         const TargetInstanceRecord&) = default;
};

enum class CheckpointTier {
  kRemote,  ///< In the weight store only.
  kDisk,
  kMemory,  ///< In the target host's memory, not on an accelerator.
};

/// One model as a target reports it.
struct ReportedModel {
  const ModelId model;
  const bool loaded = false;  ///< False while it loads or unloads.

  friend auto operator<=>(const ReportedModel&, const ReportedModel&) = default;
  friend bool operator==(const ReportedModel&, const ReportedModel&) = default;
};

/// A checkpoint that a target has nearer than the weight store.
struct CachedCheckpoint {
  const ModelId model;
  const CheckpointTier tier = CheckpointTier::kDisk;

  friend auto operator<=>(const CachedCheckpoint&,
                          const CachedCheckpoint&) = default;
  friend bool operator==(const CachedCheckpoint&,
                         const CachedCheckpoint&) = default;
};

/// What a target says of itself, with a lag.
struct TargetReport {
  const TargetId target;
  const TargetInstance instance;
  const std::uint32_t running = 0;
  const std::uint32_t queued = 0;
  const std::uint64_t used_mib = 0;
  const std::vector<ReportedModel> models;
  const std::vector<CachedCheckpoint> checkpoints;

  friend auto operator<=>(const TargetReport&, const TargetReport&) = default;
  friend bool operator==(const TargetReport&, const TargetReport&) = default;
};

/// How an order to a target ended.
enum class OrderOutcome {
  kConfirmed,
  kRefused,  ///< Old fencing token, or no room: nothing changed.
  kFailed,   ///< The target confirms that nothing is in memory.
  kUnknown,  ///< No answer: it may still take effect.
};

/// Requests that wait on a host for a model without a free replica.
struct ModelDemand {
  const ModelId model;
  const std::uint32_t waiting_interactive = 0;
  const std::uint32_t waiting_batch = 0;
  const std::uint32_t running = 0;
  const std::uint32_t arrived = 0;  ///< Since the last report.
  const Duration oldest_wait{};

  friend auto operator<=>(const ModelDemand&, const ModelDemand&) = default;
  friend bool operator==(const ModelDemand&, const ModelDemand&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_MESSAGES_H_
