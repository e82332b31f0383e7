#ifndef CICADALOFT_RELAY_RELAY_BUFFER_H_
#define CICADALOFT_RELAY_RELAY_BUFFER_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/relay/messages.h"

namespace cicadaloft {

/// The newest records of one topic that other hosts have relayed to this one.
class RelayBuffer {
 public:
  static constexpr std::size_t kMaxRecords = 4096;

  /// @param max_age how old relayed knowledge may be.
  explicit RelayBuffer(Duration max_age) : max_age(max_age) {}

  /// Adds records that are newer than those in the buffer. Records between
  /// them that were not relayed leave a gap: the buffer starts again after it.
  /// It also starts again at a new era; messages of an earlier one are ignored.
  /// Without an era it starts again when what is relayed has ended lower for
  /// TopicPosition::kMaxTimeBehind.
  void Add(const RelayReceived& received);

  /// @return whether the relayed records are complete up to a recent time.
  bool IsFresh(TimePoint now) const { return now < this->FreshUntil(); }
  TimePoint FreshUntil() const {
    return this->last_complete_at ? *this->last_complete_at + this->max_age
                                  : TimePoint{};
  }

  /// @return the highest era of a relayed message.
  StoreEra era() const { return this->newest_era; }
  /// @return when the log had no record after those in the buffer.
  /// @pre IsFresh()
  TimePoint complete_at() const { return *this->last_complete_at; }

  /// @return whether no record from `offset` on is missing. A log that has gone
  /// back has no such offset if it ends before.
  bool Covers(LogOffset offset) const {
    return offset >= this->first &&
           (!this->has_gone_back || offset <= this->End());
  }
  /// @return the records from `offset` on, which must be covered.
  std::vector<std::string> RecordsFrom(LogOffset offset) const;

 private:
  bool HasGoneBack(const RelayReceived& received) const;
  void StartAgain(StoreEra era);
  LogOffset End() const {
    return LogOffset(this->first.value() + this->records.size());
  }

  Duration max_age;
  StoreEra newest_era;
  LogOffset first;
  std::deque<std::string> records;
  std::optional<TimePoint> last_complete_at;
  TimePoint end_complete_at{};  ///< Of the newest message up to the end.
  bool has_gone_back = false;   ///< A log without an era.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_RELAY_RELAY_BUFFER_H_
