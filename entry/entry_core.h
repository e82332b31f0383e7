#ifndef CICADALOFT_ENTRY_ENTRY_CORE_H_
#define CICADALOFT_ENTRY_ENTRY_CORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cicadaloft/admission/key_cache.h"
#include "cicadaloft/admission/token_asks.h"
#include "cicadaloft/admission/token_bucket.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/entry_settings.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/ledger/ledger.h"
#include "cicadaloft/routing/permit_book.h"
#include "cicadaloft/routing/prefix_cache.h"
#include "cicadaloft/routing/retry_budget.h"
#include "cicadaloft/routing/suspect_list.h"
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
  TokenAsks asks;
  RetryBudget retries;
};

/// Paths that wait for room on one target.
struct TargetWaiters {
  std::map<std::uint64_t, Path*> paths;  ///< By number.
  std::uint64_t last_served = 0;         ///< A path's number.
  std::uint64_t turn = 0;
};

/// How a claimed request has ended, told to the claims' owner until the ledger
/// shows it.
struct ClaimEnd {
  ClaimOutcomeRecord outcome;
  /// False: the right has not come, so there may be nothing to end.
  bool is_granted = false;
  TimePoint until{};
  Duration interval{};
};

using ClaimEndKey = std::pair<ClaimKey, RequestId>;

/// Room on one target beyond the own part of its cap.
struct TargetPermits {
  PermitAsks asks;
  std::vector<HostId> lenders;
  std::uint64_t lenders_version = 0;
  /// Lent to this host and not in use.
  std::map<std::uint64_t, HeldPermit> held;
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
  TimePoint stop_asked{};
  bool is_drained = false;
  std::optional<TimePoint> state_asked_at;

  Ledger ledger;
  /// Moves with each change of configuration, members or placements.
  std::uint64_t routing_version = 1;

  KeyCache keys;
  std::map<CustomerId, CustomerRate> rates;
  std::set<CustomerId> short_customers;  ///< With requests short of tokens.
  std::vector<HostId> lenders;           ///< Of tokens, the nearest first.
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
  std::map<BackEndId, std::set<DataCentreId>> data_centres_of;
  std::unordered_map<const TargetView*, TargetWaiters> waiters;
  std::map<TargetId, TargetPermits> permits;
  LentPermits lent_permits;
  /// Requests that run on a permit, by the time at which they must end.
  std::set<std::pair<TimePoint, RequestId>> permit_ends;
  PrefixCache prefixes;
  SuspectList suspects;

  /// Requests that wait for their claim, by the time of the next ask.
  std::set<std::pair<TimePoint, RequestId>> claim_asks;
  std::map<ClaimEndKey, ClaimEnd> claim_ends;
  std::set<std::pair<TimePoint, ClaimEndKey>> claim_ends_due;

  std::map<KeyId, std::set<RequestId>> requests_of_key;
  std::map<std::uint64_t, Path*> demanding_paths;  ///< By number.
  TimePoint demand_checked{};

  std::vector<EntryEffect> effects;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_CORE_H_
