#ifndef CICADALOFT_STEWARD_MIRROR_HOLDER_H_
#define CICADALOFT_STEWARD_MIRROR_HOLDER_H_

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cicadaloft/core/time.h"
#include "cicadaloft/ledger/ledger.h"

namespace cicadaloft {

/// @return the duty that a record's writer must own; none for other records.
std::optional<DutyId> DutyOf(const Ledger& ledger, const RecordBody& body);

/// The decisions that owners have told this host while the log was out, until
/// they stand in the log.
class MirrorHolder {
 public:
  /// @return whether the record is held from now on: its writer owns the duty
  /// and no later owner has asked for its mirrors.
  bool Hold(const Ledger& ledger, const LogRecord& record);

  /// Hands a duty's records to its new owner; from then on no earlier owner's
  /// are held.
  std::vector<LogRecord> HandOver(const Ledger& ledger,
                                  const DutyId& duty,
                                  const HostId& asker);

  /// Drops what stands in the log.
  void Prune(const Ledger& ledger, TimePoint now);

 private:
  struct Held {
    LogRecord record;
    std::optional<TimePoint> orphaned;  ///< Since when its writer is gone.
  };
  struct Fence {
    HostId asker;
    LogOffset at;  ///< Later owners are not fenced off.
  };

  std::map<std::pair<Member, SequenceNumber>, Held> held;
  std::map<DutyId, Fence> fences;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_MIRROR_HOLDER_H_
