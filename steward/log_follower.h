#ifndef CICADALOFT_STEWARD_LOG_FOLLOWER_H_
#define CICADALOFT_STEWARD_LOG_FOLLOWER_H_

#include <optional>
#include <vector>

#include "cicadaloft/core/time.h"
#include "cicadaloft/ledger/ledger.h"
#include "cicadaloft/steward/messages.h"

namespace cicadaloft {

/// What has come of records that were handed in.
struct Advance {
  const LogOffset from;  ///< The ledger's position before.
  const std::vector<PlacedRecord> applied;
  const std::vector<RejectedRecord> rejected;
  /// The state came from a checkpoint; records before it were left out.
  const bool has_jumped = false;

  friend bool operator==(const Advance&, const Advance&) = default;
};

/// Reads the log and folds it, one read outstanding at a time. Where the log no
/// longer has the records that follow on, it starts from a checkpoint.
class LogFollower {
 public:
  const Ledger& ledger() const { return this->folded; }

  /// @return the read to send now; none while one is outstanding.
  std::optional<ReadLog> NextRead();

  Advance Read(const LogRead& read);
  void ReadFailed();

  /// Takes records that a mate has read.
  Advance Relayed(const std::vector<PlacedRecord>& records);

  /// Takes a mate's whole state unless the own one is as new.
  Advance Transferred(const CheckpointRecord& checkpoint);

  /// @return whether the log answers, as far as is known.
  bool IsLogReachable() const { return this->is_reachable; }
  bool HasRead() const { return this->has_read; }
  /// @return whether records are missing that the log no longer has.
  bool IsMissingRecords() const { return this->is_missing; }

 private:
  Advance Fold(const std::vector<PlacedRecord>& records, bool has_jumped);
  void Buffer(const std::vector<PlacedRecord>& records);
  Advance TakeBufferedCheckpoint();

  Ledger folded;
  LogOffset position;  ///< Where to read on; never before the ledger's end.
  std::vector<PlacedRecord> buffered;  ///< Without gaps; not folded yet.
  bool is_outstanding = false;
  bool is_reachable = true;
  bool has_read = false;
  bool is_missing = false;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_LOG_FOLLOWER_H_
