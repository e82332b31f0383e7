#define BOOST_TEST_MODULE helping_hosts
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <string>

#include "cicadaloft/detour/helping_hosts.h"

namespace cicadaloft {
namespace {

const TimePoint kNow(std::chrono::seconds(1000));

DetourHost MakeHost(const std::string& name) {
  return DetourHost{.host = HostId(name), .address = name + ":1"};
}

// Guards against one helping host that gets all requests.
BOOST_AUTO_TEST_CASE(RequestsAreSpreadByThoseInFlight) {
  HelpingHosts hosts;
  hosts.Replace({MakeHost("a"), MakeHost("b"), MakeHost("c")});
  std::map<std::string, int> sent;
  for (int i = 0; i < 30; ++i) {
    const auto host = hosts.Choose({}, kNow);
    BOOST_REQUIRE(host.has_value());
    hosts.OnSent(host->host);
    ++sent[host->host.value()];
    // Host "b" responds at once.
    if (host->host == HostId("b")) {
      hosts.OnEnded(host->host);
    }
  }
  BOOST_TEST(sent["a"] == sent["c"]);
  BOOST_TEST(sent["b"] > sent["a"]);
}

// Guards against requests at a host of an earlier version, which may decide by
// an older configuration, while another one takes them.
BOOST_AUTO_TEST_CASE(HostsThatStateTheirConfigurationGoFirst) {
  HelpingHosts hosts;
  hosts.Replace({MakeHost("a"), MakeHost("b")});
  hosts.OnAnswer(HostId("a"), false);
  for (int i = 0; i < 3; ++i) {
    const auto host = hosts.Choose({}, kNow);
    BOOST_REQUIRE(host.has_value());
    BOOST_TEST((host->host == HostId("b")));
    hosts.OnSent(host->host);
  }
  BOOST_TEST((hosts.Choose({HostId("b")}, kNow)->host == HostId("a")));
  hosts.OnAnswer(HostId("a"), true);
  BOOST_TEST((hosts.Choose({}, kNow)->host == HostId("a")));
}

// Guards against requests at a host that has just refused, or is gone.
BOOST_AUTO_TEST_CASE(HostThatFailedIsLeftOutForAWhile) {
  HelpingHosts hosts;
  hosts.Replace({MakeHost("a"), MakeHost("b")});
  hosts.OnFailure(HostId("a"), kNow);
  BOOST_TEST(hosts.Choose({}, kNow)->host.value() == "b");
  BOOST_TEST(!hosts.Choose({HostId("b")}, kNow).has_value());
  BOOST_TEST(!hosts.IsEmpty());
  const TimePoint later = kNow + HelpingHosts::kFailureBackoff;
  BOOST_TEST(hosts.Choose({HostId("b")}, later)->host.value() == "a");
}

// Guards against requests at hosts that the lease holder no longer names.
BOOST_AUTO_TEST_CASE(ListReplacesTheEarlierOne) {
  HelpingHosts hosts;
  hosts.Replace({MakeHost("a")});
  hosts.OnSent(HostId("a"));
  hosts.Replace({MakeHost("b")});
  BOOST_TEST(hosts.Choose({}, kNow)->host.value() == "b");
  hosts.OnEnded(HostId("a"));
  hosts.Replace({});
  BOOST_TEST(hosts.IsEmpty());
  BOOST_TEST(!hosts.Choose({}, kNow).has_value());
}

// Guards against a host that knows nobody who helps after a change of the lease
// holder: the new one lists no host that doesn't reach the store.
BOOST_AUTO_TEST_CASE(HostOfAnEarlierListHelpsOnceItHasAnswered) {
  HelpingHosts hosts;
  hosts.Replace({MakeHost("a"), MakeHost("b"), MakeHost("c")});
  hosts.Replace({MakeHost("c")});
  BOOST_TEST(hosts.UnconfirmedHosts(kNow).size() == 2U);
  BOOST_TEST(hosts.size() == 1U);
  hosts.OnCompared(HostId("a"), true, kNow);
  hosts.Forget(HostId("b"));
  BOOST_TEST(hosts.UnconfirmedHosts(kNow).empty());
  BOOST_TEST(hosts.size() == 2U);
  // Those that are listed go first.
  BOOST_TEST(hosts.Choose({}, kNow)->host.value() == "c");
  BOOST_TEST(hosts.Choose({HostId("c")}, kNow)->host.value() == "a");
  hosts.Replace({});
  BOOST_TEST(!hosts.IsEmpty());
  BOOST_TEST(hosts.Choose({}, kNow)->host.value() == "a");
  // It is gone.
  hosts.OnUnreachable(HostId("a"), kNow);
  BOOST_TEST(hosts.IsEmpty());
  hosts.Replace({MakeHost("a")});
  hosts.OnUnreachable(HostId("a"), kNow);
  BOOST_TEST(!hosts.IsEmpty());
}

// Guards against requests at hosts that reach no target either, in place of the
// one that does.
BOOST_AUTO_TEST_CASE(HostOfAnEarlierListHelpsOnlyIfItReachesTargets) {
  HelpingHosts hosts;
  hosts.Replace({MakeHost("a"), MakeHost("b")});
  hosts.Replace({MakeHost("b")});
  hosts.OnCompared(HostId("a"), false, kNow);
  BOOST_TEST(hosts.size() == 1U);
  BOOST_TEST(!hosts.Choose({HostId("b")}, kNow).has_value());
  // It is asked again, but not at once.
  BOOST_TEST(hosts.UnconfirmedHosts(kNow).empty());
  const TimePoint later = kNow + HelpingHosts::kFailureBackoff;
  BOOST_TEST(hosts.UnconfirmedHosts(later).size() == 1U);
  hosts.OnCompared(HostId("a"), true, later);
  BOOST_TEST(hosts.Choose({HostId("b")}, later)->host.value() == "a");
  // One that refuses has to say again that it reaches targets.
  hosts.OnFailure(HostId("a"), later);
  BOOST_TEST(!hosts.Choose({HostId("b")}, later).has_value());
  BOOST_TEST(
      hosts.UnconfirmedHosts(later + HelpingHosts::kFailureBackoff).size() ==
      1U);
}

// Guards against a list of hosts that grows with those that ever were.
BOOST_AUTO_TEST_CASE(NumberOfHostsOfEarlierListsIsBounded) {
  HelpingHosts hosts;
  for (int i = 0; i < 30; ++i) {
    hosts.Replace({MakeHost("h" + std::to_string(i))});
  }
  const auto kept = hosts.UnconfirmedHosts(kNow);
  BOOST_REQUIRE(kept.size() == HelpingHosts::kMaxUnlistedHosts);
  BOOST_TEST(kept.front().host.value() == "h28");
}

}  // namespace
}  // namespace cicadaloft
