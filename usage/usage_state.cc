#include "cicadaloft/usage/usage_state.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>
#include <variant>

namespace cicadaloft {
namespace {

/// Hosts that keep the lease holder's own counts for its successor.
constexpr std::size_t kCopies = 2;
/// An answer to a clock that takes longer says too little about the time.
constexpr Duration kMaxRoundTrip = std::chrono::milliseconds(400);

}  // namespace

UsageState::UsageState(const UsageSettings& settings)
    : settings(settings),
      counter(settings),
      ledger(settings),
      reporter(settings) {}

Step<UsageState, UsageEffect> Decide(UsageState state,
                                     const UsageEvent& event,
                                     TimePoint now) {
  state.now = now;
  std::visit([&](const auto& item) { state.Handle(item); }, event);
  for (const UsageWindow window : state.reporter.TakeRecorded()) {
    state.ledger.Forget(window);
  }
  std::ranges::move(state.reporter.TakeEffects(),
                    std::back_inserter(state.effects));
  std::vector<UsageEffect> effects = std::exchange(state.effects, {});
  return Step<UsageState, UsageEffect>{.state = std::move(state),
                                       .effects = std::move(effects)};
}

void UsageState::Handle(const WallClockRead& read) {
  this->clock.OnRead(read.since_1970, this->now);
  this->counter.Begin(this->clock.Time(this->now));
}

void UsageState::Handle(const RequestsStarted& started) {
  if (this->clock.IsKnown()) {
    this->counter.Add(started.counts, this->clock.Time(this->now));
  }
}

void UsageState::Handle(const UsageCountsReceived& received) {
  this->ledger.OnCounts(received, this->now);
  this->CorrectClockOf(received);
}

// Windows are in true time, which most hosts' clocks show. Only a host whose
// clock is off is told.
void UsageState::CorrectClockOf(const UsageCountsReceived& received) {
  const UsageCounts& counts = received.counts;
  const auto median = this->ledger.MedianTime(this->now);
  if (!this->reporter.IsTermValid(this->now) || !median ||
      received.from != counts.host) {
    return;
  }
  const auto is_off = [&](std::uint64_t time) {
    const Duration difference =
        *median - Duration(static_cast<Duration::rep>(time));
    return std::chrono::abs(difference) > kMaxClockDifference;
  };
  if (!is_off(counts.own_time) && !is_off(counts.counted_until)) {
    return;
  }
  const UsageClock answer{
      .number = counts.number,
      .wall_time = static_cast<std::uint64_t>(median->count())};
  if (counts.host == this->settings.host) {
    this->Handle(answer);
  } else {
    this->effects.emplace_back(
        SendUsageClock{.host = counts.host, .clock = answer});
  }
}

void UsageState::Handle(const UsageClock& answer) {
  if (answer.wall_time <= kMaxWallTime &&
      answer.number == this->counter.last_number() &&
      this->now - this->counts_sent_at <= kMaxRoundTrip) {
    this->clock.OnCorrection(
        Duration(static_cast<Duration::rep>(answer.wall_time)), this->now);
  }
}

void UsageState::Handle(const UsageTerm& new_term) {
  this->reporter.OnTerm(new_term, this->now);
  if (std::exchange(this->term, new_term.token) == new_term.token) {
    return;
  }
  this->ledger.OnTermBegan();
  this->term_began_at = this->now;
  this->term_wall_time =
      this->clock.IsKnown() ? this->clock.Time(this->now) : Duration::zero();
  this->term_host_count = new_term.host_count;
  this->SendCounts(true);
}

void UsageState::Handle(const UsageTermEnded&) {
  this->term.reset();
  this->ledger.OnTermEnded();
  this->reporter.OnTermEnded();
}

void UsageState::Handle(const UsageHolderChanged&) {
  this->ledger.OnHolderChanged();
}

// A new holder needs the counts of all windows that it may still close, also
// those of the last holder, if they were copied to this host.
void UsageState::Handle(const UsageLinkChanged& change) {
  this->ledger.OnLinkChanged(change, this->now);
  if (!change.is_to_holder || !change.is_up) {
    return;
  }
  this->SendCounts(true);
  for (UsageCounts& counts : this->ledger.CountsOfOthers(this->now)) {
    if (counts.host != change.host) {
      this->effects.emplace_back(SendUsageCounts{.counts = std::move(counts)});
    }
  }
}

void UsageState::Handle(const UsageTopicRead& read) {
  this->reporter.OnEra(read.era, this->now);
  this->reporter.OnTopicRead(read, this->now);
}

void UsageState::Handle(const UsageTopicReadFailed&) {
  this->reporter.OnReadFailed(this->now);
}

void UsageState::Handle(const UsageAppendEnded& ended) {
  this->reporter.OnAppendEnded(ended, this->now);
}

void UsageState::Handle(const UsageReportEnded& ended) {
  this->reporter.OnReportEnded(ended, this->Time(), this->now);
}

void UsageState::Handle(const StoreEraSeen& seen) {
  this->reporter.OnEra(seen.era, this->now);
}

void UsageState::Handle(const UsageTick& tick) {
  this->host_count = tick.host_count;
  if (!this->clock.IsKnown()) {
    return;
  }
  this->reporter.OnWindow(WindowAt(this->Time(), this->settings.window));
  this->LogEndedWindow();
  if (this->now - this->counts_sent_at >=
      UsageCountInterval(this->host_count)) {
    this->SendCounts(false);
  }
  if (this->term) {
    this->CloseWindows();
    this->reporter.StartDueCalls(this->now);
  }
}

void UsageState::LogEndedWindow() {
  const auto ended = this->counter.TakeEnded(this->clock.Time(this->now));
  if (!ended) {
    return;
  }
  std::string counts;
  for (const auto& [customer, count] : ended->second) {
    counts += (counts.empty() ? "" : ",") + customer.value() + ":" +
              std::to_string(count);
  }
  this->effects.emplace_back(DecisionRecord{
      .event = "usage.counted",
      .fields = {{"window", ended->first.value()}, {"counts", counts}}});
  const std::uint64_t oldest =
      WindowAt(this->clock.Time(this->now), this->settings.window).value() -
      std::min(ended->first.value(), UsageCounter::kKeptWindows);
  this->ledger.ForgetOld(UsageWindow(oldest), this->now);
}

void UsageState::SendCounts(bool has_all_windows) {
  if (!this->clock.IsKnown()) {
    return;
  }
  this->counts_sent_at = this->now;
  UsageCounts counts =
      this->counter.Report(this->clock.Time(this->now),
                           this->clock.OwnTime(this->now), has_all_windows);
  // A holder that has released the lease is still linked to the other hosts.
  const std::set<HostId> linked = this->ledger.LinkedHosts();
  if (!linked.empty()) {
    const auto last = std::next(
        linked.begin(),
        static_cast<std::ptrdiff_t>(std::min(kCopies, linked.size())));
    this->effects.emplace_back(
        CopyUsageCounts{.hosts = {linked.begin(), last}, .counts = counts});
  }
  if (this->term) {
    this->Handle(UsageCountsReceived{.from = this->settings.host,
                                     .counts = std::move(counts)});
  } else {
    this->effects.emplace_back(SendUsageCounts{.counts = std::move(counts)});
  }
}

}  // namespace cicadaloft
