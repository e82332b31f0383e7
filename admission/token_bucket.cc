#include "cicadaloft/admission/token_bucket.h"

#include <algorithm>
#include <numeric>

namespace cicadaloft {
namespace {

/// Sums of many small parts may miss a whole token by this much.
constexpr double kRoundingSlack = 1e-9;

template <typename Parcels>
double SumOf(const Parcels& parcels) {
  return std::accumulate(
      parcels.begin(), parcels.end(), 0.0,
      [](double sum, const auto& parcel) { return sum + parcel.tokens; });
}

template <typename Parcels>
void DropEnded(Parcels& parcels, TimePoint now) {
  while (!parcels.empty() && parcels.front().ends <= now) {
    parcels.pop_front();
  }
}

}  // namespace

void TokenBucket::SetShare(double rate, double capacity, TimePoint now) {
  this->Advance(now);
  this->share_rate = rate;
  this->share_capacity = capacity;
  this->Advance(now);
}

void TokenBucket::Empty(TimePoint now) {
  this->Advance(now);
  this->own = 0;
  this->borrowed.clear();
}

double TokenBucket::Available(TimePoint now) {
  this->Advance(now);
  return this->own + SumOf(this->borrowed);
}

bool TokenBucket::TryTake(TimePoint now) {
  if (this->Available(now) < 1 - kRoundingSlack) {
    return false;
  }
  double missing = 1;
  while (missing > 0 && !this->borrowed.empty()) {
    Parcel& first = this->borrowed.front();
    const double part = std::min(missing, first.tokens);
    missing -= part;
    first.tokens -= part;
    if (first.tokens <= 0) {
      this->borrowed.pop_front();
    }
  }
  this->own = std::max(0.0, this->own - missing);
  return true;
}

double TokenBucket::Lend(double wanted, double keep, TimePoint now) {
  this->Advance(now);
  const double given = std::clamp(this->own - keep, 0.0, wanted);
  if (given <= 0) {
    return 0;
  }
  this->own -= given;
  this->lent.push_back(Parcel{.tokens = given, .ends = now + kLoanTerm});
  return given;
}

void TokenBucket::TakeLoan(double tokens, TimePoint asked_at, TimePoint now) {
  const TimePoint ends = asked_at + kLoanTerm;
  if (ends <= now || tokens <= 0) {
    return;
  }
  const auto place =
      std::ranges::upper_bound(this->borrowed, ends, {}, &Parcel::ends);
  this->borrowed.insert(place, Parcel{.tokens = tokens, .ends = ends});
}

void TokenBucket::Advance(TimePoint now) {
  const double seconds =
      std::chrono::duration<double>(std::max(now - this->refilled, Duration{}))
          .count();
  DropEnded(this->borrowed, now);
  DropEnded(this->lent, now);
  const double room = std::max(0.0, this->share_capacity - SumOf(this->lent));
  this->own = std::min(room, this->own + this->share_rate * seconds);
  this->refilled = std::max(this->refilled, now);
}

}  // namespace cicadaloft
