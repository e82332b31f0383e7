#include "cicadaloft/admission/large_size_threshold.h"

#include <algorithm>

namespace cicadaloft {
namespace {

constexpr double kLargeFraction = 0.1;
/// Relative change of the threshold by one size.
constexpr double kStep = 0.05;
/// The threshold oscillates by up to kStep around equal sizes.
constexpr double kMinExcess = 1.1;
constexpr std::uint64_t kMinCount = 20;
constexpr double kMinSize = 1;
constexpr double kMaxSize = 1e9;

}  // namespace

bool LargeSizeThreshold::Add(double size) {
  // Also for NaN.
  const double value = size > kMinSize ? std::min(size, kMaxSize) : kMinSize;
  ++this->count;
  if (this->count == 1) {
    this->threshold = value;
  }
  const bool is_large =
      this->count > kMinCount && value > this->threshold * kMinExcess;
  this->threshold *= value > this->threshold ? 1 + kStep * (1 - kLargeFraction)
                                             : 1 - kStep * kLargeFraction;
  this->threshold = std::clamp(this->threshold, kMinSize, kMaxSize);
  return is_large;
}

}  // namespace cicadaloft
