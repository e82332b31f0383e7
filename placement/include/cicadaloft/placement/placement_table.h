#ifndef CICADALOFT_PLACEMENT_PLACEMENT_TABLE_H_
#define CICADALOFT_PLACEMENT_PLACEMENT_TABLE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/placement/messages.h"
#include "cicadaloft/tickets/config.h"

namespace cicadaloft {

enum class ReservationState {
  kLoading,    ///< Decided; the target has not confirmed it.
  kLoaded,     ///< Confirmed: requests may go there.
  kUnloading,  ///< Decided; the memory still counts as used.
};

/// Memory of a target held for one model.
struct Reservation {
  const ReservationState state = ReservationState::kLoading;
  const std::uint64_t memory_mib = 0;
  const LogOffset decided;

  friend auto operator<=>(const Reservation&, const Reservation&) = default;
  friend bool operator==(const Reservation&, const Reservation&) = default;
};

struct TargetMemory {
  TargetInstance instance;
  std::map<ModelId, Reservation> reservations;

  /// @return the sum of what is reserved.
  std::uint64_t ReservedMib() const;

  friend bool operator==(const TargetMemory&, const TargetMemory&) = default;
};

/// What was decided and confirmed of each target's memory: a fold of the log.
class PlacementTable {
 public:
  PlacementTable() = default;
  explicit PlacementTable(std::map<TargetId, TargetMemory> targets);

  const std::map<TargetId, TargetMemory>& targets() const {
    return this->memories;
  }
  /// @return the target's memory; empty for one never heard of.
  const TargetMemory& MemoryOf(const TargetId& target) const;
  const Reservation* Find(const TargetId& target, const ModelId& model) const;
  /// @return targets on which the model is reserved, in any state.
  std::vector<TargetId> HoldersOf(const ModelId& model) const;
  /// @return targets on which the model is confirmed loaded.
  std::vector<TargetId> ReplicasOf(const ModelId& model) const;

  /// Why a decision can't stand; none if it can.
  std::optional<std::string> Check(const Config& config,
                                   const PlacementRecord& record) const;

  /// Each changes the table unless the record does not count.
  std::optional<std::string> Take(const Config& config,
                                  const PlacementRecord& record,
                                  LogOffset at);
  std::optional<std::string> Take(const PlacementOutcomeRecord& record);
  std::optional<std::string> Take(const TargetInstanceRecord& record);

  friend bool operator==(const PlacementTable& left,
                         const PlacementTable& right) {
    return left.memories == right.memories;
  }

 private:
  void Set(const TargetId& target,
           const ModelId& model,
           const Reservation& reservation);
  void Erase(const TargetId& target, const ModelId& model);

  std::map<TargetId, TargetMemory> memories;
  std::map<ModelId, std::vector<TargetId>> holders;  ///< Index of memories.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_PLACEMENT_TABLE_H_
