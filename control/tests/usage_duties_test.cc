#define BOOST_TEST_MODULE usage_duties
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/control/control_state.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const HostId kSelf("b");
const HostId kHolder("a");

/// One host's control, whose calls to the store all succeed.
struct Host {
  explicit Host(const std::optional<UsageSettings>& usage)
      : state(LeaseSettings{.self = kSelf,
                            .address = "127.0.0.1:1",
                            .secret = "own",
                            .is_first_start = true},
              seconds(8),
              kDefaultRelayInterval,
              usage) {}

  void Feed(const ControlEvent& event) {
    auto step = Decide(std::move(this->state), event, this->now);
    this->state = std::move(step.state);
    for (const ControlEffect& effect : step.effects) {
      this->effects.push_back(effect);
      if (const auto* append = std::get_if<AppendLeaseRecord>(&effect)) {
        this->Feed(
            LeaseEvent(LeaseAppendEnded{.outcome = LeaseAppendOutcome::kWritten,
                                        .offset = append->expected_end,
                                        .sent_at = this->now}));
      } else if (const auto* read = std::get_if<ReadLeaseLog>(&effect)) {
        this->Feed(LeaseEvent(
            LeaseLogRead{.entries = this->log,
                         .next_offset = LogOffset(std::max<std::uint64_t>(
                             read->from.value(), this->log.size()))}));
      } else if (std::holds_alternative<ReadUsageTopic>(effect)) {
        this->Feed(UsageEvent(UsageTopicRead{}));
      } else if (std::holds_alternative<AppendUsageRecord>(effect)) {
        this->Feed(UsageEvent(
            UsageAppendEnded{.outcome = UsageAppendOutcome::kWritten}));
      }
    }
  }

  void RunFor(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += milliseconds(100);
      this->Feed(UsageEvent(WallClockRead{
          .since_1970 = this->now.time_since_epoch() + std::chrono::hours(1)}));
      this->Feed(ControlTick{});
    }
  }

  void FollowHolder() {
    this->log = {
        {.record = {
             .holder = kHolder, .address = "127.0.0.1:2", .secret = "other"}}};
    this->RunFor(milliseconds(100));
    this->Feed(PeerLinkChanged{.host = kHolder, .is_up = true});
  }

  template <typename Effect>
  std::vector<Effect> EffectsOf() const {
    std::vector<Effect> found;
    for (const ControlEffect& effect : this->effects) {
      if (const auto* match = std::get_if<Effect>(&effect)) {
        found.push_back(*match);
      }
    }
    return found;
  }
  std::vector<UsageCounts> SentCounts() const {
    std::vector<UsageCounts> counts;
    for (const SendToHolder& send : this->EffectsOf<SendToHolder>()) {
      if (const auto* match = std::get_if<UsageCounts>(&send.message)) {
        counts.push_back(*match);
      }
    }
    return counts;
  }

  ControlState state;
  TimePoint now{seconds(1000)};
  std::vector<LeaseLogEntry> log;
  std::vector<ControlEffect> effects;
};

const RequestsStarted kStarted{.counts = {{CustomerId("c"), 3}}};

// Guards against messages and calls where the platform wants no usage reports,
// which older hosts would not know.
BOOST_AUTO_TEST_CASE(NothingIsSentWithoutTheDuty) {
  Host follower(std::nullopt);
  follower.FollowHolder();
  follower.Feed(UsageEvent(kStarted));
  follower.RunFor(seconds(1));
  BOOST_TEST(follower.SentCounts().empty());
  Host holder(std::nullopt);
  holder.RunFor(seconds(30));
  BOOST_TEST(holder.EffectsOf<ReadUsageTopic>().empty());
  BOOST_TEST(holder.EffectsOf<SendUsageReport>().empty());
}

// Guards against counts that don't reach the lease holder.
BOOST_AUTO_TEST_CASE(HostSendsItsCountsToTheHolder) {
  Host host(UsageSettings{.host = kSelf, .process = 1});
  host.FollowHolder();
  host.Feed(UsageEvent(kStarted));
  host.RunFor(seconds(2));
  const auto sent = host.SentCounts();
  BOOST_REQUIRE(!sent.empty());
  BOOST_TEST(std::ranges::any_of(sent, [](const UsageCounts& counts) {
    return std::ranges::any_of(counts.windows, [](const auto& window) {
      return window.second == kStarted.counts;
    });
  }));
}

// Guards against a holder that doesn't report, or reports before it has read
// what is recorded.
BOOST_AUTO_TEST_CASE(HolderReadsRecordsAndReports) {
  Host host(UsageSettings{.host = kSelf, .process = 1});
  host.RunFor(seconds(4));
  host.Feed(UsageEvent(kStarted));
  host.RunFor(seconds(14));
  BOOST_TEST(host.EffectsOf<ReadUsageTopic>().size() == 1U);
  const auto appends = host.EffectsOf<AppendUsageRecord>();
  const auto reports = host.EffectsOf<SendUsageReport>();
  BOOST_REQUIRE(!appends.empty());
  BOOST_REQUIRE(!reports.empty());
  BOOST_TEST((reports[0].counts == appends[0].record.counts));
  BOOST_TEST((reports[0].window_index == appends[0].record.window));
  BOOST_TEST((reports[0].token == FencingToken(1)));
}

}  // namespace
}  // namespace cicadaloft
