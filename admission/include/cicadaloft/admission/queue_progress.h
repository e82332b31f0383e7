#ifndef CICADALOFT_ADMISSION_QUEUE_PROGRESS_H_
#define CICADALOFT_ADMISSION_QUEUE_PROGRESS_H_

#include <map>
#include <optional>
#include <vector>

#include "cicadaloft/admission/queue_line.h"
#include "cicadaloft/admission/service_rate.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// How a RankedQueue has moved lately. Keeps nothing of lines without waiting
/// items.
class QueueProgress {
 public:
  void OnServed(const QueueLine& line, TimePoint now);
  /// To be called after each change of the queue.
  /// @param waiting the lines with waiting items, in ascending order.
  void Update(const std::vector<QueueLine>& waiting, TimePoint now);

  /// @param remaining how long the item may still wait.
  /// @return a time that the item waits at least, if the line moves on as it
  /// has lately. None if that isn't known: its line, or the line of items on
  /// time before it, must have had waiting items for as long as the item may
  /// still wait, and for a wave of demand.
  std::optional<Duration> MinWait(const LinePosition& position,
                                  Duration remaining,
                                  TimePoint now) const;

  /// @return the expected wait; none if the line hasn't moved lately.
  std::optional<Duration> ExpectedWait(const LinePosition& position,
                                       TimePoint now) const;

  /// Chooses when a caller whose item is removed should return: when the item
  /// would be served, but after those that were told a time before it.
  /// @param limit the longest time that the caller waits.
  /// @return none if the line hasn't moved lately.
  std::optional<Duration> ReserveReturn(const LinePosition& position,
                                        Duration limit,
                                        TimePoint now);

 private:
  struct LineState {
    ServiceRate rate;
    TimePoint last_return{};  ///< The last time that a caller was told.
  };

  /// @return the time from one item that is served to the next.
  std::optional<Duration> ServiceInterval(const QueueLine& line,
                                          TimePoint now) const;

  std::map<QueueLine, LineState> lines;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_QUEUE_PROGRESS_H_
