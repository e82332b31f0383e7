#define BOOST_TEST_MODULE lease
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/lease/lease_codec.h"
#include "cicadaloft/lease/lease_state.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(1000));
constexpr Duration kTick = milliseconds(20);

LeaseSettings SettingsOf(const std::string& host) {
  return LeaseSettings{.self = HostId(host),
                       .address = "127.0.0.1:1",
                       .secret = "secret of " + host};
}

/// The lease's log, with calls that may be lost or late.
struct FakeLog {
  std::vector<LeaseRecord> records;

  LeaseLogRead Read(LogOffset from) const {
    std::vector<LeaseLogEntry> placed;
    for (std::uint64_t i = from.value(); i < this->records.size(); ++i) {
      placed.push_back({.offset = LogOffset(i), .record = this->records[i]});
    }
    return LeaseLogRead{.records = std::move(placed),
                        .end = LogOffset(this->records.size())};
  }

  bool Append(const AppendLeaseRecord& append) {
    if (append.expected_end.value() != this->records.size()) {
      return false;
    }
    this->records.push_back(append.record);
    return true;
  }
};

/// One host on the log; calls are answered at once unless it is cut off.
class Host {
 public:
  Host(const std::string& name, FakeLog& log)
      : log(&log), state(SettingsOf(name)) {}

  void Feed(const LeaseEvent& event, TimePoint now) {
    std::deque<LeaseEvent> events = {event};
    while (!events.empty()) {
      auto step = Decide(std::move(this->state), events.front(), now);
      events.pop_front();
      this->state = std::move(step.state);
      for (const LeaseEffect& effect : step.effects) {
        if (const auto* read = std::get_if<ReadLeaseLog>(&effect)) {
          events.push_back(this->is_cut ? LeaseEvent(LeaseReadFailed{})
                                        : this->log->Read(read->from));
        } else if (const auto* append =
                       std::get_if<AppendLeaseRecord>(&effect)) {
          events.push_back(this->Carry(*append, now));
        } else if (std::holds_alternative<LeaseExtended>(effect)) {
          ++this->extensions;
        }
      }
    }
  }

  void Tick(TimePoint now) { this->Feed(LeaseTick{}, now); }
  bool MaySendOrders(TimePoint now) const {
    return this->state.MaySendOrders(now);
  }

  FakeLog* log;
  LeaseState state;
  bool is_cut = false;
  bool loses_answers = false;  ///< Appends are done and not answered.
  std::deque<AppendLeaseRecord> delayed;  ///< Appends that arrive later.
  bool delays_appends = false;
  int extensions = 0;

 private:
  LeaseEvent Carry(const AppendLeaseRecord& append, TimePoint now) {
    return LeaseAppendEnded{.outcome = this->TryAppend(append),
                            .offset = append.expected_end,
                            .sent_at = now};
  }

  LeaseAppendOutcome TryAppend(const AppendLeaseRecord& append) {
    if (this->is_cut) {
      return LeaseAppendOutcome::kRefused;
    }
    if (this->delays_appends) {
      this->delayed.push_back(append);
      return LeaseAppendOutcome::kUnknown;
    }
    if (!this->log->Append(append)) {
      return LeaseAppendOutcome::kConflict;
    }
    return this->loses_answers ? LeaseAppendOutcome::kUnknown
                               : LeaseAppendOutcome::kWritten;
  }
};

// How long after the end of a right another host acts at the latest: it sees
// the last record at its next reading, waits, and claims.
Duration MostClaimTime(const LeaseSettings& settings) {
  return kLeaseReadInterval + settings.handover_delay +
         settings.clock_drift_margin + kClaimJitter + 2 * kTick;
}

// Ticks the hosts one by one.
TimePoint RunFor(std::vector<Host*> hosts, TimePoint from, Duration time) {
  TimePoint now = from;
  for (; now < from + time; now += kTick) {
    for (Host* host : hosts) {
      host->Tick(now);
    }
  }
  return now;
}

// Host "a" has held the lease for some time.
struct HeldLease {
  FakeLog log;
  Host a{"a", log};
  TimePoint now = RunFor({&a}, kStart, seconds(1));
};

BOOST_AUTO_TEST_CASE(OneOfManyHostsTakesAFreeLeaseWithinASecond) {
  FakeLog log;
  Host a("a", log);
  Host b("b", log);
  const TimePoint now = RunFor({&a, &b}, kStart, seconds(1));
  BOOST_TEST(a.MaySendOrders(now) != b.MaySendOrders(now));
}

BOOST_FIXTURE_TEST_CASE(AHolderThatIsCutOffLosesItsRightBeforeASuccessorActs,
                        HeldLease) {
  Host b("b", log);
  BOOST_REQUIRE(a.MaySendOrders(now));
  now = RunFor({&a, &b}, now, seconds(1));
  a.is_cut = true;
  const TimePoint cut = now;
  TimePoint last_of_a = now;
  while (!b.MaySendOrders(now) && now < cut + seconds(20)) {
    last_of_a = a.MaySendOrders(now) ? now : last_of_a;
    now = RunFor({&a, &b}, now, kTick);
  }
  const LeaseSettings settings = SettingsOf("a");
  BOOST_TEST(b.MaySendOrders(now));
  BOOST_TEST((now - last_of_a >= settings.handover_delay));
  BOOST_TEST((now - cut <= settings.ttl + MostClaimTime(settings)));
}

BOOST_FIXTURE_TEST_CASE(AReleasedLeaseIsTakenAfterTheGapAlone, HeldLease) {
  Host b("b", log);
  now = RunFor({&a, &b}, now, seconds(1));
  a.Feed(LeaseStop{}, now);
  BOOST_TEST(!a.MaySendOrders(now));
  const TimePoint released = now;
  while (!b.MaySendOrders(now) && now < released + seconds(20)) {
    now = RunFor({&b}, now, kTick);
  }
  BOOST_TEST((now - released >= SettingsOf("a").handover_delay));
  BOOST_TEST((now - released <= MostClaimTime(SettingsOf("a"))));
}

BOOST_AUTO_TEST_CASE(TheSameMachineGoesOnAtOnceAfterARestart) {
  FakeLog log;
  Host before("a", log);
  const TimePoint now = RunFor({&before}, kStart, seconds(1));
  LeaseSettings again = SettingsOf("a");
  again.secret = "another process";
  Host after("a", log);
  after.state = LeaseState(again);
  const TimePoint later = RunFor({&after}, now, seconds(1));
  BOOST_TEST(after.MaySendOrders(later));
}

// Guards against customers that are refused while nobody divides their limits:
// a successor is the holder long before it may give orders.
BOOST_FIXTURE_TEST_CASE(ASuccessorHoldsTheLeaseBeforeItGivesOrders, HeldLease) {
  Host b("b", log);
  now = RunFor({&a, &b}, now, seconds(1));
  const LeaseSettings settings = SettingsOf("b");
  a.is_cut = true;
  const TimePoint cut = now;
  while (b.extensions == 0 && now < cut + seconds(20)) {
    now = RunFor({&a, &b}, now, kTick);
  }
  BOOST_TEST((now - cut <= kLeaseReadInterval + settings.ttl +
                               settings.clock_drift_margin + kClaimJitter +
                               3 * kTick));
  BOOST_TEST(!b.MaySendOrders(now));
}

// Guards against holders that are too weak for a large site: whichever host
// came first took the lease.
BOOST_AUTO_TEST_CASE(AStrongHostTakesTheLeaseBeforeWeakerOnes) {
  FakeLog log;
  std::deque<Host> weak;
  for (int i = 0; i < 30; ++i) {
    weak.emplace_back("weak" + std::to_string(i), log);
    LeaseSettings settings = SettingsOf("weak" + std::to_string(i));
    settings.cores = 0.12;
    weak.back().state = LeaseState(settings);
  }
  LeaseSettings settings = SettingsOf("strong");
  settings.cores = 0.5;
  Host strong("strong", log);
  strong.state = LeaseState(settings);
  Host first("first", log);
  TimePoint now = RunFor({&first}, kStart, seconds(1));
  BOOST_REQUIRE(!log.records.empty());
  log.records.back().max_cores = 0.5;
  std::vector<Host*> others = {&strong};
  std::ranges::transform(weak, std::back_inserter(others),
                         [](Host& host) { return &host; });
  now = RunFor(others, now, seconds(4));
  BOOST_TEST((log.records.back().holder == HostId("strong")));
}

// A process that claims and ends leaves the gap to the next one.
BOOST_FIXTURE_TEST_CASE(ARestartDoesNotShortenTheGapBeforeOrders, HeldLease) {
  Host b("b", log);
  now = RunFor({&a, &b}, now, seconds(1));
  a.is_cut = true;
  TimePoint last_of_a = now;
  while (b.extensions == 0) {
    now = RunFor({&a, &b}, now, kTick);
    last_of_a = a.MaySendOrders(now) ? now : last_of_a;
  }
  LeaseSettings again = SettingsOf("b");
  again.secret = "another process";
  b.state = LeaseState(again);
  while (!b.MaySendOrders(now) && now < last_of_a + seconds(20)) {
    now = RunFor({&a, &b}, now, kTick);
  }
  BOOST_TEST(b.MaySendOrders(now));
  BOOST_TEST((now - last_of_a >= again.handover_delay));
}

BOOST_FIXTURE_TEST_CASE(ARenewalWhoseAnswerIsLostIsFoundInTheLog, HeldLease) {
  a.loses_answers = true;
  now = RunFor({&a}, now, seconds(5));
  BOOST_TEST(a.MaySendOrders(now));
}

BOOST_FIXTURE_TEST_CASE(ALateRenewalCountsFromItsSending, HeldLease) {
  a.delays_appends = true;
  now = RunFor({&a}, now, milliseconds(800));
  BOOST_REQUIRE(!a.delayed.empty());
  const TimePoint sent = now;
  now = RunFor({&a}, now, seconds(3));
  BOOST_TEST(!a.MaySendOrders(now));
  // It takes effect long after it was sent: the right it gave is over.
  log.Append(a.delayed.front());
  a.is_cut = false;
  now = RunFor({&a}, now, milliseconds(300));
  BOOST_TEST((!a.MaySendOrders(now) || now - sent < SettingsOf("a").ttl));
}

BOOST_FIXTURE_TEST_CASE(AHostThatHearsTheHolderLeavesTheLogAlone, HeldLease) {
  Host b("b", log);
  b.Tick(now);
  const int tokens = a.extensions;
  for (int i = 0; i < 20; ++i) {
    b.Feed(HolderHeartbeat{.holder = HostId("a")}, now);
    now = RunFor({&a, &b}, now, milliseconds(500));
  }
  BOOST_TEST(a.MaySendOrders(now));
  BOOST_TEST(a.extensions > tokens);
  BOOST_TEST(!b.MaySendOrders(now));
}

// Random cuts, lost answers, late appends, freezes and stops: never may two
// hosts act at once, and a successor always waits the gap.
BOOST_AUTO_TEST_CASE(NoTwoHostsActWithinTheGapWhateverHappens) {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    std::mt19937 random(seed);
    const auto draw = [&](int most) {
      return std::uniform_int_distribution<int>(0, most - 1)(random);
    };
    FakeLog log;
    std::vector<Host> hosts;
    hosts.reserve(3);
    for (int i = 0; i < 3; ++i) {
      hosts.emplace_back("h" + std::to_string(i), log);
    }
    std::map<std::size_t, TimePoint> frozen_until;
    std::size_t last_actor = hosts.size();
    TimePoint last_act{};
    TimePoint now = kStart;
    for (int step = 0; step < 3000; ++step, now += kTick) {
      const auto chosen = static_cast<std::size_t>(draw(3));
      switch (draw(120)) {
        case 0:
          hosts[chosen].is_cut = !hosts[chosen].is_cut;
          break;
        case 1:
          hosts[chosen].loses_answers = !hosts[chosen].loses_answers;
          break;
        case 2:
          hosts[chosen].delays_appends = !hosts[chosen].delays_appends;
          break;
        case 3:
          frozen_until[chosen] = now + milliseconds(draw(6000));
          break;
        default:
          break;
      }
      for (Host& host : hosts) {
        if (!host.delayed.empty() && draw(50) == 0) {
          log.Append(host.delayed.front());
          host.delayed.pop_front();
        }
      }
      for (std::size_t i = 0; i < hosts.size(); ++i) {
        if (now < frozen_until[i]) {
          continue;
        }
        hosts[i].Tick(now);
        if (!hosts[i].MaySendOrders(now)) {
          continue;
        }
        BOOST_TEST_CONTEXT("seed " << seed << " step " << step) {
          BOOST_REQUIRE((last_actor == i || last_actor == hosts.size() ||
                         now - last_act >= SettingsOf("x").handover_delay));
        }
        last_actor = i;
        last_act = now;
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(ARecordIsReadAsItWasWritten) {
  const LeaseRecord record{
      .holder = HostId("a"),
      .address = "127.0.0.1:1",
      .secret = "s",
      .token = FencingToken(7),
      .is_released = true,
      .host_count = 3,
      .limit_usage = {.listed = {{.customer = CustomerId("c"), .share = 0.5}},
                      .max_unlisted = 0.25}};
  const auto again = DecodeLeaseRecord(EncodeLeaseRecord(record));
  BOOST_REQUIRE(IsOk(again));
  BOOST_TEST((ValueOf(again) == record));
  BOOST_TEST(!IsOk(DecodeLeaseRecord("junk")));
  BOOST_TEST(!IsOk(DecodeLeaseRecord("")));
}

}  // namespace
}  // namespace cicadaloft
