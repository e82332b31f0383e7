#ifndef CICADALOFT_PLACEMENT_USE_HISTORY_H_
#define CICADALOFT_PLACEMENT_USE_HISTORY_H_

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// The gaps between the uses of each model, for what to keep and what to load
/// ahead.
class UseHistory {
 public:
  /// Notes that requests for the model came or ran.
  void Note(const ModelId& model, TimePoint now);

  /// @return how long the model has not been used; none if it never was.
  std::optional<Duration> IdleTime(const ModelId& model, TimePoint now) const;

  /// @return how likely the model is wanted within `horizon`, from 0 to 1.
  double ChanceWanted(const ModelId& model,
                      Duration horizon,
                      TimePoint now) const;

  /// @return when the next use is due, for a model used at regular intervals.
  std::optional<TimePoint> ExpectedUse(const ModelId& model) const;

  /// @return the models whose next use can be told.
  std::vector<ModelId> RegularModels() const;

 private:
  struct Uses {
    TimePoint last{};
    std::deque<Duration> gaps;
  };

  std::map<ModelId, Uses> models;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_USE_HISTORY_H_
