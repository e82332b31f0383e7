#include "cicadaloft/admission/queue_progress.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace cicadaloft {
namespace {

/// Demand has waves of 11 to 13 s. Over shorter times, the crest of one would
/// cause refusals of what can be served in its trough.
constexpr Duration kMinPeriod = std::chrono::seconds(12);

/// Period of the mean rate that callers are told to return by.
constexpr Duration kMeanPeriod = std::chrono::seconds(2);

}  // namespace

void QueueProgress::OnServed(const QueueLine& line, TimePoint now) {
  const auto found = this->lines.find(line);
  if (found != this->lines.end()) {
    found->second.rate.OnServed(now);
  }
}

void QueueProgress::Update(const std::vector<QueueLine>& waiting,
                           TimePoint now) {
  // Late items can't be served before those on time, whether any wait or not.
  std::set<QueueLine> blocked(waiting.begin(), waiting.end());
  for (QueueLine line : waiting) {
    line.is_late = true;
    blocked.insert(line);
  }
  std::erase_if(this->lines, [&](const auto& entry) {
    return !blocked.contains(entry.first);
  });
  for (const QueueLine& line : blocked) {
    this->lines.try_emplace(line, LineState{.rate = ServiceRate(now)});
  }
}

std::optional<Duration> QueueProgress::MinWait(const LinePosition& position,
                                               Duration remaining,
                                               TimePoint now) const {
  const auto found = this->lines.find(position.line);
  if (found == this->lines.end()) {
    return std::nullopt;
  }
  return found->second.rate.MinTimeFor(position.ahead + 1,
                                       std::max(kMinPeriod, remaining), now);
}

std::optional<Duration> QueueProgress::ServiceInterval(const QueueLine& line,
                                                       TimePoint now) const {
  const auto found = this->lines.find(line);
  const std::optional<double> served =
      found == this->lines.end() ? std::nullopt
                                 : found->second.rate.CountIn(kMeanPeriod, now);
  if (!served || *served == 0) {
    return std::nullopt;
  }
  return ToDuration(kMeanPeriod / *served);
}

std::optional<Duration> QueueProgress::ExpectedWait(
    const LinePosition& position,
    TimePoint now) const {
  const auto interval = this->ServiceInterval(position.line, now);
  if (!interval) {
    return std::nullopt;
  }
  return ToDuration(*interval * (static_cast<double>(position.ahead) + 1));
}

std::optional<Duration> QueueProgress::ReserveReturn(
    const LinePosition& position,
    Duration limit,
    TimePoint now) {
  const auto interval = this->ServiceInterval(position.line, now);
  if (!interval) {
    return std::nullopt;
  }
  TimePoint& last = this->lines.at(position.line).last_return;
  const TimePoint time =
      std::max(now + *this->ExpectedWait(position, now), last + *interval);
  if (time > now + limit) {
    // It returns before its turn, so it takes none.
    return limit;
  }
  last = time;
  return time - now;
}

}  // namespace cicadaloft
