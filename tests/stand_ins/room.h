#ifndef CICADALOFT_TESTS_STAND_INS_ROOM_H_
#define CICADALOFT_TESTS_STAND_INS_ROOM_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <utility>

namespace cicadaloft::stand_ins {

/// The slots of a runner and the requests that wait for one. While the runner
/// is brittle, fewer may wait, and it crashes if it turns away too many.
class Room {
 public:
  using Clock = std::chrono::steady_clock;

  /// From the announcement until the bounds of a brittle runner hold.
  static constexpr std::chrono::seconds kNotice{3};
  static constexpr std::chrono::seconds kRejectionWindow{1};

  struct Brittleness {
    std::size_t rejections_per_s = 0;  ///< Above it the runner crashes.
    std::size_t waiting = 0;
    Clock::time_point from;
    Clock::time_point until;
  };

  /// @param waiting how many requests may wait; none: slots don't bind.
  Room(boost::asio::io_context& context,
       std::size_t slots,
       std::optional<std::size_t> waiting)
      : context(context), slots(slots), max_waiting(waiting) {}

  /// Is called when the runner crashes.
  void OnCrash(std::function<void()> callback) {
    this->crash = std::move(callback);
  }

  void BecomeBrittle(Brittleness next) { this->brittleness = next; }

  /// @return the value of Server-Brittle; none if the runner isn't brittle.
  std::optional<std::size_t> announced() const {
    return this->IsBrittle()
               ? std::optional(this->brittleness->rejections_per_s)
               : std::nullopt;
  }
  int crash_count() const { return this->crashes; }
  /// @return the value of Instance-Load.
  std::string Load() const {
    return this->max_waiting ? std::to_string(this->running) + "," +
                                   std::to_string(this->queue.size()) + "," +
                                   std::to_string(this->slots)
                             : "1,0,8";
  }

  /// A slot that is held until the end of the request.
  class Slot {
   public:
    Slot(Room& room, int life) : room(&room), life(life) {}
    Slot(Slot&& other) noexcept
        : room(std::exchange(other.room, nullptr)), life(other.life) {}
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;
    Slot& operator=(Slot&&) = delete;
    ~Slot() {
      if (this->room != nullptr && this->life == this->room->crashes) {
        this->room->Leave();
      }
    }

   private:
    Room* room;
    int life;  ///< Number of crashes when the request got its slot.
  };

  /// Waits for a slot.
  /// @return none if the request is turned away or the runner has crashed.
  boost::asio::awaitable<std::optional<Slot>> Enter() {
    if (!this->max_waiting || this->running < this->slots) {
      ++this->running;
      co_return Slot(*this, this->crashes);
    }
    if (this->queue.size() >= this->MaxWaiting()) {
      this->NoteRejection();
      co_return std::nullopt;
    }
    const int life = this->crashes;
    boost::asio::steady_timer turn(this->context, Clock::time_point::max());
    this->queue.push_back(&turn);
    co_await turn.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    if (life != this->crashes) {
      co_return std::nullopt;
    }
    co_return Slot(*this, life);
  }

 private:
  bool IsBrittle() const {
    return this->brittleness && Clock::now() < this->brittleness->until;
  }
  bool IsBound() const {
    return this->IsBrittle() &&
           Clock::now() >= this->brittleness->from + kNotice;
  }
  std::size_t MaxWaiting() const {
    return this->IsBound() ? this->brittleness->waiting : *this->max_waiting;
  }

  // Gives the slot to the first request that waits.
  void Leave() {
    if (this->queue.empty()) {
      --this->running;
      return;
    }
    boost::asio::steady_timer* next = this->queue.front();
    this->queue.pop_front();
    next->cancel();
  }

  void NoteRejection() {
    if (!this->IsBound()) {
      return;
    }
    const auto now = Clock::now();
    this->rejections.push_back(now);
    while (this->rejections.front() <= now - kRejectionWindow) {
      this->rejections.pop_front();
    }
    if (this->rejections.size() > this->brittleness->rejections_per_s) {
      this->Crash();
    }
  }

  void Crash() {
    ++this->crashes;
    this->running = 0;
    this->rejections.clear();
    for (boost::asio::steady_timer* turn : std::exchange(this->queue, {})) {
      turn->cancel();
    }
    this->crash();
  }

  boost::asio::io_context& context;
  const std::size_t slots;
  const std::optional<std::size_t> max_waiting;
  std::optional<Brittleness> brittleness;
  std::function<void()> crash;
  std::size_t running = 0;
  std::deque<boost::asio::steady_timer*> queue;  ///< In the order of arrival.
  std::deque<Clock::time_point> rejections;
  int crashes = 0;
};

}  // namespace cicadaloft::stand_ins

#endif  // CICADALOFT_TESTS_STAND_INS_ROOM_H_
