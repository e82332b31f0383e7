#ifndef CICADALOFT_USAGE_TESTS_SIMULATED_STORE_H_
#define CICADALOFT_USAGE_TESTS_SIMULATED_STORE_H_

#include <algorithm>
#include <iterator>
#include <map>
#include <vector>

#include "cicadaloft/lease/messages.h"
#include "cicadaloft/usage/messages.h"

namespace cicadaloft {

/// A log with conditional appends.
template <typename Record>
class SimulatedLog {
 public:
  /// @return whether the log ended where the append expects it.
  bool Append(LogOffset expected_end, const Record& record) {
    if (expected_end != this->End()) {
      return false;
    }
    this->records.push_back(record);
    return true;
  }
  LogOffset End() const { return LogOffset(this->records.size()); }
  const std::vector<Record>& All() const { return this->records; }

 private:
  std::vector<Record> records;
};

inline LeaseLogRead ReadLog(const SimulatedLog<LeaseRecord>& log,
                            LogOffset from) {
  std::vector<LeaseLogEntry> entries;
  for (std::uint64_t i = from.value(); i < log.End().value(); ++i) {
    entries.push_back({.offset = LogOffset(i), .record = log.All()[i]});
  }
  return LeaseLogRead{.entries = std::move(entries), .next_offset = log.End()};
}

/// @return the newest record of each slot, in the order of slots.
inline UsageTopicRead ReadNewest(const SimulatedLog<UsageRecord>& log,
                                 StoreEra era) {
  std::map<std::uint64_t, UsageRecord> newest;
  for (const UsageRecord& record : log.All()) {
    newest.insert_or_assign(UsageSlot(record.window), record);
  }
  UsageTopicRead read{.end = log.End(), .era = era};
  std::ranges::transform(newest, std::back_inserter(read.records),
                         [](const auto& entry) { return entry.second; });
  return read;
}

}  // namespace cicadaloft

#endif  // CICADALOFT_USAGE_TESTS_SIMULATED_STORE_H_
