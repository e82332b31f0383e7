#ifndef CICADALOFT_ROUTING_DECAYED_MEAN_H_
#define CICADALOFT_ROUTING_DECAYED_MEAN_H_

#include "cicadaloft/core/half_life.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// A mean of samples whose weights halve with each half-life. The weight of a
/// new sample is 1.
class DecayedMean {
 public:
  explicit DecayedMean(Duration half_life) : half_life(half_life) {}

  void Add(double sample, TimePoint now) {
    const double factor = this->Factor(now);
    this->sum = this->sum * factor + sample;
    this->weight = this->weight * factor + 1;
    this->updated_at = now;
  }

  /// @param prior counts as one further sample, so that the mean returns to it
  /// as the samples age.
  double Value(double prior, TimePoint now) const {
    if (this->weight == 0) {
      return prior;
    }
    const double factor = this->Factor(now);
    return (this->sum * factor + prior) / (this->weight * factor + 1);
  }

  bool IsEmpty() const { return this->weight == 0; }

 private:
  double Factor(TimePoint now) const {
    return this->weight == 0
               ? 0
               : DecayFactor(now - this->updated_at, this->half_life);
  }

  Duration half_life;
  double sum = 0;
  double weight = 0;
  TimePoint updated_at{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_DECAYED_MEAN_H_
