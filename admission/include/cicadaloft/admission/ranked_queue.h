#ifndef CICADALOFT_ADMISSION_RANKED_QUEUE_H_
#define CICADALOFT_ADMISSION_RANKED_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <numeric>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cicadaloft/admission/fair_queue.h"
#include "cicadaloft/admission/queue_line.h"
#include "cicadaloft/admission/queue_place.h"
#include "cicadaloft/admission/rank_floors.h"

namespace cicadaloft {

/// A queue by rank, with a minimum for each rank. Within a rank, customers are
/// served in proportion to their weight. Of a customer's items, those that can
/// still be on time go first, in order of slack: by slack alone, the items that
/// are late already would make all others late under overload.
/// @tparam Item the queued item; cheap to copy.
template <typename Item>
class RankedQueue {
 public:
  void Push(const RankedPlace& place,
            const QueueAttributes& attributes,
            Item item) {
    Lane& lane = this->lanes[place.rank];
    const Key key = KeyOf(place);
    lane.items.Push(
        attributes, key,
        Entry{.item = item, .key = key, .customer = attributes.customer});
    if (place.is_large) {
      lane.large.emplace(key, attributes.customer);
    }
  }

  /// @return whether the item was queued.
  bool Remove(const RankedPlace& place, const CustomerId& customer) {
    const auto lane = this->lanes.find(place.rank);
    if (lane == this->lanes.end() ||
        !lane->second.items.Remove(customer, KeyOf(place))) {
      return false;
    }
    lane->second.large.erase({KeyOf(place), customer});
    this->EraseIfEmpty(lane);
    return true;
  }

  /// Removes and returns the next item to be served.
  std::optional<Item> Pop(const RankFloors& floors, TimePoint now) {
    if (this->lanes.empty()) {
      return std::nullopt;
    }
    const Rank rank = floors.Pick(this->Contenders());
    const auto found = this->lanes.find(rank);
    Lane& lane = found->second;
    const Key first_on_time{now, 0};
    const bool serves_large = !lane.large.empty() && floors.IsLargeDue(rank);
    const Entry entry = serves_large ? TakeLarge(lane, first_on_time)
                                     : *lane.items.Pop(first_on_time);
    lane.large.erase({entry.key, entry.customer});
    this->EraseIfEmpty(found);
    return entry.item;
  }

  /// @return the ranks with waiting items, in ascending order.
  std::vector<RankContender> Contenders() const {
    std::vector<RankContender> contenders;
    std::ranges::transform(
        this->lanes, std::back_inserter(contenders), [](const auto& lane) {
          return RankContender{.rank = lane.first,
                               .has_large = !lane.second.large.empty()};
        });
    return contenders;
  }

  /// @return the lines with waiting items, in ascending order.
  std::vector<QueueLine> Lines(TimePoint now) const {
    std::vector<QueueLine> lines;
    for (const auto& [rank, lane] : this->lanes) {
      lane.items.VisitCustomers(
          [&](const CustomerId& customer, const auto& waiting) {
            const Key first_on_time{now, 0};
            const auto add = [&](bool is_late) {
              lines.push_back(QueueLine{
                  .rank = rank, .customer = customer, .is_late = is_late});
            };
            if (waiting.rbegin()->first >= first_on_time) {
              add(false);
            }
            if (waiting.begin()->first < first_on_time) {
              add(true);
            }
          });
    }
    std::ranges::sort(lines);
    return lines;
  }

  /// Calls `visit` with each item and its LinePosition.
  template <typename Visitor>
  void VisitPositions(TimePoint now, Visitor visit) const {
    for (const auto& [rank, lane] : this->lanes) {
      lane.items.VisitCustomers(
          [&](const CustomerId& customer, const auto& waiting) {
            std::map<bool, std::size_t> counts;
            for (const auto& [key, entry] : waiting) {
              const bool is_late = key < Key{now, 0};
              visit(entry.item.item, LinePosition{.line = {.rank = rank,
                                                           .customer = customer,
                                                           .is_late = is_late},
                                                  .ahead = counts[is_late]++});
            }
          });
    }
  }

  /// @return where the item stands; none if it isn't queued.
  std::optional<LinePosition> PositionOf(const RankedPlace& place,
                                         const CustomerId& customer,
                                         TimePoint now) const {
    const auto lane = this->lanes.find(place.rank);
    if (lane == this->lanes.end()) {
      return std::nullopt;
    }
    const Key own = KeyOf(place);
    const Key first_on_time{now, 0};
    std::optional<LinePosition> position;
    lane->second.items.VisitCustomers(
        [&](const CustomerId& other, const auto& waiting) {
          if (other != customer || !waiting.contains(own)) {
            return;
          }
          const bool is_late = own < first_on_time;
          const auto first =
              is_late ? waiting.begin() : waiting.lower_bound(first_on_time);
          position = LinePosition{.line = {.rank = place.rank,
                                           .customer = customer,
                                           .is_late = is_late},
                                  .ahead = static_cast<std::size_t>(
                                      std::distance(first, waiting.find(own)))};
        });
    return position;
  }

  /// @return the item with the least slack of the first rank.
  std::optional<Item> MostUrgent() const {
    if (this->lanes.empty()) {
      return std::nullopt;
    }
    return this->lanes.begin()->second.items.Oldest()->second.item;
  }

  std::size_t size() const {
    return std::accumulate(this->lanes.begin(), this->lanes.end(),
                           std::size_t{0},
                           [](std::size_t sum, const auto& lane) {
                             return sum + lane.second.items.size();
                           });
  }

 private:
  /// Latest start, and the number to tell apart equal ones.
  using Key = std::pair<TimePoint, std::uint64_t>;
  struct Entry {
    Item item;
    Key key;
    CustomerId customer;
  };
  struct Lane {
    DeficitRoundRobinQueue<Entry, Key> items;
    std::set<std::pair<Key, CustomerId>> large;
  };
  using LaneIterator = typename std::map<Rank, Lane>::iterator;

  static Key KeyOf(const RankedPlace& place) {
    return {place.latest_start, place.number};
  }

  static Entry TakeLarge(Lane& lane, const Key& first_on_time) {
    const auto found = lane.large.lower_bound({first_on_time, CustomerId()});
    const auto& [key, customer] =
        found == lane.large.end() ? *lane.large.begin() : *found;
    return *lane.items.Take(customer, key);
  }

  void EraseIfEmpty(LaneIterator lane) {
    if (lane->second.items.size() == 0) {
      this->lanes.erase(lane);
    }
  }

  std::map<Rank, Lane> lanes;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_RANKED_QUEUE_H_
