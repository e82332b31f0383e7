#define BOOST_TEST_MODULE detours
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "detours_simulation.h"

namespace cicadaloft {
namespace {

/// From then on after a cut the users compare.
constexpr Duration kSettlingTime = seconds(3);
constexpr double kMinServedRatio = 2.0 / 3;

constexpr LinkCut kCuts[] = {LinkCut::kHangs, LinkCut::kResets,
                             LinkCut::kRefuses};

std::set<HostId> FirstHosts(std::size_t count) {
  std::set<HostId> hosts;
  for (std::size_t i = 0; i < count; ++i) {
    hosts.insert(HostId("h" + std::to_string(i)));
  }
  return hosts;
}

// Guards against callers that are hardly served because their host is cut off
// from all targets (the users' rule RECOVER), and against detours that go on
// after the cut.
BOOST_AUTO_TEST_CASE(CallersOfHostsThatAreCutOffAreServed) {
  for (const LinkCut cut : kCuts) {
    for (const std::size_t count : {1U, 3U, 5U}) {
      BOOST_TEST_CONTEXT("cut " << static_cast<int>(cut) << " of " << count
                                << " hosts") {
        DetoursSimulation site(6, 8);
        site.SendRequestsFor(seconds(5), 60);
        BOOST_TEST(site.detours == 0U);
        site.CutOff(FirstHosts(count), cut);
        site.SendRequestsFor(kSettlingTime, 60);
        site.ResetCounts();
        site.SendRequestsFor(seconds(6), 60);
        BOOST_TEST_MESSAGE("cut " << static_cast<int>(cut) << " of " << count
                                  << " hosts: served " << site.cut_off.served
                                  << " of " << site.cut_off.sent
                                  << ", at the others " << site.others.served
                                  << " of " << site.others.sent);
        BOOST_TEST(site.cut_off.sent > 20U);
        BOOST_TEST(site.cut_off.Fraction() >=
                   kMinServedRatio * site.others.Fraction());
        BOOST_TEST(site.others.Fraction() > 0.9);
        site.EndCut();
        site.SendRequestsFor(seconds(1), 60);
        site.ResetCounts();
        site.SendRequestsFor(seconds(5), 60);
        BOOST_TEST(site.detours == 0U);
        BOOST_TEST(site.others.Fraction() > 0.9);
      }
    }
  }
}

// Guards against a change for sites on which targets are gone for all hosts.
BOOST_AUTO_TEST_CASE(LossForAllHostsEndsWithTheCut) {
  for (const LinkCut cut : kCuts) {
    DetoursSimulation site(6, 8);
    site.SendRequestsFor(seconds(5), 60);
    site.CutOff(FirstHosts(6), cut);
    site.SendRequestsFor(seconds(5), 60);
    site.EndCut();
    site.SendRequestsFor(seconds(2), 60);
    site.ResetCounts();
    site.SendRequestsFor(seconds(5), 60);
    BOOST_TEST(site.detours == 0U);
    BOOST_TEST(site.others.Fraction() > 0.9);
  }
}

// Guards against a limit that is exceeded, or lost, since requests are admitted
// at one host and charged at another.
BOOST_AUTO_TEST_CASE(LimitHoldsForRequestsOnDetours) {
  HostsSimulation simulation(6);
  simulation.RunFor(seconds(10));
  simulation.SendRequestsFor(kLimitWindow, 3);
  const std::set<HostId> cut_hosts = FirstHosts(3);
  simulation.reaches_target = [&](const HostId& host, const TargetId&) {
    return !cut_hosts.contains(host);
  };
  simulation.run_attempt = [&](const HostId& host, const Dispatch& dispatch) {
    const bool is_cut = cut_hosts.contains(host);
    const AttemptEnded ended{.request = dispatch.request,
                             .attempt = dispatch.attempt,
                             .outcome = is_cut ? AttemptOutcome::kNotSent
                                               : AttemptOutcome::kCompleted,
                             .http_status = is_cut ? 0 : 200};
    simulation.Schedule(
        is_cut ? milliseconds(1) : HostsSimulation::kResponseTime,
        [&simulation, host, ended] { simulation.FeedEntry(host, ended); });
  };
  simulation.SendRequestsFor(kSettlingTime, 3);
  simulation.ResetCounts();
  simulation.SendRequestsFor(seconds(24), 3);
  const double allowed = simulation.limit.MaxCostPerWindow();
  BOOST_TEST_MESSAGE("highest cost of a window "
                     << simulation.sent.HighestCostPerWindow() / allowed
                     << " of the limit, mean "
                     << simulation.sent.Cost() / (3 * allowed));
  BOOST_TEST(simulation.sent.HighestCostPerWindow() <=
             allowed * (1 + simulation.limit.overshoot) +
                 simulation.limit.slack);
  // What the hosts that are cut off hold of the limit is used by nobody: half
  // of the reserved 3/10, and their shares until their usage has left the
  // window.
  BOOST_TEST(simulation.sent.Cost() >= allowed * 3 * 0.7);
}

/// Counts the messages of detours that hosts send.
struct DetourMessages {
  explicit DetourMessages(HostsSimulation& simulation) {
    simulation.on_effect = [this](const HostId& host,
                                  const ControlEffect& effect) {
      if (const auto* send = std::get_if<SendToHolder>(&effect)) {
        this->offers += std::holds_alternative<DetourOffer>(send->message);
      } else if (const auto* list = std::get_if<SendToHost>(&effect)) {
        this->lists += std::holds_alternative<DetourHosts>(list->message);
      } else if (const auto* event = std::get_if<SendToEntry>(&effect)) {
        if (const auto* change =
                std::get_if<DetourHostsChanged>(&event->event)) {
          this->known[host] = change->hosts;
        }
      }
    };
  }

  std::size_t offers = 0;
  std::size_t lists = 0;
  std::map<HostId, std::vector<DetourHost>> known;
};

// Guards against messages without use: on a calm day a host makes an offer each
// 5 s, and no list is sent.
BOOST_AUTO_TEST_CASE(CalmDayNeedsOffersOnly) {
  HostsSimulation simulation(20);
  DetourMessages messages(simulation);
  simulation.RunFor(seconds(20));
  BOOST_TEST(messages.known.size() == 20U);
  messages.offers = 0;
  messages.lists = 0;
  simulation.RunFor(seconds(50));
  BOOST_TEST(messages.lists == 0U);
  BOOST_TEST(messages.offers >= 19U * 9);
  BOOST_TEST(messages.offers <= 19U * 11);
}

// Guards against requests at hosts that are cut off as well, and at hosts that
// shut down.
BOOST_AUTO_TEST_CASE(ListsFollowWhatHostsReach) {
  HostsSimulation simulation(6);
  DetourMessages messages(simulation);
  simulation.RunFor(seconds(20));
  const auto is_helping = [&](const HostId& host) {
    return std::ranges::any_of(messages.known, [&](const auto& entry) {
      return std::ranges::find(entry.second, host, &DetourHost::host) !=
             entry.second.end();
    });
  };
  const HostId cut_off = simulation.Followers().at(0)->id;
  const HostId stopped = simulation.Followers().at(1)->id;
  const HostId holder = simulation.Holder();
  for (const HostId& host : {cut_off, stopped, holder}) {
    BOOST_TEST(is_helping(host));
  }
  simulation.Feed(cut_off, TargetReachabilityChanged{.reaches_targets = false});
  simulation.Feed(holder, TargetReachabilityChanged{.reaches_targets = false});
  simulation.Feed(stopped, ControlStop{});
  simulation.RunFor(milliseconds(300));
  for (const HostId& host : {cut_off, stopped, holder}) {
    BOOST_TEST(!is_helping(host));
  }
  BOOST_TEST(!messages.known.at(cut_off).empty());
  BOOST_TEST(!messages.known.at(holder).empty());
  simulation.Feed(cut_off, TargetReachabilityChanged{.reaches_targets = true});
  simulation.RunFor(milliseconds(300));
  BOOST_TEST(is_helping(cut_off));
}

// Guards against a list that is lost with the lease holder: what hosts know
// stays in use, and the next holder tells them anew.
BOOST_AUTO_TEST_CASE(NextHolderTellsHostsAnew) {
  HostsSimulation simulation(6);
  DetourMessages messages(simulation);
  simulation.RunFor(seconds(20));
  const HostId gone = simulation.Holder();
  messages.known.clear();
  simulation.CrashHolder();
  simulation.RunFor(seconds(1));
  BOOST_TEST(messages.known.empty());
  simulation.RunFor(seconds(20));
  BOOST_TEST(messages.known.size() == 5U);
  for (const auto& [host, list] : messages.known) {
    BOOST_TEST(list.size() == 4U);
    BOOST_TEST(std::ranges::none_of(
        list, [&](const DetourHost& helping) { return helping.host == gone; }));
  }
}

// Guards against a holder of the earlier version that logs a warning for each
// offer: it skips messages that it doesn't know, so it is told once.
BOOST_AUTO_TEST_CASE(HolderOfTheEarlierVersionIsToldOnce) {
  ControlState state(
      LeaseSettings{.self = HostId("b"), .address = "127.0.0.1:1"}, seconds(8),
      kDefaultRelayInterval, std::nullopt, false, "b:1");
  TimePoint now(seconds(1000));
  std::size_t offers = 0;
  const auto feed = [&](const ControlEvent& event) {
    auto step = Decide(std::move(state), event, now);
    state = std::move(step.state);
    for (const ControlEffect& effect : step.effects) {
      const auto* send = std::get_if<SendToHolder>(&effect);
      offers +=
          send != nullptr && std::holds_alternative<DetourOffer>(send->message);
    }
  };
  feed(LeaseEvent(
      LeaseLogRead{.entries = {{.offset = LogOffset(0),
                                .record = LeaseRecord{.holder = HostId("a"),
                                                      .address = "127.0.0.1:2",
                                                      .secret = "other"}}},
                   .next_offset = LogOffset(1)}));
  const auto run = [&](Duration time) {
    for (const TimePoint end = now + time; now < end;) {
      now += kControlTickInterval;
      feed(ControlTick{});
    }
  };
  run(seconds(1));
  BOOST_TEST(offers == 0U);
  feed(PeerLinkChanged{.host = HostId("a"), .is_up = true});
  // A holder of the earlier version answers nothing.
  run(seconds(20));
  BOOST_TEST(offers == 1U);
  feed(PeerReceived{.host = HostId("a"), .message = DetourHosts{}});
  run(seconds(20));
  BOOST_TEST(offers == 5U);
}

// Guards against a host that takes no forwarded requests and is named to
// others.
BOOST_AUTO_TEST_CASE(HostWithoutForwardAddressOffersNothing) {
  ControlState state(
      LeaseSettings{.self = HostId("b"), .address = "127.0.0.1:1"}, seconds(8));
  const TimePoint now(seconds(1000));
  for (const ControlEvent& event :
       {ControlEvent(PeerLinkChanged{.host = HostId("a"), .is_up = true}),
        ControlEvent(TargetReachabilityChanged{.reaches_targets = false}),
        ControlEvent(ControlTick{})}) {
    auto step = Decide(std::move(state), event, now);
    state = std::move(step.state);
    for (const ControlEffect& effect : step.effects) {
      BOOST_TEST(!std::holds_alternative<SendToHolder>(effect));
    }
  }
}

}  // namespace
}  // namespace cicadaloft
