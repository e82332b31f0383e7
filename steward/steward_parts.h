#ifndef CICADALOFT_STEWARD_STEWARD_PARTS_H_
#define CICADALOFT_STEWARD_STEWARD_PARTS_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cicadaloft/claims/claim_owner.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/ledger/ledger.h"
#include "cicadaloft/membership/eviction_watch.h"
#include "cicadaloft/membership/lease_keeper.h"
#include "cicadaloft/placement/placement_owner.h"
#include "cicadaloft/steward/messages.h"
#include "cicadaloft/steward/steward_settings.h"
#include "link_book.h"
#include "log_follower.h"
#include "log_writer.h"
#include "mirror_collector.h"
#include "mirror_holder.h"
#include "relay.h"
#include "ticket_desk.h"

namespace cicadaloft {

/// The own entry, as far as the steward knows it.
struct EntryLink {
  bool is_up = false;
  std::optional<LogOffset> applied;  ///< What it acts on; none if unknown.
  bool told_usable = false;          ///< The last ShareLease.
  TimePoint told_at{};
};

/// How far a planned stop is.
struct StopProgress {
  std::optional<TimePoint> asked;
  std::optional<TimePoint> left;  ///< When the LeaveRecord was made.
  bool is_stopped = false;
};

/// Mates that were told of a decision while the log is out.
struct MirrorTally {
  std::set<HostId> told;
  std::set<HostId> acknowledged;
};

/// A duty that is being given up to a better placed member.
struct Handover {
  HostId to;
  std::optional<SequenceNumber> sequence;  ///< Once the record was made.
};

/// A claim that waits for its duty to settle.
struct HeldAsk {
  const HostId from;
  const ClaimAsk ask;
  const bool is_from_entry = false;
  const TimePoint since{};
};

/// The parts of a steward, and the step that they are in.
struct StewardParts {
  explicit StewardParts(const StewardSettings& settings);

  const Ledger& ledger() const { return this->follower.ledger(); }
  const Member& self() const { return this->settings.self; }
  bool IsInForce() const;
  bool IsStopping() const { return this->stop.asked.has_value(); }
  /// Whether appends are expected to get through, by a mate if need be.
  bool IsLogUsable() const;
  MateView ViewOfMates() const;
  bool MayUseRights() const;
  /// Whether nobody here reaches the log, so that mates must do.
  bool IsOutage() const { return !this->IsLogUsable(); }
  /// @return mates of the data centre whose links are up.
  std::vector<HostId> LinkedMates() const;

  void Emit(StewardEffect effect);
  void Explain(const char* reason, std::string detail);
  /// Sends on its way, or drops it where there is none.
  /// @return whether there was a way.
  bool Send(const HostId& to, LinkMessage message);
  void SendToEntry(LinkMessage message);

  const StewardSettings settings;
  TimePoint now{};
  std::vector<StewardEffect> effects;

  LogFollower follower;
  LogWriter writer;
  LinkBook links;
  Relay relay;
  TicketDesk tickets;
  LeaseKeeper lease;
  EvictionWatch evictions;
  PlacementOwner placement;
  ClaimOwner claims;
  MirrorHolder mirrors;
  MirrorCollector collector;
  std::map<SequenceNumber, MirrorTally> tallies;
  std::map<DutyId, Handover> handovers;
  std::deque<HeldAsk> held_asks;
  std::map<Member, TimePoint> member_since;  ///< When each was first seen.
  /// Tokens of duties that their last owners gave up by themselves.
  std::set<FencingToken> given_up;
  EntryLink entry;
  StopProgress stop;

  std::optional<TimePoint> started;
  TimePoint next_heartbeat{};
  std::uint64_t heartbeats = 0;
  TimePoint next_load_news{};  ///< When mates may hear of loads again.
  TimePoint next_state_request{};
  LogOffset last_checkpoint;                ///< Where the last one seen stands.
  std::optional<TimePoint> checkpoint_due;  ///< Since when one is wanted.
  std::optional<SequenceNumber> join;       ///< Under way.
  /// Members or the host list have changed since the links were looked at.
  bool has_new_hosts = true;
  bool was_in_force = false;
  bool had_rights = false;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_STEWARD_PARTS_H_
