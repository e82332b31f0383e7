#ifndef CICADALOFT_FORWARDING_DECISION_HISTORY_H_
#define CICADALOFT_FORWARDING_DECISION_HISTORY_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <iterator>
#include <vector>

#include "cicadaloft/forwarding/admin_messages.h"

namespace cicadaloft {

/// The latest decision records, for `explain`.
class DecisionHistory {
 public:
  static constexpr std::size_t kMaxRecords = 20'000;

  void Add(std::int64_t unix_ms, const DecisionRecord& record) {
    this->records.push_back(
        TimedDecision{.unix_ms = unix_ms, .record = record});
    if (this->records.size() > kMaxRecords) {
      this->records.pop_front();
    }
  }

  /// @return the stored records on one request, oldest first.
  ExplanationReply Find(const RequestId& request) const {
    std::vector<TimedDecision> found;
    std::ranges::copy_if(this->records, std::back_inserter(found),
                         [&](const TimedDecision& decision) {
                           return decision.record.request == request;
                         });
    return ExplanationReply{.decisions = found};
  }

 private:
  std::deque<TimedDecision> records;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_DECISION_HISTORY_H_
