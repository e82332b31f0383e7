#ifndef CICADALOFT_ROUTING_TARGET_VIEW_H_
#define CICADALOFT_ROUTING_TARGET_VIEW_H_

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/placement/messages.h"
#include "cicadaloft/routing/ejection.h"
#include "cicadaloft/routing/target_ramp.h"
#include "cicadaloft/tickets/messages.h"

namespace cicadaloft {

/// What a report says of a model against what the log says.
enum class LoadHint { kLoaded, kNotLoaded };

/// All that one host knows of a target beyond the log.
class TargetView {
 public:
  explicit TargetView(TargetId id) : target(std::move(id)) {}

  const TargetId& id() const { return this->target; }
  /// The configuration's item; null for one that has been removed.
  const std::shared_ptr<const Target>& item() const {
    return this->target_item;
  }

  /// Takes the configuration's item and this host's bounds over.
  void Configure(std::shared_ptr<const Target> item, const RampBounds& bounds);
  /// Takes the instance that the log names.
  void OnInstance(TargetInstance instance);

  /// @return whether the report is of the known or a newer process.
  bool OnReport(const TargetReport& report, TimePoint now);
  /// Contradicts or runs ahead of the log until it is dropped.
  /// @return whether this changes what was known.
  bool SetHint(const ModelId& model, LoadHint hint);
  /// The log has spoken of the model: what was reported before is void.
  void DropHint(const ModelId& model);
  void DropHints();
  std::optional<LoadHint> HintOf(const ModelId& model) const;
  /// The target has denied to have the model.
  void OnNotLoaded(const ModelId& model, TimePoint now);

  void OnDispatch();
  /// A request has ended, however.
  void OnEnd();
  void OnGoodAnswer(Duration took);
  void OnFailure(TimePoint now);
  void OnOverload(TimePoint now);

  /// @return whether the own part of the cap has room.
  bool HasOwnRoom() const { return this->used < this->ramp.limit(); }
  std::uint32_t OwnRoom() const;
  std::uint32_t limit() const { return this->ramp.limit(); }
  /// Room of the own part that is in use, lent permits included.
  std::uint32_t used_room() const { return this->used; }
  void UseRoom() { ++this->used; }
  void FreeRoom();

  const Ejection& ejection() const { return this->ejected; }
  TargetInstance instance() const { return this->last_instance; }
  /// @return a cost to compare targets by: the lower, the sooner an answer.
  double ExpectedCompletion() const;
  std::uint32_t in_flight() const { return this->running; }

  /// Suspects of this host that run there.
  std::uint32_t suspects() const { return this->running_suspects; }
  void AddSuspect() { ++this->running_suspects; }
  void RemoveSuspect() { --this->running_suspects; }

 private:
  TargetId target;
  std::shared_ptr<const Target> target_item;
  TargetInstance last_instance;
  TargetRamp ramp;
  Ejection ejected;
  std::map<ModelId, LoadHint> hints;
  std::map<ModelId, TimePoint> denials;
  std::uint32_t reported_load = 0;
  std::int64_t sent_since_report = 0;  ///< Minus those ended since.
  std::uint32_t running = 0;
  std::uint32_t used = 0;
  std::uint32_t running_suspects = 0;
  double seconds_per_answer = 1;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_TARGET_VIEW_H_
