#include "ordered_count.h"

#include <algorithm>
#include <chrono>

namespace cicadaloft {
namespace {

/// Between two calls for one service and data centre. What the last one
/// changed is visible in the registry only after the boot time.
constexpr Duration kMinCallInterval = std::chrono::seconds(2);
/// After a failed call; doubled with each further one.
constexpr Duration kMinRetryDelay = std::chrono::seconds(1);
constexpr int kMaxDoublings = 4;  ///< 16 s.
/// After a rejected call. The platform may reject all numbers, for a reason
/// that this host can't see.
constexpr Duration kRejectedDelay = std::chrono::seconds(30);

}  // namespace

bool OrderedCount::OnEnded(const TargetCountOrderEnded& ended, TimePoint now) {
  if (!this->pending || this->pending->count != ended.call.count ||
      this->pending->token != ended.call.token) {
    return false;
  }
  this->pending.reset();
  switch (ended.outcome) {
    case DutyCallOutcome::kAccepted:
      this->accepted_count = ended.call.count;
      this->doubtful_count.reset();
      this->rejected_count.reset();
      this->failure_count = 0;
      this->next_call_at = now + kMinCallInterval;
      break;
    case DutyCallOutcome::kRejected:
      this->rejected_count = ended.call.count;
      this->doubtful_count.reset();
      this->next_call_at = now + kRejectedDelay;
      break;
    case DutyCallOutcome::kNoAnswer:
      this->doubtful_count = ended.call.count;
      this->BackOff(now);
      break;
    case DutyCallOutcome::kRefused:
    case DutyCallOutcome::kNotSent:
      this->BackOff(now);
      break;
  }
  return true;
}

void OrderedCount::BackOff(TimePoint now) {
  this->next_call_at = now + kMinRetryDelay * (1 << this->failure_count);
  this->failure_count = std::min(this->failure_count + 1, kMaxDoublings);
}

}  // namespace cicadaloft
