#include "cicadaloft/admission/rank_floors.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace cicadaloft {
namespace {

/// Fraction of what it would get in the order of arrival that each rank gets at
/// least. The requirement is a quarter; the remainder covers requests that are
/// removed before they are served.
constexpr double kRankFloor = 0.3;

/// The same for the largest tenth of requests; the requirement is a half.
constexpr double kLargeFloor = 0.6;
constexpr double kLargeFraction = 0.1;

/// Items that a rank may be served in succession because of its minimum.
constexpr double kMaxDeficit = 3;

/// Each arrival reduces the weight of the earlier ones by this fraction.
constexpr double kArrivalDecay = 1.0 / 512;

void Add(double& deficit, double amount) {
  deficit = std::min(deficit + amount, kMaxDeficit);
}

void Subtract(double& deficit) {
  deficit = std::max(0.0, deficit - 1);
}

}  // namespace

void RankFloors::OnArrival(const Rank& rank) {
  for (State& state : this->states | std::views::values) {
    state.arrivals *= 1 - kArrivalDecay;
  }
  this->states[rank].arrivals += 1;
}

double RankFloors::DeficitOf(const Rank& rank) const {
  const auto found = this->states.find(rank);
  return found == this->states.end() ? 0 : found->second.deficit;
}

Rank RankFloors::Pick(const std::vector<RankContender>& contenders) const {
  const auto most_behind = std::ranges::max_element(
      contenders, {}, [this](const RankContender& contender) {
        return this->DeficitOf(contender.rank);
      });
  return this->DeficitOf(most_behind->rank) >= 1 ? most_behind->rank
                                                 : contenders.front().rank;
}

bool RankFloors::IsLargeDue(const Rank& rank) const {
  const auto found = this->states.find(rank);
  return found != this->states.end() && found->second.large_deficit >= 1;
}

void RankFloors::OnServed(const std::vector<RankContender>& contenders,
                          const RankedPlace& served) {
  const auto states = this->states | std::views::values;
  const double arrivals = std::accumulate(
      states.begin(), states.end(), 0.0,
      [](double sum, const State& state) { return sum + state.arrivals; });
  for (const RankContender& contender : contenders) {
    State& state = this->states[contender.rank];
    if (arrivals > 0) {
      Add(state.deficit, kRankFloor * state.arrivals / arrivals);
    }
    if (contender.has_large && contender.rank == served.rank) {
      Add(state.large_deficit, kLargeFloor * kLargeFraction);
    }
  }
  State& state = this->states[served.rank];
  Subtract(state.deficit);
  if (served.is_large) {
    Subtract(state.large_deficit);
  }
}

}  // namespace cicadaloft
