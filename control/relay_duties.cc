#include <chrono>
#include <cstddef>
#include <utility>
#include <vector>

#include "cicadaloft/control/control_state.h"

namespace cicadaloft {
namespace {

/// Interval of the log records about what the relays leave out.
constexpr Duration kLeftOutLogInterval = std::chrono::seconds(5);

/// Minimum time between two requests for a snapshot, and the same for a holder
/// that has answered none yet.
constexpr Duration kSnapshotRequestInterval = std::chrono::milliseconds(250);
constexpr Duration kFirstSnapshotRequestInterval = std::chrono::seconds(2);

}  // namespace

void ControlState::RequestSnapshot() {
  const Duration interval = this->knows_holder_snapshots
                                ? kSnapshotRequestInterval
                                : kFirstSnapshotRequestInterval;
  const bool is_follower =
      this->connected_holder && !this->is_limit_coordinator;
  if (!is_follower || this->now - this->snapshot_requested_at < interval) {
    return;
  }
  this->snapshot_requested_at = this->now;
  this->effects.emplace_back(SendToHolder{
      .message = SnapshotRequest{.host = this->lease_settings.self}});
}

void ControlState::OnPeerMessage(const HostId& host, const SnapshotRequest&) {
  if (this->is_limit_coordinator && host != this->lease_settings.self) {
    this->snapshot_queue.OnRequest(host);
    // Hosts of the earlier version don't know the message.
    this->detour_ledger.OnVersionCheck(host);
  }
}

void ControlState::Handle(const SnapshotRead& read) {
  const std::vector<HostId> hosts = this->snapshot_queue.OnRead(read);
  if (!read.snapshot || hosts.empty()) {
    return;
  }
  this->effects.emplace_back(
      DecisionRecord{.event = "relay.snapshot_sent",
                     .fields = {{"hosts", hosts.size()},
                                {"end", read.snapshot->end.value()},
                                {"era", read.snapshot->era.value()}}});
  this->effects.emplace_back(SendToHosts{.hosts = {hosts.begin(), hosts.end()},
                                         .message = *read.snapshot});
}

void ControlState::OnPeerMessage(const HostId& host,
                                 const RelayedSnapshot& snapshot) {
  if (this->connected_holder != host) {
    return;
  }
  this->knows_holder_snapshots = true;
  this->effects.emplace_back(
      DecisionRecord{.event = "relay.snapshot_received",
                     .fields = {{"end", snapshot.end.value()},
                                {"era", snapshot.era.value()}}});
  this->effects.emplace_back(
      SnapshotReceived{.snapshot = snapshot, .received_at = this->now});
}

void ControlState::Handle(const StoreRead& read) {
  this->relay_publisher.OnRead(read);
}

// The holder reads for all hosts that have asked it to.
void ControlState::UpdateRelay() {
  const bool is_reader = this->is_limit_coordinator &&
                         !this->relay_publisher.subscribers().empty();
  if (is_reader != this->is_relay_reader) {
    this->is_relay_reader = is_reader;
    this->effects.emplace_back(RelayRole{.is_reader = is_reader});
    this->effects.emplace_back(
        DecisionRecord{.event = is_reader ? "relay.begun" : "relay.ended"});
  }
  if (is_reader) {
    if (auto relay =
            this->relay_publisher.Publish(this->relay_interval, this->now)) {
      this->effects.emplace_back(
          SendToHosts{.hosts = this->relay_publisher.subscribers(),
                      .message = std::move(*relay)});
    }
    this->LogLeftOutRecords();
  }
  const bool can_read =
      this->is_limit_coordinator && this->is_operator_topic_reachable;
  if (can_read && this->snapshot_queue.BeginRead(this->now)) {
    this->effects.emplace_back(ReadSnapshot{});
  }
  if (this->connected_holder &&
      *this->connected_holder != this->lease_settings.self) {
    if (auto request =
            this->relay_clock.Request(this->lease_settings.self, this->now)) {
      this->effects.emplace_back(SendToHolder{.message = *request});
    }
  }
}

// Each host reads these records by itself.
void ControlState::LogLeftOutRecords() {
  if (this->now - this->left_out_logged_at < kLeftOutLogInterval) {
    return;
  }
  this->left_out_logged_at = this->now;
  for (const auto& [topic, records] : this->relay_publisher.TakeLeftOut()) {
    this->effects.emplace_back(DecisionRecord{
        .event = "relay.left_out",
        .fields = {{"topic", topic},
                   {"records", records},
                   {"hosts", this->relay_publisher.subscribers().size()}}});
  }
}

void ControlState::OnPeerMessage(const HostId& host,
                                 const RelayRequest& request) {
  if (!this->is_limit_coordinator || host == this->lease_settings.self) {
    return;
  }
  const bool is_new = !this->relay_publisher.subscribers().contains(host);
  this->effects.emplace_back(SendToHost{
      .host = host,
      .message = this->relay_publisher.OnRequest(
          RelayRequest{.host = host, .number = request.number}, this->now)});
  if (is_new) {
    this->SendLeavingTargets(host);
  }
}

void ControlState::OnPeerMessage(const HostId& host,
                                 const RelayWelcome& welcome) {
  if (this->connected_holder != host) {
    return;
  }
  const bool is_first = !this->relay_clock.IsRelaying();
  this->relay_clock.OnWelcome(welcome);
  if (is_first && this->relay_clock.IsRelaying()) {
    this->NotifyEntry(QuotaHistoryRequest{});
  }
}

void ControlState::OnPeerMessage(const HostId& host, const StoreRelay& relay) {
  if (this->connected_holder != host) {
    return;
  }
  for (const RelayedTopic& topic : relay.topics) {
    if (this->store_era && topic.era > *this->store_era) {
      this->RereadInEra(topic.era);
    }
    if (const auto complete_at = this->relay_clock.ToLocal(topic.complete_at)) {
      this->effects.emplace_back(
          RelayReceived{.topic = topic, .complete_at = *complete_at});
    }
  }
}

}  // namespace cicadaloft
