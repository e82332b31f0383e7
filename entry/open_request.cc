#include "open_request.h"

#include <algorithm>
#include <chrono>

namespace cicadaloft {
namespace {

/// Cost in a ranked queue of a request that states no tokens.
constexpr double kUnstatedTokens = 1000;

}  // namespace

bool OpenRequest::IsBatch() const {
  // With a latency objective of at least this, no user waits interactively for
  // the response. Where a route with a high rank has such an objective, only
  // the caller says what is batch work.
  constexpr Duration kMinBatchLatencyObjective = std::chrono::seconds(1);
  return this->arrival.is_batch ||
         (!this->ranked_place &&
          this->route->latency_objective >= kMinBatchLatencyObjective);
}

int OpenRequest::Priority() const {
  if (this->ranked_place) {
    return this->urgency;
  }
  // Batch work yields to interactive requests, since its latency objective
  // leaves it enough time.
  constexpr int kBatchPriority = 7;
  constexpr int kLowestPriority = 9;
  return this->IsBatch()
             ? kBatchPriority
             : std::clamp(this->route->priority, 0, kLowestPriority);
}

QueuePlace OpenRequest::Place() const {
  if (this->ranked_place) {
    return *this->ranked_place;
  }
  return FairPlace{.is_batch = this->IsBatch(),
                   .number = this->sequence_number};
}

double OpenRequest::QueueCost() const {
  // By tokens also for customers that are limited by requests: at a cost of 1
  // the queue would serve many requests of one customer in a row.
  return this->ranked_place ? this->arrival.tokens.value_or(kUnstatedTokens)
                            : std::max(1.0, this->cost);
}

}  // namespace cicadaloft
