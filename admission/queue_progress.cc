#include "cicadaloft/admission/queue_progress.h"

#include <algorithm>
#include <chrono>

namespace cicadaloft {
namespace {

/// Over shorter times, a wave of arrivals or of ends of runs decides.
constexpr Duration kMinPeriod = std::chrono::seconds(2);

}  // namespace

void QueueProgress::OnServed(const QueueLine& line, TimePoint now) {
  const auto found = this->rates.find(line);
  if (found != this->rates.end()) {
    found->second.OnServed(now);
  }
}

void QueueProgress::Update(const std::vector<QueueLine>& lines, TimePoint now) {
  std::erase_if(this->rates, [&](const auto& entry) {
    return !std::ranges::binary_search(lines, entry.first);
  });
  for (const QueueLine& line : lines) {
    this->rates.try_emplace(line, now);
  }
}

std::optional<Duration> QueueProgress::MinWait(const LinePosition& position,
                                               Duration remaining,
                                               TimePoint now) const {
  const auto found = this->rates.find(position.line);
  if (found == this->rates.end()) {
    return std::nullopt;
  }
  return found->second.MinTimeFor(position.ahead + 1,
                                  std::max(kMinPeriod, remaining), now);
}

std::optional<Duration> QueueProgress::ExpectedWait(
    const LinePosition& position,
    TimePoint now) const {
  const auto found = this->rates.find(position.line);
  const std::optional<double> served =
      found == this->rates.end() ? std::nullopt
                                 : found->second.CountIn(kMinPeriod, now);
  if (!served || *served == 0) {
    return std::nullopt;
  }
  return ToDuration(kMinPeriod *
                    (static_cast<double>(position.ahead + 1) / *served));
}

}  // namespace cicadaloft
