#ifndef CICADALOFT_ADMISSION_FAIR_QUEUE_H_
#define CICADALOFT_ADMISSION_FAIR_QUEUE_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <list>
#include <map>
#include <optional>
#include <ranges>
#include <utility>
#include <vector>

#include "cicadaloft/core/id.h"

namespace cicadaloft {

/// Scheduling attributes of one queued item.
struct QueueAttributes {
  const CustomerId customer;  ///< Empty if the request has no customer.
  /// Relative to other customers; clamped to kMinWeight and kMaxWeight.
  const double weight = 1;
  /// Expected work, in the customer's unit; clamped to kMinCost and kMaxCost.
  const double cost = 1;

  /// No item is free, or its customer would be served before all others.
  static constexpr double kMinCost = 1;
  /// Credits up to here are precise to far less than kMinCost.
  static constexpr double kMaxCost = 1e9;
  static constexpr double kMinWeight = 1e-3;
  static constexpr double kMaxWeight = 1e3;

  friend auto operator<=>(const QueueAttributes&,
                          const QueueAttributes&) = default;
};

/// Deficit round robin over customers: each is served in proportion to its
/// weight, measured by cost, and its own items in order of their numbers.
/// @tparam Item the queued item; cheap to copy.
/// @tparam Number orders a customer's items.
template <typename Item, typename Number = std::uint64_t>
class DeficitRoundRobinQueue {
 public:
  /// @param number orders a customer's items; unique in this queue.
  void Push(const QueueAttributes& attributes, Number number, Item item) {
    const auto flow = this->FindOrAddFlow(attributes);
    const double cost = ClampNumber(attributes.cost, QueueAttributes::kMinCost,
                                    QueueAttributes::kMaxCost);
    const bool is_new =
        flow->waiting.emplace(number, Entry{.item = item, .cost = cost}).second;
    this->count += is_new ? 1 : 0;
  }

  /// @return whether the item was queued.
  bool Remove(const CustomerId& customer, const Number& number) {
    const auto found = this->index.find(customer);
    if (found == this->index.end() ||
        found->second->waiting.erase(number) == 0) {
      return false;
    }
    --this->count;
    LimitDeficit(*found->second);
    this->EraseIfEmpty(found->second);
    return true;
  }

  /// Removes and returns the next item to be served.
  /// @param first customers' items with lower numbers are served after the
  /// others.
  std::optional<Item> Pop(const Number& first = Number()) {
    if (this->count == 0) {
      return std::nullopt;
    }
    const auto flow = this->FindServable(first);
    return this->Serve(flow, NextOf(*flow, first));
  }

  /// Removes and returns an item out of turn, at the customer's cost.
  /// @return none if the item isn't queued.
  std::optional<Item> Take(const CustomerId& customer, const Number& number) {
    const auto found = this->index.find(customer);
    if (found == this->index.end()) {
      return std::nullopt;
    }
    const auto entry = found->second->waiting.find(number);
    if (entry == found->second->waiting.end()) {
      return std::nullopt;
    }
    return this->Serve(found->second, entry);
  }

  /// @return all items, customer by customer.
  std::vector<Item> Items() const {
    std::vector<Item> items;
    items.reserve(this->count);
    std::ranges::for_each(this->flows, [&](const Flow& flow) {
      std::ranges::transform(flow.waiting | std::views::values,
                             std::back_inserter(items), &Entry::item);
    });
    return items;
  }

  /// @return the lowest number and its item.
  std::optional<std::pair<Number, Item>> Oldest() const {
    std::optional<std::pair<Number, Item>> oldest;
    std::ranges::for_each(this->flows, [&](const Flow& flow) {
      const auto& [number, entry] = *flow.waiting.begin();
      if (!oldest.has_value() || number < oldest->first) {
        oldest.emplace(number, entry.item);
      }
    });
    return oldest;
  }

  /// Calls `visit` for each customer, with a map of its items by number, which
  /// is not empty.
  template <typename Visitor>
  void VisitCustomers(Visitor visit) const {
    std::ranges::for_each(this->flows, [&](const Flow& flow) {
      visit(flow.customer, flow.waiting);
    });
  }

  std::size_t size() const { return this->count; }

 private:
  struct Entry {
    Item item;
    double cost;
  };
  struct Flow {
    CustomerId customer;
    double weight = 1;
    double deficit = 0;
    std::map<Number, Entry> waiting;
  };
  using FlowIterator = typename std::list<Flow>::iterator;
  using EntryIterator = typename std::map<Number, Entry>::iterator;

  /// Cost that a customer of weight 1 is credited in a round.
  static constexpr double kQuantum = 1000;

  Item Serve(FlowIterator flow, EntryIterator entry) {
    Item item = entry->second.item;
    flow->deficit -= entry->second.cost;
    flow->waiting.erase(entry);
    --this->count;
    this->EraseIfEmpty(flow);
    return item;
  }

  FlowIterator FindOrAddFlow(const QueueAttributes& attributes) {
    const double weight =
        ClampNumber(attributes.weight, QueueAttributes::kMinWeight,
                    QueueAttributes::kMaxWeight);
    const auto found = this->index.find(attributes.customer);
    if (found != this->index.end()) {
      found->second->weight = weight;
      return found->second;
    }
    const FlowIterator added = this->flows.insert(
        this->flows.end(),
        Flow{.customer = attributes.customer, .weight = weight});
    this->index.emplace(attributes.customer, added);
    return added;
  }

  /// @return `number` within the bounds; `min` for NaN.
  static double ClampNumber(double number, double min, double max) {
    return number > min ? std::min(number, max) : min;
  }

  template <typename SomeFlow>
  static auto NextOf(SomeFlow& flow, const Number& first) {
    const auto found = flow.waiting.lower_bound(first);
    return found == flow.waiting.end() ? flow.waiting.begin() : found;
  }

  static bool IsServable(const Flow& flow, const Number& first) {
    return flow.deficit >= NextOf(flow, first)->second.cost;
  }

  static double RoundsUntilServable(const Flow& flow, const Number& first) {
    const double missing = NextOf(flow, first)->second.cost - flow.deficit;
    return std::max(0.0, std::ceil(missing / (kQuantum * flow.weight)));
  }

  /// Searches from the customer that was served last. If no deficit suffices,
  /// all customers are credited as many rounds as the closest of them needs.
  FlowIterator FindServable(const Number& first) {
    // The first customer is served again as long as its deficit suffices.
    auto servable = this->FindSufficient(first);
    if (servable == this->flows.end()) {
      servable = this->CreditRounds(first);
    }
    this->flows.splice(this->flows.end(), this->flows, this->flows.begin(),
                       servable);
    return servable;
  }

  /// @return the first customer whose deficit suffices now.
  FlowIterator FindSufficient(const Number& first) {
    return std::ranges::find_if(this->flows, [&first](const Flow& flow) {
      return IsServable(flow, first);
    });
  }

  /// @return the first customer whose deficit suffices afterwards.
  FlowIterator CreditRounds(const Number& first) {
    const auto rounds_until_servable = [&first](const Flow& flow) {
      return RoundsUntilServable(flow, first);
    };
    const auto closest =
        std::ranges::min_element(this->flows, {}, rounds_until_servable);
    const double rounds = rounds_until_servable(*closest);
    std::ranges::for_each(this->flows, [&](Flow& flow) {
      flow.deficit += rounds * kQuantum * flow.weight;
    });
    // Rounding must not leave it short of its cost.
    closest->deficit =
        std::max(closest->deficit, NextOf(*closest, first)->second.cost);
    return this->FindSufficient(first);
  }

  /// Credit for an item that is removed must not serve many others at once.
  static void LimitDeficit(Flow& flow) {
    const double cost =
        flow.waiting.empty() ? 0 : flow.waiting.begin()->second.cost;
    flow.deficit = std::min(flow.deficit, cost + kQuantum * flow.weight);
  }

  /// An idle customer keeps no deficit.
  void EraseIfEmpty(FlowIterator flow) {
    if (flow->waiting.empty()) {
      this->index.erase(flow->customer);
      this->flows.erase(flow);
    }
  }

  std::list<Flow> flows;
  std::map<CustomerId, FlowIterator> index;
  std::size_t count = 0;
};

/// Two queues, one for each class: batch items are served when no interactive
/// one waits, and in any case at every kBatchPopInterval-th Pop().
template <typename Item>
class FairQueue {
 public:
  /// One in this many calls of Pop() serves a batch item if one waits.
  static constexpr std::uint64_t kBatchPopInterval = 20;

  void Push(bool is_batch,
            const QueueAttributes& attributes,
            std::uint64_t number,
            Item item) {
    this->QueueOf(is_batch).Push(attributes, number, item);
  }

  bool Remove(bool is_batch, const CustomerId& customer, std::uint64_t number) {
    return this->QueueOf(is_batch).Remove(customer, number);
  }

  /// Removes and returns the next item to be served.
  std::optional<Item> Pop() {
    if (this->size() == 0) {
      return std::nullopt;
    }
    ++this->pop_count;
    const bool is_batch =
        this->interactive.size() == 0 ||
        (this->batch.size() > 0 && this->pop_count % kBatchPopInterval == 0);
    return this->QueueOf(is_batch).Pop();
  }

  std::vector<Item> Items() const {
    std::vector<Item> items = this->interactive.Items();
    std::ranges::copy(this->batch.Items(), std::back_inserter(items));
    return items;
  }

  /// @return the item with the lowest number.
  std::optional<Item> Oldest() const {
    const auto first = this->interactive.Oldest();
    const auto second = this->batch.Oldest();
    if (!first.has_value() && !second.has_value()) {
      return std::nullopt;
    }
    const bool is_first = !second.has_value() ||
                          (first.has_value() && first->first < second->first);
    return is_first ? first->second : second->second;
  }

  std::size_t size() const {
    return this->interactive.size() + this->batch.size();
  }
  const DeficitRoundRobinQueue<Item>& lane(bool is_batch) const {
    return is_batch ? this->batch : this->interactive;
  }

 private:
  DeficitRoundRobinQueue<Item>& QueueOf(bool is_batch) {
    return is_batch ? this->batch : this->interactive;
  }

  DeficitRoundRobinQueue<Item> interactive;
  DeficitRoundRobinQueue<Item> batch;
  std::uint64_t pop_count = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_FAIR_QUEUE_H_
