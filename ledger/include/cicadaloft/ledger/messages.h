#ifndef CICADALOFT_LEDGER_MESSAGES_H_
#define CICADALOFT_LEDGER_MESSAGES_H_

#include <compare>
#include <memory>
#include <string>
#include <variant>

#include "cicadaloft/claims/messages.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/membership/messages.h"
#include "cicadaloft/placement/messages.h"
#include "cicadaloft/tickets/messages.h"

namespace cicadaloft {

class Ledger;

/// The whole state before an offset, so that older records may expire. The fold
/// is deterministic, so the offset alone tells checkpoints apart.
struct CheckpointRecord {
  const LogOffset offset;  ///< Records before it are folded in.
  const std::shared_ptr<const Ledger> state;  ///< Never null.

  friend auto operator<=>(const CheckpointRecord& left,
                          const CheckpointRecord& right) {
    return left.offset <=> right.offset;
  }
  friend bool operator==(const CheckpointRecord& left,
                         const CheckpointRecord& right) {
    return left.offset == right.offset;
  }
};

/// Stands in place of a record that can't be decoded, so that every process
/// leaves out the same ones.
struct UnreadableRecord {
  const std::string reason;

  friend auto operator<=>(const UnreadableRecord&,
                          const UnreadableRecord&) = default;
  friend bool operator==(const UnreadableRecord&,
                         const UnreadableRecord&) = default;
};

using RecordBody = std::variant<TicketRecord,
                                JoinRecord,
                                RenewRecord,
                                LeaveRecord,
                                EvictRecord,
                                HandoverRecord,
                                PlacementRecord,
                                PlacementOutcomeRecord,
                                TargetInstanceRecord,
                                ClaimRecord,
                                ClaimOutcomeRecord,
                                CheckpointRecord,
                                UnreadableRecord>;

/// One record of the log. The fold drops a record whose writer has already
/// written this or a later sequence number, so an append may be sent again.
struct LogRecord {
  const Member writer;
  const SequenceNumber sequence;  ///< From 1, per writer.
  const RecordBody body;

  friend auto operator<=>(const LogRecord&, const LogRecord&) = default;
  friend bool operator==(const LogRecord&, const LogRecord&) = default;
};

/// A record with its place.
struct PlacedRecord {
  const LogOffset offset;
  const LogRecord record;

  friend auto operator<=>(const PlacedRecord&, const PlacedRecord&) = default;
  friend bool operator==(const PlacedRecord&, const PlacedRecord&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_LEDGER_MESSAGES_H_
