#ifndef CICADALOFT_STEWARD_LOG_WRITER_H_
#define CICADALOFT_STEWARD_LOG_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "cicadaloft/core/time.h"
#include "cicadaloft/ledger/messages.h"

namespace cicadaloft {

/// The queue of this host's records on their way into the log.
///
/// Records get their sequence numbers in the order of Submit(). One append is
/// outstanding at a time. A record leaves the queue once it was read back;
/// until then it is sent again with the same number and content, so that the
/// fold can tell repeats. A later record is first sent when all sent before
/// were read back.
class LogWriter {
 public:
  explicit LogWriter(Member self);

  /// Queues a record.
  SequenceNumber Submit(RecordBody body);

  /// Takes renewals back that have not been sent, in favour of a newer one.
  /// @return their sequence numbers.
  std::vector<SequenceNumber> DropUnsentRenewals();

  /// Queues a mate's record as the mate has made it; sent beside own ones.
  void AddForMate(const LogRecord& record);

  /// @param last the highest own sequence number that the ledger holds.
  void ReadBack(SequenceNumber last);

  /// Forgets all own records: the ledger no longer takes this writer's.
  void Clear();

  /// The outstanding append has ended.
  void Answered(bool is_ok, TimePoint now);

  /// @return what to append now; empty if nothing is due.
  std::vector<LogRecord> TakeBatch(TimePoint now);

  /// @return the one record that a mate is to append now, if any is due.
  std::optional<LogRecord> TakeForMate(TimePoint now);

  /// @return the record while it is on its way.
  std::optional<LogRecord> Find(SequenceNumber sequence) const;
  /// @return whether the record is still on its way.
  bool IsQueued(SequenceNumber sequence) const;
  /// @return whether the last appends have failed.
  bool IsFailing() const { return this->failures >= 2; }
  bool empty() const { return this->queue.empty(); }
  std::size_t size() const { return this->queue.size(); }

 private:
  Member self;
  SequenceNumber last_given;
  std::deque<LogRecord> queue;
  std::size_t sent = 0;  ///< The first records of the queue that were sent.
  std::deque<LogRecord> for_mates;
  std::size_t mates_sent = 0;
  bool is_outstanding = false;
  std::uint32_t failures = 0;  ///< In a row.
  TimePoint resend_at{};
  TimePoint mates_due_at{};
  TimePoint mate_resend_at{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_LOG_WRITER_H_
