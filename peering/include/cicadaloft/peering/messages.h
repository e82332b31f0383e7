#ifndef CICADALOFT_PEERING_MESSAGES_H_
#define CICADALOFT_PEERING_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/claims/messages.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/ledger/messages.h"
#include "cicadaloft/membership/messages.h"
#include "cicadaloft/placement/messages.h"

namespace cicadaloft {

/// Records of the log passed on by a process that has them.
struct RelayRecords {
  const std::vector<PlacedRecord> records;
  const LogOffset next;  ///< All records before it are known to the sender.

  friend auto operator<=>(const RelayRecords&, const RelayRecords&) = default;
  friend bool operator==(const RelayRecords&, const RelayRecords&) = default;
};

/// How far the sender is; sent on connecting and at each heartbeat.
struct LogPosition {
  const LogOffset next;
  const bool log_reachable = false;  ///< The sender reads the log itself.
  const LogOffset applied_by_entry;  ///< What its entry acts on.

  friend auto operator<=>(const LogPosition&, const LogPosition&) = default;
  friend bool operator==(const LogPosition&, const LogPosition&) = default;
};

/// Asks for the records from an offset on, or for the whole state.
struct StateRequest {
  const LogOffset from;

  friend auto operator<=>(const StateRequest&, const StateRequest&) = default;
  friend bool operator==(const StateRequest&, const StateRequest&) = default;
};

/// The sender's whole state.
struct StateTransfer {
  const CheckpointRecord checkpoint;

  friend auto operator<=>(const StateTransfer&, const StateTransfer&) = default;
  friend bool operator==(const StateTransfer&, const StateTransfer&) = default;
};

/// Asks a mate that reaches the log to append a record as its writer has made
/// it.
struct AppendForMe {
  const LogRecord record;

  friend auto operator<=>(const AppendForMe&, const AppendForMe&) = default;
  friend bool operator==(const AppendForMe&, const AppendForMe&) = default;
};

/// While the log is out: a decision told to a mate before it takes effect.
struct MirrorRecord {
  const LogRecord record;

  friend auto operator<=>(const MirrorRecord&, const MirrorRecord&) = default;
  friend bool operator==(const MirrorRecord&, const MirrorRecord&) = default;
};

struct MirrorAck {
  const SequenceNumber sequence;  ///< Of the mirrored record.

  friend auto operator<=>(const MirrorAck&, const MirrorAck&) = default;
  friend bool operator==(const MirrorAck&, const MirrorAck&) = default;
};

/// A new owner asks each mate for the mirrored records it still holds.
struct MirrorRequest {
  const DutyId duty;

  friend auto operator<=>(const MirrorRequest&, const MirrorRequest&) = default;
  friend bool operator==(const MirrorRequest&, const MirrorRequest&) = default;
};

struct MirrorReply {
  const DutyId duty;
  const std::vector<LogRecord> records;

  friend auto operator<=>(const MirrorReply&, const MirrorReply&) = default;
  friend bool operator==(const MirrorReply&, const MirrorReply&) = default;
};

/// What an entry wants from the placement owner of a data centre.
struct DemandReport {
  const HostId host;
  const std::vector<ModelDemand> demands;

  friend auto operator<=>(const DemandReport&, const DemandReport&) = default;
  friend bool operator==(const DemandReport&, const DemandReport&) = default;
};

/// The placement owner's news of a target, ahead of the log. A hint.
struct TargetNews {
  const TargetReport report;

  friend auto operator<=>(const TargetNews&, const TargetNews&) = default;
  friend bool operator==(const TargetNews&, const TargetNews&) = default;
};

/// Says in time that a model can't be loaded, so that its callers hear it.
struct NoCapacityNotice {
  const ModelId model;
  const Duration retry_after{};

  friend auto operator<=>(const NoCapacityNotice&,
                          const NoCapacityNotice&) = default;
  friend bool operator==(const NoCapacityNotice&,
                         const NoCapacityNotice&) = default;
};

/// A host short of a customer's tokens asks another.
struct BorrowTokens {
  const HostId borrower;
  const CustomerId customer;
  const double wanted_requests = 0;

  friend auto operator<=>(const BorrowTokens&, const BorrowTokens&) = default;
  friend bool operator==(const BorrowTokens&, const BorrowTokens&) = default;
};

/// Tokens that the lender has already deducted. Lost with the message.
struct LendTokens {
  const HostId lender;
  const CustomerId customer;
  const double requests = 0;

  friend auto operator<=>(const LendTokens&, const LendTokens&) = default;
  friend bool operator==(const LendTokens&, const LendTokens&) = default;
};

/// A host without room on a target asks another for room for one request.
struct BorrowPermit {
  const HostId borrower;
  const TargetId target;

  friend auto operator<=>(const BorrowPermit&, const BorrowPermit&) = default;
  friend bool operator==(const BorrowPermit&, const BorrowPermit&) = default;
};

/// Room for one request, deducted by the lender until it comes back or
/// `duration` has passed; the borrower ends the request by then.
struct LendPermit {
  const HostId lender;
  const TargetId target;
  const std::uint64_t permit = 0;
  const Duration duration{};

  friend auto operator<=>(const LendPermit&, const LendPermit&) = default;
  friend bool operator==(const LendPermit&, const LendPermit&) = default;
};

struct ReturnPermit {
  const HostId borrower;
  const TargetId target;
  const std::uint64_t permit = 0;

  friend auto operator<=>(const ReturnPermit&, const ReturnPermit&) = default;
  friend bool operator==(const ReturnPermit&, const ReturnPermit&) = default;
};

/// A request was running when its target died.
struct SuspectNotice {
  const std::uint64_t fingerprint = 0;
  const TargetId target;

  friend auto operator<=>(const SuspectNotice&, const SuspectNotice&) = default;
  friend bool operator==(const SuspectNotice&, const SuspectNotice&) = default;
};

/// The steward tells its entry how long its shares may be used.
struct ShareLease {
  const bool usable = false;
  const LogOffset confirmed_at;  ///< The steward's position when it decided.

  friend auto operator<=>(const ShareLease&, const ShareLease&) = default;
  friend bool operator==(const ShareLease&, const ShareLease&) = default;
};

/// All that goes between the system's own processes.
using LinkMessage = std::variant<RelayRecords,
                                 LogPosition,
                                 StateRequest,
                                 StateTransfer,
                                 AppendForMe,
                                 MirrorRecord,
                                 MirrorAck,
                                 MirrorRequest,
                                 MirrorReply,
                                 DemandReport,
                                 TargetNews,
                                 NoCapacityNotice,
                                 BorrowTokens,
                                 LendTokens,
                                 BorrowPermit,
                                 LendPermit,
                                 ReturnPermit,
                                 SuspectNotice,
                                 ShareLease,
                                 ClaimAsk,
                                 ClaimReply,
                                 ClaimFinished>;

/// A link message with the host that it is meant for. Between an entry and its
/// steward an empty host means the steward or entry at the other end.
struct Envelope {
  const HostId from;
  const HostId to;
  const LinkMessage message;

  friend auto operator<=>(const Envelope&, const Envelope&) = default;
  friend bool operator==(const Envelope&, const Envelope&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PEERING_MESSAGES_H_
