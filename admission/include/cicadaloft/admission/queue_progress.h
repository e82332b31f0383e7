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
  /// @param lines those with waiting items, in ascending order.
  void Update(const std::vector<QueueLine>& lines, TimePoint now);

  /// @param remaining how long the item may still wait.
  /// @return a time that the item waits at least, if the line moves on as it
  /// has lately. None if that isn't known: the line must have had waiting items
  /// for as long as the item may still wait, and at least for kMinPeriod.
  std::optional<Duration> MinWait(const LinePosition& position,
                                  Duration remaining,
                                  TimePoint now) const;

  /// @return the expected wait; none if the line hasn't moved lately.
  std::optional<Duration> ExpectedWait(const LinePosition& position,
                                       TimePoint now) const;

 private:
  std::map<QueueLine, ServiceRate> rates;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_QUEUE_PROGRESS_H_
