#ifndef CICADALOFT_ROUTING_SAMPLED_CHOICE_H_
#define CICADALOFT_ROUTING_SAMPLED_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "cicadaloft/routing/estimated_cost.h"

namespace cicadaloft {

/// Order in which the candidates for one request are looked at: two that are
/// drawn, then all from the first of them on.
class SampleOrder {
 public:
  /// @param draw differs between requests.
  SampleOrder(std::uint64_t draw, std::size_t candidate_count)
      : count(candidate_count),
        first(draw % candidate_count),
        second(candidate_count < 2
                   ? 0
                   : (this->first + 1 +
                      draw / candidate_count % (candidate_count - 1)) %
                         candidate_count) {}

  /// @return how many positions there are; each candidate has one or two.
  std::size_t size() const { return this->count + kDrawn; }
  std::size_t IndexAt(std::size_t position) const {
    if (position < kDrawn) {
      return position == 0 ? this->first : this->second;
    }
    return (this->first + position - kDrawn) % this->count;
  }

 private:
  static constexpr std::size_t kDrawn = 2;

  std::size_t count;
  std::size_t first;
  std::size_t second;
};

/// Selects the candidate with the lowest cost of `preferred` and the first two
/// others that are available and keep the interval objective; if none keeps it,
/// the lowest of all. Hosts that compare all candidates on old reports choose
/// the same one.
/// @param preferred one of the candidates, which is always compared; null:
/// none.
/// @param cost_of returns an `std::optional<EstimatedCost>`, which is empty if
/// the candidate is not available.
/// @return null if none is available.
template <typename Candidate, typename CostFunction>
Candidate* ChooseFromSample(const std::vector<Candidate*>& candidates,
                            std::uint64_t draw,
                            Candidate* preferred,
                            CostFunction cost_of) {
  constexpr std::size_t kCompared = 2;
  Candidate* best = nullptr;
  std::optional<EstimatedCost> best_cost;
  if (candidates.empty()) {
    return best;
  }
  // @return whether the candidate counts as one of those compared.
  const auto compare = [&](Candidate* candidate) {
    const std::optional<EstimatedCost> cost = cost_of(*candidate);
    if (cost && (!best_cost || *cost < *best_cost)) {
      best = candidate;
      best_cost = cost;
    }
    return cost && !cost->exceeds_interval;
  };
  if (preferred != nullptr) {
    compare(preferred);
  }
  const SampleOrder order(draw, candidates.size());
  const Candidate* previous = nullptr;
  std::size_t compared = 0;
  for (std::size_t i = 0; i < order.size() && compared < kCompared; ++i) {
    Candidate* candidate = candidates[order.IndexAt(i)];
    if (candidate != previous && compare(candidate)) {
      ++compared;
      previous = candidate;
    }
  }
  return best;
}

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_SAMPLED_CHOICE_H_
