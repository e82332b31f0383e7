#ifndef CICADALOFT_ENTRY_PATH_H_
#define CICADALOFT_ENTRY_PATH_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "cicadaloft/admission/fair_queue.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/routing/target_view.h"
#include "open_request.h"

namespace cicadaloft {

using PathKey = std::variant<ModelId, RouteId>;

/// @return the path of a call.
PathKey PathKeyOf(const Call& call);

/// How fast a path with waiting requests is served.
struct PathPace {
  std::optional<TimePoint> last_sent;  ///< None while nothing waits.
  std::chrono::duration<double> interval{};
  std::uint32_t samples = 0;
};

/// What the placement owner is to hear of a path.
struct PathDemand {
  std::uint32_t arrived = 0;  ///< Since the last report.
  std::uint32_t running = 0;
  bool has_changed = false;  ///< Since the last report.
  TimePoint reported{};
  /// Since when the owner has been asked without any progress.
  std::optional<TimePoint> unanswered_since;
  /// The owner has said until then that there is no room.
  std::optional<TimePoint> no_capacity_until;
};

/// The targets of a path with this version are found anew.
inline constexpr std::uint64_t kStaleVersion = 0;

/// One model or plain service: its waiting requests and the targets for them.
struct Path {
  PathKey key;
  std::uint64_t number = 0;  ///< In the order of first use.
  FairQueue<OpenRequest*> queue;
  /// Targets that hold the model, as of `version`.
  std::vector<TargetView*> local;
  std::vector<TargetView*> regional;  ///< In other data centres.
  std::uint64_t version = kStaleVersion;
  /// Suspects and their repeats, by number: they run one at a time.
  std::map<std::uint64_t, OpenRequest*> held;
  PathDemand demand;
  PathPace pace;
  bool is_registered = false;  ///< Its targets know that it waits.

  std::size_t WaitingCount() const {
    return this->queue.size() + this->held.size();
  }
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_PATH_H_
