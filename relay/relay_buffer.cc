#include "cicadaloft/relay/relay_buffer.h"

#include <algorithm>
#include <iterator>

#include "cicadaloft/store/store_era.h"

namespace cicadaloft {

void RelayBuffer::Add(const RelayReceived& received) {
  const RelayedTopic& topic = received.topic;
  const EraChange change = CompareEras(this->newest_era, topic.era);
  if (change == EraChange::kOutdated) {
    return;
  }
  if (change == EraChange::kNew) {
    *this = RelayBuffer(this->max_age);
    this->newest_era = topic.era;
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
}

std::vector<std::string> RelayBuffer::RecordsFrom(LogOffset offset) const {
  const std::uint64_t skipped = std::min<std::uint64_t>(
      offset.value() - this->first.value(), this->records.size());
  return {this->records.begin() + static_cast<std::ptrdiff_t>(skipped),
          this->records.end()};
}

}  // namespace cicadaloft
