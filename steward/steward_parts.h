#ifndef CICADALOFT_STEWARD_STEWARD_PARTS_H_
#define CICADALOFT_STEWARD_STEWARD_PARTS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cicadaloft/core/time.h"
#include "cicadaloft/ledger/ledger.h"
#include "cicadaloft/membership/eviction_watch.h"
#include "cicadaloft/membership/lease_keeper.h"
#include "cicadaloft/steward/messages.h"
#include "cicadaloft/steward/steward_settings.h"
#include "link_book.h"
#include "log_follower.h"
#include "log_writer.h"
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
  EntryLink entry;
  StopProgress stop;

  std::optional<TimePoint> started;
  TimePoint next_heartbeat{};
  std::uint64_t heartbeats = 0;
  TimePoint next_state_request{};
  LogOffset last_checkpoint;                ///< Where the last one seen stands.
  std::optional<TimePoint> checkpoint_due;  ///< Since when one is wanted.
  std::optional<SequenceNumber> join;       ///< Under way.
  bool was_in_force = false;
  bool had_rights = false;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_STEWARD_PARTS_H_
