#ifndef CICADALOFT_LEASE_TESTS_RESTORED_LOG_H_
#define CICADALOFT_LEASE_TESTS_RESTORED_LOG_H_

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "cicadaloft/lease/messages.h"

namespace cicadaloft {

/// The lease's log in a store that comes back from older copies.
class RestoredLog {
 public:
  bool IsAway(TimePoint now) const { return now < this->away_until; }
  StoreEra era() const { return this->current_era; }

  /// The store goes away, and comes back without the records of the last
  /// `lost` time.
  void Restore(Duration lost, Duration away, TimePoint now) {
    std::erase_if(this->records, [&](const auto& record) {
      return record.first > now - lost;
    });
    this->current_era = this->current_era.Next();
    this->away_until = now + away;
  }

  LeaseEvent Read(LogOffset from, TimePoint now) const {
    if (this->IsAway(now)) {
      return LeaseReadFailed{};
    }
    // A read from beyond the end gets 410 with the first offset.
    if (from.value() > this->records.size()) {
      return LeaseLogRead{.next_offset = LogOffset(), .era = this->current_era};
    }
    std::vector<LeaseLogEntry> entries;
    for (std::uint64_t i = from.value(); i < this->records.size(); ++i) {
      entries.push_back(
          {.offset = LogOffset(i), .record = this->records[i].second});
    }
    return LeaseLogRead{.entries = std::move(entries),
                        .next_offset = LogOffset(this->records.size()),
                        .era = this->current_era};
  }

  LeaseEvent Append(const AppendLeaseRecord& append,
                    TimePoint sent_at,
                    TimePoint now) {
    if (this->IsAway(now)) {
      return LeaseAppendEnded{.outcome = LeaseAppendOutcome::kRefused,
                              .sent_at = sent_at};
    }
    const bool is_at_end =
        append.expected_end == LogOffset(this->records.size());
    if (is_at_end) {
      this->records.emplace_back(now, append.record);
    }
    return LeaseAppendEnded{.outcome = is_at_end
                                           ? LeaseAppendOutcome::kWritten
                                           : LeaseAppendOutcome::kConflict,
                            .offset = append.expected_end,
                            .sent_at = sent_at,
                            .era = this->current_era};
  }

 private:
  /// With the time of the append.
  std::vector<std::pair<TimePoint, LeaseRecord>> records;
  StoreEra current_era{1};
  TimePoint away_until{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_LEASE_TESTS_RESTORED_LOG_H_
