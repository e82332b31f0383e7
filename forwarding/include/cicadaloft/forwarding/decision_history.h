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

/// The last decision lines, for `explain`.
class DecisionHistory {
 public:
  static constexpr std::size_t kKeptLines = 20'000;

  void Add(std::int64_t unix_ms, const DecisionRecord& line) {
    this->lines.push_back(TimedDecision{.unix_ms = unix_ms, .record = line});
    if (this->lines.size() > kKeptLines) {
      this->lines.pop_front();
    }
  }

  /// @return the kept lines on one request, oldest first.
  ExplainReply Find(const RequestId& request) const {
    std::vector<TimedDecision> found;
    std::ranges::copy_if(this->lines, std::back_inserter(found),
                         [&](const TimedDecision& decision) {
                           return decision.record.request == request;
                         });
    return ExplainReply{.decisions = found};
  }

 private:
  std::deque<TimedDecision> lines;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_DECISION_HISTORY_H_
