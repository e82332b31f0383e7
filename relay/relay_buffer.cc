#include "cicadaloft/relay/relay_buffer.h"

#include <algorithm>
#include <iterator>

#include "cicadaloft/store/store_era.h"
#include "cicadaloft/store/topic_position.h"

namespace cicadaloft {

void RelayBuffer::Add(const RelayReceived& received) {
  const RelayedTopic& topic = received.topic;
  const EraChange change = CompareEras(this->newest_era, topic.era);
  if (change == EraChange::kOutdated) {
    return;
  }
  if (change == EraChange::kNew) {
    this->StartAgain(topic.era);
  } else if (this->HasGoneBack(received)) {
    this->StartAgain(topic.era);
    this->has_gone_back = true;
  }
  const bool has_gap = !this->last_complete_at || topic.from > this->End();
  if (has_gap) {
    this->first = topic.from;
    this->records.clear();
  }
  const std::uint64_t known =
      this->End() > topic.from ? this->End().value() - topic.from.value() : 0;
  if (known < topic.records.size()) {
    std::copy(topic.records.begin() + static_cast<std::ptrdiff_t>(known),
              topic.records.end(), std::back_inserter(this->records));
  }
  while (this->records.size() > kMaxRecords) {
    this->records.pop_front();
    this->first = this->first.Next();
  }
  this->last_complete_at =
      std::max(this->last_complete_at.value_or(received.complete_at),
               received.complete_at);
  if (topic.End() >= this->End()) {
    this->end_complete_at =
        std::max(this->end_complete_at, received.complete_at);
  }
}

// A holder may lag behind the one before.
bool RelayBuffer::HasGoneBack(const RelayReceived& received) const {
  return this->newest_era == StoreEra() && this->last_complete_at &&
         received.topic.End() < this->End() &&
         received.complete_at - this->end_complete_at >=
             TopicPosition::kMaxTimeBehind;
}

void RelayBuffer::StartAgain(StoreEra era) {
  *this = RelayBuffer(this->max_age);
  this->newest_era = era;
}

std::vector<std::string> RelayBuffer::RecordsFrom(LogOffset offset) const {
  const std::uint64_t skipped = std::min<std::uint64_t>(
      offset.value() - this->first.value(), this->records.size());
  return {this->records.begin() + static_cast<std::ptrdiff_t>(skipped),
          this->records.end()};
}

}  // namespace cicadaloft
