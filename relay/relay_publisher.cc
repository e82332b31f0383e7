#include "cicadaloft/relay/relay_publisher.h"

#include <algorithm>
#include <utility>

namespace cicadaloft {

RelayWelcome RelayPublisher::OnRequest(const RelayRequest& request,
                                       TimePoint now) {
  this->subscribed.insert(request.host);
  return RelayWelcome{.request_number = request.number,
                      .holder_time = now.time_since_epoch()};
}

// What is pending before `offset` is left out.
void RelayPublisher::StartAt(Pending& item, LogOffset offset) {
  item.topic.from = offset;
  item.topic.records.clear();
  item.bytes = 0;
}

void RelayPublisher::OnRead(const StoreRead& read) {
  Pending& item = this->pending[read.topic];
  item.topic.topic = read.topic;
  if (item.topic.End() != read.from) {
    StartAt(item, read.from);
  }
  const std::size_t max_bytes =
      kMaxPublishedBytes / std::max<std::size_t>(1, this->subscribed.size());
  for (const std::string& record : read.records) {
    item.topic.records.push_back(record);
    item.bytes += record.size();
    const bool is_left_out = this->subscribed.empty() ||
                             record.size() > kMaxRecordBytes ||
                             item.bytes > max_bytes;
    if (is_left_out) {
      StartAt(item, item.topic.End());
    }
  }
  item.topic.complete_at = read.sent_at.time_since_epoch();
  item.is_new = true;
}

std::optional<StoreRelay> RelayPublisher::Publish(Duration interval,
                                                  TimePoint now) {
  if (this->subscribed.empty() || now - this->published_at < interval) {
    return std::nullopt;
  }
  StoreRelay relay;
  for (auto& [name, item] : this->pending) {
    if (std::exchange(item.is_new, false)) {
      relay.topics.push_back(item.topic);
      StartAt(item, item.topic.End());
    }
  }
  if (relay.topics.empty()) {
    return std::nullopt;
  }
  this->published_at = now;
  return relay;
}

std::optional<RelayRequest> RelayClock::Request(const HostId& self,
                                                TimePoint now) {
  const bool is_due =
      this->last_number == 0 || now - this->last_request_at >= kRequestInterval;
  if (this->is_refused || !is_due) {
    return std::nullopt;
  }
  this->requested_at = now;
  this->last_request_at = now;
  return RelayRequest{.host = self, .number = ++this->last_number};
}

void RelayClock::OnWelcome(const RelayWelcome& welcome) {
  if (!this->requested_at || welcome.request_number != this->last_number) {
    return;
  }
  this->holder_time_zero = *this->requested_at - welcome.holder_time;
  this->requested_at.reset();
}

void RelayClock::OnLinkDown() {
  this->is_refused |= !this->IsRelaying() && this->requested_at.has_value();
  this->last_number = 0;
  this->requested_at.reset();
  this->holder_time_zero.reset();
}

std::optional<TimePoint> RelayClock::ToLocal(Duration holder_time) const {
  return this->holder_time_zero
             ? std::optional(*this->holder_time_zero + holder_time)
             : std::nullopt;
}

}  // namespace cicadaloft
