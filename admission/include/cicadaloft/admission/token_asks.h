#ifndef CICADALOFT_ADMISSION_TOKEN_ASKS_H_
#define CICADALOFT_ADMISSION_TOKEN_ASKS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Which hosts have been asked for one customer's tokens, and how much came.
/// A host has at most one open ask; one that had nothing rests for a time that
/// doubles.
class TokenAsks {
 public:
  static constexpr Duration kFirstBackOff = std::chrono::milliseconds(50);
  static constexpr Duration kLongestBackOff = std::chrono::milliseconds(1600);
  /// No answer comes later than this: until then the host isn't asked again,
  /// since its answer could not be told from the one to an earlier ask.
  static constexpr Duration kLostAfter = std::chrono::seconds(5);
  /// Between two rounds of asks; it doubles while rounds bring nothing.
  static constexpr Duration kFirstRoundInterval = std::chrono::milliseconds(50);
  static constexpr Duration kLongestRoundInterval =
      std::chrono::milliseconds(800);
  /// What came is averaged over this time.
  static constexpr Duration kIncomeWindow = std::chrono::milliseconds(500);

  /// Picks hosts to ask, going round, and notes them as asked. None are picked
  /// until the next round is due.
  std::vector<HostId> Pick(const std::vector<HostId>& peers,
                           std::size_t count,
                           TimePoint now);
  /// @return when the host was asked; none if no ask is open.
  std::optional<TimePoint> OnAnswer(const HostId& peer,
                                    double tokens,
                                    TimePoint now);

  /// Call it again and again while tokens are wanted; what came before a longer
  /// pause is forgotten.
  /// @param hoped_for tokens a second to expect while nothing is known.
  /// @return tokens a second that have come lately.
  double Income(double hoped_for, TimePoint now);

 private:
  struct Ask {
    std::optional<TimePoint> asked_at;
    TimePoint not_before{};
    Duration back_off = kFirstBackOff;
  };

  bool MayAsk(const HostId& peer, TimePoint now) const;

  std::map<HostId, Ask> asks;
  std::size_t next_peer = 0;
  TimePoint round_began{};
  Duration round_interval{};
  std::optional<TimePoint> window_began;
  double came_in_window = 0;
  std::optional<double> income;  ///< None until a window has been seen.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_TOKEN_ASKS_H_
