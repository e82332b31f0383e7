#include "cicadaloft/placement/order_book.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "cicadaloft/core/result.h"

namespace cicadaloft {

void OrderBook::Decide(const PlacementRecord& record,
                       SequenceNumber sequence,
                       bool uses_store,
                       TimePoint now) {
  const PlaceKey key{.target = record.target, .model = record.model};
  this->orders.erase(key);
  this->orders.emplace(key, PlacementOrder{.record = record,
                                           .phase = record.ordered_in_outage
                                                        ? OrderPhase::kMirroring
                                                        : OrderPhase::kDeciding,
                                           .sequence = sequence,
                                           .since = now,
                                           .uses_store = uses_store});
  this->Pend(sequence, record);
}

void OrderBook::Pend(SequenceNumber sequence, const PlacementBody& body) {
  this->pending.push_back(Pending{.sequence = sequence, .body = body});
}

std::vector<PlaceKey> OrderBook::ReadBack(
    SequenceNumber last,
    const std::set<SequenceNumber>& rejected,
    TimePoint now) {
  while (!this->pending.empty() && this->pending.front().sequence <= last) {
    this->pending.pop_front();
  }
  std::vector<PlaceKey> refused;
  std::vector<PlaceKey> ended;
  for (auto& [key, order] : this->orders) {
    if (order.sequence > last) {
      continue;
    }
    if (order.phase == OrderPhase::kReporting) {
      ended.push_back(key);
    } else if (order.phase == OrderPhase::kDeciding &&
               rejected.contains(order.sequence)) {
      refused.push_back(key);
    } else if (order.phase == OrderPhase::kDeciding ||
               order.phase == OrderPhase::kMirroring) {
      this->SetPhase(key, OrderPhase::kReady, now);
    }
  }
  const auto erase = [this](const PlaceKey& key) { this->orders.erase(key); };
  std::ranges::for_each(ended, erase);
  std::ranges::for_each(refused, erase);
  return refused;
}

void OrderBook::Mirrored(SequenceNumber sequence, TimePoint now) {
  for (auto& [key, order] : this->orders) {
    if (order.sequence == sequence && order.phase == OrderPhase::kMirroring) {
      this->SetPhase(key, OrderPhase::kReady, now);
    }
  }
}

void OrderBook::Redecide(const PlaceKey& key,
                         SequenceNumber sequence,
                         TimePoint now) {
  const PlacementOrder before = this->orders.at(key);
  this->Decide(PlacementRecord{.target = before.record.target,
                               .model = before.record.model,
                               .action = before.record.action,
                               .instance = before.record.instance,
                               .ordered_in_outage = true},
               sequence, before.uses_store, now);
}

OrderId OrderBook::Send(const PlaceKey& key, TimePoint now) {
  this->last_order = this->last_order.Next();
  this->orders.at(key).order = this->last_order;
  this->SetPhase(key, OrderPhase::kOrdered, now);
  return this->last_order;
}

void OrderBook::Report(const PlaceKey& key,
                       SequenceNumber sequence,
                       TimePoint now) {
  this->orders.try_emplace(
      key, PlacementOrder{.record = PlacementRecord{.target = key.target,
                                                    .model = key.model}});
  this->orders.at(key).sequence = sequence;
  this->SetPhase(key, OrderPhase::kReporting, now);
}

void OrderBook::Clear() {
  this->orders.clear();
  this->pending.clear();
}

const PlacementOrder* OrderBook::Find(const PlaceKey& key) const {
  const auto found = this->orders.find(key);
  return found == this->orders.end() ? nullptr : &found->second;
}

std::optional<PlaceKey> OrderBook::FindByOrder(OrderId order) const {
  const auto found = std::ranges::find_if(this->orders, [&](const auto& entry) {
    return entry.second.phase == OrderPhase::kOrdered &&
           entry.second.order == order;
  });
  return found == this->orders.end() ? std::nullopt
                                     : std::optional<PlaceKey>(found->first);
}

std::vector<PlaceKey> OrderBook::InPhase(OrderPhase phase) const {
  std::vector<PlaceKey> keys;
  std::ranges::for_each(this->orders, [&](const auto& entry) {
    if (entry.second.phase == phase) {
      keys.push_back(entry.first);
    }
  });
  return keys;
}

bool OrderBook::IsInstancePending(const TargetId& target) const {
  return std::ranges::any_of(this->pending, [&](const Pending& record) {
    const auto* instance = std::get_if<TargetInstanceRecord>(&record.body);
    return instance != nullptr && instance->target == target;
  });
}

PlacementTable OrderBook::Overlay(const Config& config,
                                  const PlacementTable& folded) const {
  PlacementTable table = folded;
  std::ranges::for_each(this->pending, [&](const Pending& record) {
    std::visit(Overloaded{[&](const PlacementRecord& body) {
                            table.Take(config, body, LogOffset());
                          },
                          [&](const auto& body) { table.Take(body); }},
               record.body);
  });
  return table;
}

void OrderBook::SetPhase(const PlaceKey& key, OrderPhase phase, TimePoint now) {
  PlacementOrder& order = this->orders.at(key);
  order.phase = phase;
  order.since = now;
}

}  // namespace cicadaloft
