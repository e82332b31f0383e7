#include "cicadaloft/relay/snapshot_queue.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <utility>

#include "cicadaloft/relay/relay_publisher.h"

namespace cicadaloft {
namespace {

std::size_t SizeOf(const RelayedSnapshot& snapshot) {
  return std::accumulate(snapshot.records.begin(), snapshot.records.end(),
                         std::size_t{0},
                         [](std::size_t sum, const KeyedRecord& record) {
                           return sum + record.key.size() +
                                  (record.value ? record.value->size() : 0);
                         });
}

}  // namespace

void SnapshotQueue::OnRequest(const HostId& host) {
  if (std::ranges::find(this->waiting, host) == this->waiting.end()) {
    this->waiting.push_back(host);
  }
}

void SnapshotQueue::OnLinkDown(const HostId& host) {
  std::erase(this->waiting, host);
}

bool SnapshotQueue::BeginRead(TimePoint now) {
  const bool is_due = !this->read_at || now - *this->read_at >= kReadInterval;
  if (this->waiting.empty() || this->is_reading || !is_due) {
    return false;
  }
  this->is_reading = true;
  this->read_at = now;
  return true;
}

std::vector<HostId> SnapshotQueue::OnRead(const SnapshotRead& read) {
  this->is_reading = false;
  if (!read.snapshot) {
    this->waiting.clear();
    return {};
  }
  const std::size_t size = std::max<std::size_t>(1, SizeOf(*read.snapshot));
  // A snapshot larger than the bound still goes to one host at a time.
  const std::size_t count = std::min(
      this->waiting.size(),
      std::max<std::size_t>(1, RelayPublisher::kMaxPublishedBytes / size));
  const auto end = this->waiting.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<HostId> hosts(this->waiting.begin(), end);
  this->waiting.erase(this->waiting.begin(), end);
  return hosts;
}

}  // namespace cicadaloft
