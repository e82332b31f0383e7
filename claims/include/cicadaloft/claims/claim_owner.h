#ifndef CICADALOFT_CLAIMS_CLAIM_OWNER_H_
#define CICADALOFT_CLAIMS_CLAIM_OWNER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/claims/claim_table.h"
#include "cicadaloft/claims/messages.h"
#include "cicadaloft/core/decision_line.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/membership/member_table.h"

namespace cicadaloft {

/// The records that an owner of claims writes.
using ClaimBody = std::variant<ClaimRecord, ClaimOutcomeRecord>;

/// What an owner of claims sees of one step.
struct ClaimView {
  const Member& self;
  const MemberTable& members;
  const ClaimTable& folded;
  const bool may_use_rights = false;
  const bool is_outage = false;  ///< Nobody here reaches the log.
  const bool has_linked_mate = false;
  const bool is_stopping = false;  ///< No new claims.
  const TimePoint now{};
  /// Whether the mates' mirrors of a duty have been collected.
  const std::function<bool(const DutyId&)> is_collected;
  /// Queues a record for the log.
  const std::function<SequenceNumber(const ClaimBody&)> submit;
};

/// Answer an asker.
struct ClaimAnswer {
  const HostId to;
  const ClaimReply reply;
};

/// Tell the mates of the queued record; answered by Mirrored() if they all do.
struct ClaimMirror {
  const SequenceNumber sequence;
};

using ClaimEffect = std::variant<ClaimAnswer, ClaimMirror, DecisionLine>;

/// Serializes the claims of the buckets that this host owns. A request is
/// granted once its claim is the first of its key in the log or, while the log
/// is out, once every linked mate holds it.
class ClaimOwner {
 public:
  void Ask(const ClaimView& view, const HostId& from, const ClaimRecord& asked);
  void Finish(const ClaimView& view, const ClaimOutcomeRecord& outcome);

  /// Own records up to `last` stand in the log.
  void ReadBack(const ClaimView& view, SequenceNumber last);
  /// All linked mates hold the record.
  void Mirrored(const ClaimView& view, SequenceNumber sequence);
  /// Takes what a mate holds of an earlier owner's outage, at a takeover.
  void TakeMirrored(const ClaimView& view, const ClaimBody& body);
  /// The place was lost: nothing is on its way any longer.
  void StartOver(const ClaimView& view);

  /// Does what is due.
  void Work(const ClaimView& view);

  /// @return whether no claim waits for the log or the mates.
  bool IsQuiet() const;
  std::vector<ClaimEffect> TakeEffects();

 private:
  /// A claim that is not in the ledger with its outcome.
  struct Pending {
    ClaimRecord record;
    HostId asker;
    SequenceNumber sequence;
    TimePoint since{};
    TimePoint mirrored{};  ///< When the mates were last told.
    bool is_granted = false;
    std::optional<ClaimOutcomeRecord> outcome;
    SequenceNumber outcome_sequence;
  };

  void Answer(const HostId& to,
              const ClaimRecord& asked,
              ClaimVerdict verdict,
              int http_status = 0);
  void Refuse(const HostId& to, const ClaimRecord& asked);
  void Begin(const ClaimView& view,
             const HostId& from,
             const ClaimRecord& asked);
  void Grant(Pending& pending);
  void SetOutcome(const ClaimView& view,
                  Pending& pending,
                  const ClaimOutcomeRecord& outcome);
  void Settle(const ClaimView& view, Pending& pending);
  void GiveUpLate(const ClaimView& view);
  void MirrorWaiting(const ClaimView& view);
  void EndOrphans(const ClaimView& view);

  std::map<ClaimKey, Pending> pending;
  std::map<ClaimKey, SequenceNumber> ending;  ///< Outcomes of folded claims.
  TimePoint next_orphans{};
  std::vector<ClaimEffect> effects;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CLAIMS_CLAIM_OWNER_H_
