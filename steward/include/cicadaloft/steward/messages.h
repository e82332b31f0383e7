#ifndef CICADALOFT_STEWARD_MESSAGES_H_
#define CICADALOFT_STEWARD_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/core/decision_line.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/ledger/messages.h"
#include "cicadaloft/peering/messages.h"
#include "cicadaloft/placement/messages.h"
#include "cicadaloft/tickets/config.h"

namespace cicadaloft {

/// Records read from the log, in order from the asked offset on.
struct LogRead {
  const std::vector<PlacedRecord> records;
  const LogOffset first_kept;  ///< The oldest record that the log still has.
  const LogOffset next;        ///< Where to read on.

  friend auto operator<=>(const LogRead&, const LogRead&) = default;
  friend bool operator==(const LogRead&, const LogRead&) = default;
};

/// A read failed or timed out.
struct LogReadFailed {
  friend auto operator<=>(const LogReadFailed&, const LogReadFailed&) = default;
  friend bool operator==(const LogReadFailed&, const LogReadFailed&) = default;
};

/// An append has been answered. Only reading it back proves its effect.
struct AppendAnswered {
  const SequenceNumber last;  ///< Of the appended records.
  const bool is_ok = false;   ///< False: failed, timed out or unknown.

  friend auto operator<=>(const AppendAnswered&,
                          const AppendAnswered&) = default;
  friend bool operator==(const AppendAnswered&,
                         const AppendAnswered&) = default;
};

/// The platform's host list, whenever it has been read.
struct HostListRead {
  const std::vector<HostListEntry> hosts;

  friend auto operator<=>(const HostListRead&, const HostListRead&) = default;
  friend bool operator==(const HostListRead&, const HostListRead&) = default;
};

/// A message from another host's steward, or from the own entry
/// (`envelope.from` is then the own host).
struct StewardLinkReceived {
  const Envelope envelope;
  const bool from_entry = false;

  friend auto operator<=>(const StewardLinkReceived&,
                          const StewardLinkReceived&) = default;
  friend bool operator==(const StewardLinkReceived&,
                         const StewardLinkReceived&) = default;
};

/// A link has come up or gone down.
struct PeerChanged {
  const HostId peer;  ///< The own host for the own entry.
  const bool is_up = false;

  friend auto operator<=>(const PeerChanged&, const PeerChanged&) = default;
  friend bool operator==(const PeerChanged&, const PeerChanged&) = default;
};

/// A target has answered a PollTarget.
struct TargetReported {
  const TargetReport report;

  friend auto operator<=>(const TargetReported&,
                          const TargetReported&) = default;
  friend bool operator==(const TargetReported&,
                         const TargetReported&) = default;
};

struct TargetPollFailed {
  const TargetId target;

  friend auto operator<=>(const TargetPollFailed&,
                          const TargetPollFailed&) = default;
  friend bool operator==(const TargetPollFailed&,
                         const TargetPollFailed&) = default;
};

/// An order has ended.
struct OrderEnded {
  const OrderId order;
  const OrderOutcome outcome = OrderOutcome::kUnknown;

  friend auto operator<=>(const OrderEnded&, const OrderEnded&) = default;
  friend bool operator==(const OrderEnded&, const OrderEnded&) = default;
};

/// An operator hands a ticket in. A TicketAnswer with the same number follows.
struct TicketSubmitted {
  const std::uint64_t call;  ///< Names the operator's call.
  const Ticket ticket;

  friend auto operator<=>(const TicketSubmitted&,
                          const TicketSubmitted&) = default;
  friend bool operator==(const TicketSubmitted&,
                         const TicketSubmitted&) = default;
};

/// Comes every kStewardTickInterval.
struct StewardTick {
  friend auto operator<=>(const StewardTick&, const StewardTick&) = default;
  friend bool operator==(const StewardTick&, const StewardTick&) = default;
};

struct StewardStopRequested {
  friend auto operator<=>(const StewardStopRequested&,
                          const StewardStopRequested&) = default;
  friend bool operator==(const StewardStopRequested&,
                         const StewardStopRequested&) = default;
};

using StewardEvent = std::variant<LogRead,
                                  LogReadFailed,
                                  AppendAnswered,
                                  HostListRead,
                                  StewardLinkReceived,
                                  PeerChanged,
                                  TargetReported,
                                  TargetPollFailed,
                                  OrderEnded,
                                  TicketSubmitted,
                                  StewardTick,
                                  StewardStopRequested>;

/// Append these records, all or none, in this order.
struct AppendRecords {
  const std::vector<LogRecord> records;

  friend auto operator<=>(const AppendRecords&, const AppendRecords&) = default;
  friend bool operator==(const AppendRecords&, const AppendRecords&) = default;
};

/// Read the log from here on; answered by LogRead or LogReadFailed. The
/// reader may wait for new records (long poll).
struct ReadLog {
  const LogOffset from;

  friend auto operator<=>(const ReadLog&, const ReadLog&) = default;
  friend bool operator==(const ReadLog&, const ReadLog&) = default;
};

/// Send to another host's steward.
struct SendPeer {
  const Envelope envelope;
  /// The host over whose link it goes, where there is none to `envelope.to`;
  /// empty otherwise. That host passes it on.
  const HostId via;

  friend auto operator<=>(const SendPeer&, const SendPeer&) = default;
  friend bool operator==(const SendPeer&, const SendPeer&) = default;
};

/// Send to the own entry.
struct SendEntry {
  const Envelope envelope;

  friend auto operator<=>(const SendEntry&, const SendEntry&) = default;
  friend bool operator==(const SendEntry&, const SendEntry&) = default;
};

/// Hold a link to this host, or no longer.
struct HoldLink {
  const HostId peer;
  const std::string address;
  const bool is_held = true;

  friend auto operator<=>(const HoldLink&, const HoldLink&) = default;
  friend bool operator==(const HoldLink&, const HoldLink&) = default;
};

struct PollTarget {
  const TargetId target;
  const std::string address;

  friend auto operator<=>(const PollTarget&, const PollTarget&) = default;
  friend bool operator==(const PollTarget&, const PollTarget&) = default;
};

/// Order a target to load or unload. An OrderEnded follows.
struct OrderTarget {
  const OrderId order;
  const TargetId target;
  const std::string address;
  const ModelId model;
  const std::optional<ModelId> base;  ///< Set for adapters.
  const std::uint64_t memory_mib = 0;
  const PlacementAction action = PlacementAction::kLoad;
  const TargetInstance instance;
  const FencingToken token;

  friend auto operator<=>(const OrderTarget&, const OrderTarget&) = default;
  friend bool operator==(const OrderTarget&, const OrderTarget&) = default;
};

/// What the operator hears. Accepted only after the record was read back.
struct TicketAnswer {
  const std::uint64_t call = 0;
  const Result<TicketOutcome> outcome;

  friend auto operator<=>(const TicketAnswer&, const TicketAnswer&) = default;
  friend bool operator==(const TicketAnswer&, const TicketAnswer&) = default;
};

/// The steward has left: its rights are handed over.
struct StewardStopped {
  friend auto operator<=>(const StewardStopped&,
                          const StewardStopped&) = default;
  friend bool operator==(const StewardStopped&,
                         const StewardStopped&) = default;
};

using StewardEffect = std::variant<AppendRecords,
                                   ReadLog,
                                   SendPeer,
                                   SendEntry,
                                   HoldLink,
                                   PollTarget,
                                   OrderTarget,
                                   TicketAnswer,
                                   DecisionLine,
                                   StewardStopped>;

inline constexpr Duration kStewardTickInterval = std::chrono::milliseconds(20);

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_MESSAGES_H_
