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
                       .secret = "secret of " + host,
                       .is_first_start = true};
}

/// The lease's log in memory.
struct FakeLog {
  std::vector<LeaseRecord> records;

  LeaseLogRead Read(LogOffset from) const {
    std::vector<LeaseLogEntry> entries;
    for (std::uint64_t i = from.value(); i < this->records.size(); ++i) {
      entries.push_back({.offset = LogOffset(i), .record = this->records[i]});
    }
    return LeaseLogRead{.entries = std::move(entries),
                        .next_offset = LogOffset(this->records.size())};
  }

  bool Append(const AppendLeaseRecord& append) {
    if (append.expected_end.value() != this->records.size()) {
      return false;
    }
    this->records.push_back(append.record);
    return true;
  }
};

/// One host on the log. Its calls are answered immediately unless a fault is
/// set.
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
          events.push_back(this->is_cut_off ? LeaseEvent(LeaseReadFailed{})
                                            : this->log->Read(read->from));
        } else if (const auto* append =
                       std::get_if<AppendLeaseRecord>(&effect)) {
          events.push_back(this->Execute(*append, now));
        } else if (std::holds_alternative<LeaseExtended>(effect)) {
          ++this->extension_count;
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
  bool is_cut_off = false;
  /// Appends are written, but their responses are lost.
  bool loses_responses = false;
  /// Appends that reach the log later.
  std::deque<AppendLeaseRecord> delayed_appends;
  bool is_delaying_appends = false;
  int extension_count = 0;

 private:
  LeaseEvent Execute(const AppendLeaseRecord& append, TimePoint now) {
    return LeaseAppendEnded{.outcome = this->TryAppend(append),
                            .offset = append.expected_end,
                            .sent_at = now};
  }

  LeaseAppendOutcome TryAppend(const AppendLeaseRecord& append) {
    if (this->is_cut_off) {
      return LeaseAppendOutcome::kRefused;
    }
    if (this->is_delaying_appends) {
      this->delayed_appends.push_back(append);
      return LeaseAppendOutcome::kUnknown;
    }
    if (!this->log->Append(append)) {
      return LeaseAppendOutcome::kConflict;
    }
    return this->loses_responses ? LeaseAppendOutcome::kUnknown
                                 : LeaseAppendOutcome::kWritten;
  }
};

// Upper bound of the time from the expiry of a lease until another host may
// send orders: it sees the last record at its next read, waits, and claims.
Duration MaxTakeoverTime(const LeaseSettings& settings) {
  return kLeaseReadInterval + settings.handover_delay +
         settings.clock_drift_margin + kClaimJitter + 2 * kTick;
}

// Ticks the hosts one after the other.
TimePoint RunFor(std::vector<Host*> hosts, TimePoint from, Duration time) {
  TimePoint now = from;
  for (; now < from + time; now += kTick) {
    for (Host* host : hosts) {
      host->Tick(now);
    }
  }
  return now;
}

// Host "a" has held the lease for up to 1 s.
struct HeldLease {
  FakeLog log;
  Host a{"a", log};
  TimePoint now = RunFor({&a}, kStart, seconds(1));
};

BOOST_AUTO_TEST_CASE(FreeLeaseIsClaimedByOneHostWithinOneSecond) {
  FakeLog log;
  Host a("a", log);
  Host b("b", log);
  const TimePoint now = RunFor({&a, &b}, kStart, seconds(1));
  BOOST_TEST(a.MaySendOrders(now) != b.MaySendOrders(now));
}

BOOST_FIXTURE_TEST_CASE(IsolatedHolderLosesLeaseBeforeSuccessorSendsOrders,
                        HeldLease) {
  Host b("b", log);
  BOOST_REQUIRE(a.MaySendOrders(now));
  now = RunFor({&a, &b}, now, seconds(1));
  a.is_cut_off = true;
  const TimePoint cut_at = now;
  TimePoint last_order_of_a = now;
  while (!b.MaySendOrders(now) && now < cut_at + seconds(20)) {
    last_order_of_a = a.MaySendOrders(now) ? now : last_order_of_a;
    now = RunFor({&a, &b}, now, kTick);
  }
  const LeaseSettings settings = SettingsOf("a");
  BOOST_TEST(b.MaySendOrders(now));
  BOOST_TEST((now - last_order_of_a >= settings.handover_delay));
  BOOST_TEST((now - cut_at <= settings.ttl + MaxTakeoverTime(settings)));
}

BOOST_FIXTURE_TEST_CASE(SuccessorOfReleasedLeaseSendsOrdersAfterHandoverDelay,
                        HeldLease) {
  Host b("b", log);
  now = RunFor({&a, &b}, now, seconds(1));
  a.Feed(LeaseStop{}, now);
  BOOST_TEST(!a.MaySendOrders(now));
  const TimePoint released_at = now;
  while (!b.MaySendOrders(now) && now < released_at + seconds(20)) {
    now = RunFor({&b}, now, kTick);
  }
  BOOST_TEST((now - released_at >= SettingsOf("a").handover_delay));
  BOOST_TEST((now - released_at <= MaxTakeoverTime(SettingsOf("a"))));
}

/// What becomes of the record that releases the lease.
enum class ReleaseFault {
  kNone,
  kAnswerLost,
  kWrittenLate,
  kAnsweredTwice,
  kStoreDown,
  kHostPaused,
};

void ApplyFault(Host& host, ReleaseFault fault) {
  host.loses_responses = fault == ReleaseFault::kAnswerLost;
  host.is_delaying_appends = fault == ReleaseFault::kWrittenLate;
  host.is_cut_off = fault == ReleaseFault::kStoreDown;
}

// Guards against two hosts that send orders in the same handover delay: the
// answer to the record that releases the lease was lost, its writer went on
// sending orders, and its successor counted the delay from the record.
BOOST_AUTO_TEST_CASE(HolderThatHasSentTheReleaseSendsNoOrders) {
  constexpr Duration kWriteDelay = milliseconds(500);
  for (const ReleaseFault fault :
       {ReleaseFault::kNone, ReleaseFault::kAnswerLost,
        ReleaseFault::kWrittenLate, ReleaseFault::kAnsweredTwice,
        ReleaseFault::kStoreDown, ReleaseFault::kHostPaused}) {
    BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault)) {
      HeldLease held;
      Host& a = held.a;
      Host b("b", held.log);
      TimePoint now = RunFor({&a, &b}, held.now, seconds(1));
      BOOST_REQUIRE(a.MaySendOrders(now));
      ApplyFault(a, fault);
      a.Feed(LeaseStop{}, now);
      const TimePoint stopped_at = now;
      while (!b.MaySendOrders(now) && now < stopped_at + seconds(20)) {
        BOOST_REQUIRE(!a.MaySendOrders(now));
        const bool is_late = now >= stopped_at + kWriteDelay;
        if (is_late && !a.delayed_appends.empty()) {
          held.log.Append(a.delayed_appends.front());
          a.delayed_appends.pop_front();
        }
        if (is_late && fault == ReleaseFault::kAnsweredTwice) {
          a.Feed(LeaseAppendEnded{.outcome = LeaseAppendOutcome::kWritten,
                                  .sent_at = stopped_at},
                 now);
        }
        if (is_late || fault != ReleaseFault::kHostPaused) {
          a.Tick(now);
        }
        now = RunFor({&b}, now, kTick);
      }
      const LeaseSettings settings = SettingsOf("a");
      BOOST_TEST(!a.MaySendOrders(now));
      BOOST_TEST((now - stopped_at >= settings.handover_delay));
      const Duration unreleased =
          fault == ReleaseFault::kStoreDown     ? settings.ttl
          : fault == ReleaseFault::kWrittenLate ? kWriteDelay + kTick
                                                : Duration::zero();
      BOOST_TEST((now - stopped_at <= unreleased + MaxTakeoverTime(settings)));
    }
  }
}

BOOST_AUTO_TEST_CASE(RestartedHolderMaySendOrdersWithinOneSecond) {
  FakeLog log;
  Host before("a", log);
  const TimePoint now = RunFor({&before}, kStart, seconds(1));
  LeaseSettings restarted = SettingsOf("a");
  restarted.secret = "another process";
  Host after("a", log);
  after.state = LeaseState(restarted);
  const TimePoint later = RunFor({&after}, now, seconds(1));
  BOOST_TEST(after.MaySendOrders(later));
}

// Guards against refusals of customers while no host divides their limits: a
// successor must hold the lease long before it may send orders.
BOOST_FIXTURE_TEST_CASE(SuccessorHoldsLeaseBeforeItMaySendOrders, HeldLease) {
  Host b("b", log);
  now = RunFor({&a, &b}, now, seconds(1));
  const LeaseSettings settings = SettingsOf("b");
  a.is_cut_off = true;
  const TimePoint cut_at = now;
  while (b.extension_count == 0 && now < cut_at + seconds(20)) {
    now = RunFor({&a, &b}, now, kTick);
  }
  BOOST_TEST((now - cut_at <= kLeaseReadInterval + settings.ttl +
                                  settings.clock_drift_margin + kClaimJitter +
                                  3 * kTick));
  BOOST_TEST(!b.MaySendOrders(now));
}

// Guards against holders with too few cores for a large site: the first host to
// claim took the lease.
BOOST_AUTO_TEST_CASE(HostWithMoreCoresClaimsLeaseFirst) {
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

// The delay must also pass if the process that claimed the lease restarts.
BOOST_FIXTURE_TEST_CASE(RestartDoesNotShortenHandoverDelay, HeldLease) {
  Host b("b", log);
  now = RunFor({&a, &b}, now, seconds(1));
  a.is_cut_off = true;
  TimePoint last_order_of_a = now;
  while (b.extension_count == 0) {
    now = RunFor({&a, &b}, now, kTick);
    last_order_of_a = a.MaySendOrders(now) ? now : last_order_of_a;
  }
  LeaseSettings restarted = SettingsOf("b");
  restarted.secret = "another process";
  b.state = LeaseState(restarted);
  while (!b.MaySendOrders(now) && now < last_order_of_a + seconds(20)) {
    now = RunFor({&a, &b}, now, kTick);
  }
  BOOST_TEST(b.MaySendOrders(now));
  BOOST_TEST((now - last_order_of_a >= restarted.handover_delay));
}

BOOST_FIXTURE_TEST_CASE(RenewalWithLostResponseIsFoundInLog, HeldLease) {
  a.loses_responses = true;
  now = RunFor({&a}, now, seconds(5));
  BOOST_TEST(a.MaySendOrders(now));
}

BOOST_FIXTURE_TEST_CASE(LateRenewalCountsFromItsSendTime, HeldLease) {
  a.is_delaying_appends = true;
  now = RunFor({&a}, now, milliseconds(800));
  BOOST_REQUIRE(!a.delayed_appends.empty());
  const TimePoint sent_at = now;
  now = RunFor({&a}, now, seconds(3));
  BOOST_TEST(!a.MaySendOrders(now));
  // The append is written long after it was sent: its lease has expired by
  // then.
  log.Append(a.delayed_appends.front());
  a.is_cut_off = false;
  now = RunFor({&a}, now, milliseconds(300));
  BOOST_TEST((!a.MaySendOrders(now) || now - sent_at < SettingsOf("a").ttl));
}

BOOST_FIXTURE_TEST_CASE(HostWithHeartbeatsFromHolderDoesNotClaim, HeldLease) {
  Host b("b", log);
  b.Tick(now);
  const int extensions_before = a.extension_count;
  for (int i = 0; i < 20; ++i) {
    b.Feed(HolderHeartbeat{.holder = HostId("a")}, now);
    now = RunFor({&a, &b}, now, milliseconds(500));
  }
  BOOST_TEST(a.MaySendOrders(now));
  BOOST_TEST(a.extension_count > extensions_before);
  BOOST_TEST(!b.MaySendOrders(now));
}

// Random partitions, lost responses, late appends and frozen hosts: two hosts
// may never send orders at the same time, and a successor always waits for the
// handover delay.
BOOST_AUTO_TEST_CASE(NoTwoHostsSendOrdersWithinHandoverDelayUnderFaults) {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    std::mt19937 random(seed);
    const auto draw = [&](int bound) {
      return std::uniform_int_distribution<int>(0, bound - 1)(random);
    };
    FakeLog log;
    std::vector<Host> hosts;
    hosts.reserve(3);
    for (int i = 0; i < 3; ++i) {
      hosts.emplace_back("h" + std::to_string(i), log);
    }
    std::map<std::size_t, TimePoint> frozen_until;
    std::size_t last_sender = hosts.size();
    TimePoint last_order_at{};
    TimePoint now = kStart;
    for (int step = 0; step < 3000; ++step, now += kTick) {
      const auto chosen = static_cast<std::size_t>(draw(3));
      switch (draw(120)) {
        case 0:
          hosts[chosen].is_cut_off = !hosts[chosen].is_cut_off;
          break;
        case 1:
          hosts[chosen].loses_responses = !hosts[chosen].loses_responses;
          break;
        case 2:
          hosts[chosen].is_delaying_appends =
              !hosts[chosen].is_delaying_appends;
          break;
        case 3:
          frozen_until[chosen] = now + milliseconds(draw(6000));
          break;
        default:
          break;
      }
      for (Host& host : hosts) {
        if (!host.delayed_appends.empty() && draw(50) == 0) {
          log.Append(host.delayed_appends.front());
          host.delayed_appends.pop_front();
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
          BOOST_REQUIRE(
              (last_sender == i || last_sender == hosts.size() ||
               now - last_order_at >= SettingsOf("x").handover_delay));
        }
        last_sender = i;
        last_order_at = now;
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(LeaseRecordRoundTripsThroughCodec) {
  const LeaseRecord record{
      .holder = HostId("a"),
      .address = "127.0.0.1:1",
      .secret = "s",
      .token = FencingToken(7),
      .is_released = true,
      .host_count = 3,
      .limit_usage = {.listed = {{.customer = CustomerId("c"), .share = 0.5}},
                      .max_unlisted = 0.25}};
  const auto decoded = DecodeLeaseRecord(EncodeLeaseRecord(record));
  BOOST_REQUIRE(IsOk(decoded));
  BOOST_TEST((ValueOf(decoded) == record));
  BOOST_TEST(!IsOk(DecodeLeaseRecord("junk")));
  BOOST_TEST(!IsOk(DecodeLeaseRecord("")));
}

}  // namespace
}  // namespace cicadaloft
