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

/// How one item takes part in fair waiting.
struct QueueAttributes {
  const CustomerId customer;  ///< Empty for callers without a key.
  const double weight = 1;    ///< Part beside other customers; > 0.
  const double cost = 1;      ///< Expected work in tokens; > 0.

  friend auto operator<=>(const QueueAttributes&,
                          const QueueAttributes&) = default;
};

/// Deficit round robin over customers: each gets work in proportion to its
/// weight, measured by cost, and its own items in order of their numbers.
/// @tparam Item what waits; cheap to copy.
template <typename Item>
class DeficitRoundRobinQueue {
 public:
  /// @param number orders a customer's items; unique over the lane.
  void Push(const QueueAttributes& share, std::uint64_t number, Item item) {
    const auto flow = this->FindOrAddFlow(share);
    const bool is_new =
        flow->waiting.emplace(number, Entry{.item = item, .cost = share.cost})
            .second;
    this->count += is_new ? 1 : 0;
  }

  /// @return whether the item was waiting.
  bool Remove(const CustomerId& customer, std::uint64_t number) {
    const auto found = this->index.find(customer);
    if (found == this->index.end() ||
        found->second->waiting.erase(number) == 0) {
      return false;
    }
    --this->count;
    this->DropIfEmpty(found->second);
    return true;
  }

  /// Takes the item whose turn it is.
  std::optional<Item> Pop() {
    if (this->count == 0) {
      return std::nullopt;
    }
    const auto flow = this->FindServable();
    const auto first = flow->waiting.begin();
    Item item = first->second.item;
    flow->deficit -= first->second.cost;
    flow->waiting.erase(first);
    --this->count;
    this->DropIfEmpty(flow);
    return item;
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

  /// @return the item with the lowest number, and its number.
  std::optional<std::pair<std::uint64_t, Item>> Oldest() const {
    std::optional<std::pair<std::uint64_t, Item>> oldest;
    std::ranges::for_each(this->flows, [&](const Flow& flow) {
      const auto& [number, entry] = *flow.waiting.begin();
      if (!oldest.has_value() || number < oldest->first) {
        oldest.emplace(number, entry.item);
      }
    });
    return oldest;
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
    std::map<std::uint64_t, Entry> waiting;
  };
  using FlowRef = typename std::list<Flow>::iterator;

  /// Cost that a customer of weight 1 may spend in a round.
  static constexpr double kQuantum = 1000;

  FlowRef FindOrAddFlow(const QueueAttributes& share) {
    const auto found = this->index.find(share.customer);
    if (found != this->index.end()) {
      found->second->weight = share.weight;
      return found->second;
    }
    const FlowRef added = this->flows.insert(
        this->flows.end(),
        Flow{.customer = share.customer, .weight = share.weight});
    this->index.emplace(share.customer, added);
    return added;
  }

  static bool IsServable(const Flow& flow) {
    return flow.deficit >= flow.waiting.begin()->second.cost;
  }

  static double RoundsUntilServable(const Flow& flow) {
    const double missing = flow.waiting.begin()->second.cost - flow.deficit;
    return std::max(0.0, std::ceil(missing / (kQuantum * flow.weight)));
  }

  /// Goes round from the customer that was served last. If none can go, all
  /// get as many quanta as the nearest of them needs.
  FlowRef FindServable() {
    // The first customer goes on as long as its deficit lasts.
    const auto servable = std::ranges::find_if(this->flows, IsServable);
    if (servable != this->flows.end()) {
      this->flows.splice(this->flows.end(), this->flows, this->flows.begin(),
                         servable);
      return servable;
    }
    const double rounds = std::ranges::min(
        this->flows | std::views::transform(RoundsUntilServable));
    std::ranges::for_each(this->flows, [&](Flow& flow) {
      flow.deficit += rounds * kQuantum * flow.weight;
    });
    return this->FindServable();
  }

  /// An idle customer saves nothing up.
  void DropIfEmpty(FlowRef flow) {
    if (flow->waiting.empty()) {
      this->index.erase(flow->customer);
      this->flows.erase(flow);
    }
  }

  std::list<Flow> flows;
  std::map<CustomerId, FlowRef> index;
  std::size_t count = 0;
};

/// Two lanes: batch items go when no interactive one waits, and in every
/// kBatchPopInterval-th turn in any case.
template <typename Item>
class FairQueue {
 public:
  /// One in so many turns goes to batch items if some wait.
  static constexpr std::uint64_t kBatchPopInterval = 20;

  void Push(bool is_batch,
            const QueueAttributes& share,
            std::uint64_t number,
            Item item) {
    this->LaneOf(is_batch).Push(share, number, item);
  }

  bool Remove(bool is_batch, const CustomerId& customer, std::uint64_t number) {
    return this->LaneOf(is_batch).Remove(customer, number);
  }

  /// Takes the item whose turn it is.
  std::optional<Item> Pop() {
    if (this->size() == 0) {
      return std::nullopt;
    }
    ++this->turn;
    const bool is_batch_turn =
        this->interactive.size() == 0 ||
        (this->batch.size() > 0 && this->turn % kBatchPopInterval == 0);
    return this->LaneOf(is_batch_turn).Pop();
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
  DeficitRoundRobinQueue<Item>& LaneOf(bool is_batch) {
    return is_batch ? this->batch : this->interactive;
  }

  DeficitRoundRobinQueue<Item> interactive;
  DeficitRoundRobinQueue<Item> batch;
  std::uint64_t turn = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_FAIR_QUEUE_H_
