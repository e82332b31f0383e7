#include "cicadaloft/relay/relay_publisher.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

#include "cicadaloft/store/store_era.h"

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

// Nothing is known of when records of another era were complete.
void RelayPublisher::StartEra(Pending& item, StoreEra era) {
  item.topic.era = era;
  item.topic.records.clear();
  item.bytes = 0;
  item.reads.clear();
  item.complete_at = {};
}

// What the next two messages can carry may wait. If there is more, hosts have
// to call the store in any case.
std::size_t RelayPublisher::MaxPendingBytes(const Pending& item,
                                            const StoreRead& read) const {
  const std::size_t bytes =
      std::accumulate(read.records.begin(), read.records.end(), item.bytes,
                      [](std::size_t sum, const std::string& record) {
                        return sum + record.size();
                      });
  const std::size_t message_bytes = this->MaxMessageBytes();
  return bytes > 2 * message_bytes ? message_bytes : 2 * message_bytes;
}

void RelayPublisher::OnRead(const StoreRead& read) {
  Pending& item = this->pending[read.topic];
  item.topic.topic = read.topic;
  const EraChange change = CompareEras(item.topic.era, read.era);
  if (change == EraChange::kOutdated) {
    return;
  }
  // A log that ends below what was read from it has come back from a copy also
  // if it states no era.
  if (change == EraChange::kNew || read.from < item.topic.End()) {
    StartEra(item, read.era);
  }
  if (item.topic.End() != read.from) {
    StartAt(item, read.from);
  }
  const std::size_t max_bytes = this->MaxPendingBytes(item, read);
  for (const std::string& record : read.records) {
    item.topic.records.push_back(record);
    item.bytes += record.size();
    const bool is_left_out =
        this->subscribed.empty() || record.size() > kMaxRecordBytes ||
        record.size() > this->MaxMessageBytes() || item.bytes > max_bytes;
    if (is_left_out) {
      if (!this->subscribed.empty()) {
        this->left_out[read.topic] += item.topic.records.size();
      }
      StartAt(item, item.topic.End());
    }
  }
  if (this->subscribed.empty()) {
    item.reads.clear();
  }
  item.reads.push_back(
      {.end = item.topic.End(), .sent_at = read.sent_at.time_since_epoch()});
  item.is_new = true;
}

// @return the oldest records that fit into one message.
RelayedTopic RelayPublisher::TakeMessage(Pending& item, std::size_t max_bytes) {
  RelayedTopic& topic = item.topic;
  // The first record was accepted for fewer subscribers, and no message can
  // carry it any more.
  if (!topic.records.empty() && topic.records.front().size() > max_bytes) {
    StartAt(item, topic.End());
  }
  std::size_t bytes = 0;
  const auto end =
      std::ranges::find_if(topic.records, [&](const std::string& record) {
        bytes += record.size();
        return bytes > max_bytes;
      });
  item.is_new = end != topic.records.end();
  RelayedTopic message{
      .topic = topic.topic,
      .from = topic.from,
      .records = {std::make_move_iterator(topic.records.begin()),
                  std::make_move_iterator(end)},
      .era = topic.era,
  };
  topic.records.erase(topic.records.begin(), end);
  topic.from = message.End();
  while (!item.reads.empty() && item.reads.front().end <= message.End()) {
    item.complete_at = item.reads.front().sent_at;
    item.reads.pop_front();
  }
  message.complete_at = item.complete_at;
  item.bytes -= std::accumulate(message.records.begin(), message.records.end(),
                                std::size_t{0},
                                [](std::size_t sum, const std::string& record) {
                                  return sum + record.size();
                                });
  return message;
}

std::optional<StoreRelay> RelayPublisher::Publish(Duration interval,
                                                  TimePoint now) {
  if (this->subscribed.empty() || now - this->published_at < interval) {
    return std::nullopt;
  }
  StoreRelay relay;
  for (auto& [name, item] : this->pending) {
    if (item.is_new) {
      relay.topics.push_back(TakeMessage(item, this->MaxMessageBytes()));
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
