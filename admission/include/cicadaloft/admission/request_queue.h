#ifndef CICADALOFT_ADMISSION_REQUEST_QUEUE_H_
#define CICADALOFT_ADMISSION_REQUEST_QUEUE_H_

#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

#include "cicadaloft/admission/fair_queue.h"
#include "cicadaloft/admission/queue_place.h"
#include "cicadaloft/admission/ranked_queue.h"

namespace cicadaloft {

/// A FairQueue or a RankedQueue. Items of both kinds wait in it only while a
/// change of the configuration takes effect, and are then served in turn.
/// @tparam Item the queued item; cheap to copy.
template <typename Item>
class RequestQueue {
 public:
  void Push(const QueuePlace& place,
            const QueueAttributes& attributes,
            Item item) {
    if (const auto* ranked_place = std::get_if<RankedPlace>(&place)) {
      this->ranked.Push(*ranked_place, attributes, item);
    } else {
      const auto& fair_place = std::get<FairPlace>(place);
      this->fair.Push(fair_place.is_batch, attributes, fair_place.number, item);
    }
  }

  /// @return whether the item was queued.
  bool Remove(const QueuePlace& place, const CustomerId& customer) {
    if (const auto* ranked_place = std::get_if<RankedPlace>(&place)) {
      return this->ranked.Remove(*ranked_place, customer);
    }
    const auto& fair_place = std::get<FairPlace>(place);
    return this->fair.Remove(fair_place.is_batch, customer, fair_place.number);
  }

  /// Removes and returns the next item to be served.
  std::optional<Item> Pop(const RankFloors& floors, TimePoint now) {
    const bool is_ranked =
        this->fair.size() == 0 || (this->ranked.size() > 0 && this->is_turn);
    this->is_turn = !this->is_turn;
    return is_ranked ? this->ranked.Pop(floors, now) : this->fair.Pop();
  }

  const RankedQueue<Item>& ranked_items() const { return this->ranked; }

  /// @return the item that has waited longest, or of ranked ones the most
  /// urgent.
  std::optional<Item> Oldest() const {
    return this->fair.size() > 0 ? this->fair.Oldest()
                                 : this->ranked.MostUrgent();
  }

  std::size_t size() const { return this->fair.size() + this->ranked.size(); }

 private:
  FairQueue<Item> fair;
  RankedQueue<Item> ranked;
  bool is_turn = false;  ///< Of the ranked items, if both kinds wait.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_REQUEST_QUEUE_H_
