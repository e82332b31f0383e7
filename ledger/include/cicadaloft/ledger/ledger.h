#ifndef CICADALOFT_LEDGER_LEDGER_H_
#define CICADALOFT_LEDGER_LEDGER_H_

#include <map>
#include <string>
#include <vector>

#include "cicadaloft/claims/claim_table.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/step.h"
#include "cicadaloft/ledger/messages.h"
#include "cicadaloft/membership/member_table.h"
#include "cicadaloft/membership/share_table.h"
#include "cicadaloft/placement/placement_table.h"
#include "cicadaloft/tickets/config.h"

namespace cicadaloft {

/// A record that the fold did not take, with the reason.
struct RejectedRecord {
  const PlacedRecord placed;
  const std::string reason;

  friend auto operator<=>(const RejectedRecord&,
                          const RejectedRecord&) = default;
  friend bool operator==(const RejectedRecord&,
                         const RejectedRecord&) = default;
};

/// All agreed state: the deterministic fold of the log's records. Two processes
/// that have applied the same offset hold equal ledgers.
class Ledger {
 public:
  Ledger() = default;
  Ledger(LogOffset next,
         Config config,
         MemberTable members,
         ShareTable shares,
         PlacementTable placements,
         ClaimTable claims,
         std::map<Member, SequenceNumber> writers);

  /// Every record before this offset is folded in.
  LogOffset next() const { return this->next_offset; }
  const Config& config() const { return this->current_config; }
  const MemberTable& members() const { return this->member_table; }
  const ShareTable& shares() const { return this->share_table; }
  const PlacementTable& placements() const { return this->placement_table; }
  const ClaimTable& claims() const { return this->claim_table; }
  /// Last sequence number folded in, per writer.
  const std::map<Member, SequenceNumber>& writers() const {
    return this->writer_sequences;
  }
  /// @return the last sequence number folded in of this writer; 0 if none.
  SequenceNumber LastSequenceOf(const Member& writer) const;

  /// Folds one record in. Records below next() are left out; so the same
  /// records may come twice, over the log and from mates.
  /// @pre placed.offset <= ledger.next().
  friend Step<Ledger, RejectedRecord> Apply(Ledger ledger,
                                            const PlacedRecord& placed);

  friend bool operator==(const Ledger&, const Ledger&) = default;

 private:
  Rejection Take(const LogRecord& record, LogOffset at);
  void UpdateShares(LogOffset at);

  LogOffset next_offset;
  Config current_config;
  MemberTable member_table;
  ShareTable share_table;
  PlacementTable placement_table;
  ClaimTable claim_table;
  std::map<Member, SequenceNumber> writer_sequences;
};

Step<Ledger, RejectedRecord> Apply(Ledger ledger, const PlacedRecord& placed);

/// Folds records in, in order, as far as they follow on without a gap.
Step<Ledger, RejectedRecord> ApplyAll(Ledger ledger,
                                      const std::vector<PlacedRecord>& records);

}  // namespace cicadaloft

#endif  // CICADALOFT_LEDGER_LEDGER_H_
