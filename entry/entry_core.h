#ifndef CICADALOFT_ENTRY_ENTRY_CORE_H_
#define CICADALOFT_ENTRY_ENTRY_CORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cicadaloft/admission/key_cache.h"
#include "cicadaloft/admission/token_bucket.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/entry_settings.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/ledger/ledger.h"
#include "cicadaloft/routing/target_view.h"
#include "open_request.h"
#include "path.h"

namespace cicadaloft {

struct RequestIdHash {
  std::size_t operator()(const RequestId& id) const {
    return std::hash<std::string>()(id.value());
  }
};

/// One customer's rate on this host.
struct CustomerRate {
  TokenBucket bucket;
  /// Requests that wait for tokens, by number.
  std::map<std::uint64_t, OpenRequest*> short_of_tokens;
};

/// Paths that wait for room on one target.
struct TargetWaiters {
  std::map<std::uint64_t, Path*> paths;  ///< By number.
  std::uint64_t last_served = 0;         ///< A path's number.
  std::uint64_t turn = 0;
};

/// Whether the tokens of this host may be used.
struct ShareUse {
  bool is_usable = false;
  /// After a suspension: what the steward must have read before it counts.
  LogOffset confirmed_from;
};

/// The entry's state, shared by the parts of its decisions.
struct EntryCore {
  explicit EntryCore(const EntrySettings& entry_settings)
      : settings(entry_settings) {}

  void Emit(EntryEffect effect) { this->effects.push_back(std::move(effect)); }
  void Log(std::string_view reason,
           const RequestId& request,
           std::string detail);
  /// Sends to another host, or to the own steward if `to` is empty.
  void Send(const HostId& to, LinkMessage message);

  const EntrySettings settings;
  TimePoint now{};
  std::optional<TimePoint> last_event;
  bool is_link_up = false;
  bool is_stopping = false;
  bool is_drained = false;
  std::optional<TimePoint> state_asked_at;

  Ledger ledger;
  /// Moves with each change of configuration, members or placements.
  std::uint64_t routing_version = 1;

  KeyCache keys;
  std::map<CustomerId, CustomerRate> rates;
  ShareUse share;

  std::unordered_map<RequestId, OpenRequest, RequestIdHash> requests;
  std::uint64_t next_number = 1;
  std::size_t waiting = 0;  ///< Requests that do not run.
  /// Requests that do not run, by deadline.
  std::map<std::pair<TimePoint, std::uint64_t>, OpenRequest*> deadlines;

  std::map<PathKey, Path> paths;
  std::map<std::uint64_t, Path*> waiting_paths;  ///< By number.
  std::map<TargetId, TargetView> targets;
  std::map<BackEndId, std::vector<TargetView*>> targets_of;
  std::unordered_map<const TargetView*, TargetWaiters> waiters;

  std::vector<EntryEffect> effects;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_CORE_H_
