#define BOOST_TEST_MODULE restored_store
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cicadaloft/control/control_state.h"
#include "hosts_simulation.h"

namespace cicadaloft {
namespace {

const HostId kSelf("b");
const HostId kHolder("a");

/// One host's control.
struct Host {
  ControlState state{
      LeaseSettings{.self = kSelf, .address = "127.0.0.1:1", .secret = "own"},
      seconds(8)};
  TimePoint now{seconds(1000)};
  std::vector<StoreEra> rereads;

  void Feed(const ControlEvent& event) {
    auto step = Decide(std::move(this->state), event, this->now);
    this->state = std::move(step.state);
    for (const ControlEffect& effect : step.effects) {
      if (const auto* reread = std::get_if<RereadTopics>(&effect)) {
        this->rereads.push_back(reread->era);
      }
    }
  }

  void RunFor(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += milliseconds(100);
      this->Feed(ControlTick{});
    }
  }

  /// Connects to the holder, which relays.
  void FollowHolder() {
    const LeaseRecord record{.holder = kHolder,
                             .address = "127.0.0.1:2",
                             .secret = "other",
                             .host_count = 2};
    this->Feed(LeaseEvent(
        LeaseLogRead{.entries = {{.offset = LogOffset(0), .record = record}},
                     .next_offset = LogOffset(1)}));
    this->Feed(PeerLinkChanged{.host = kHolder, .is_up = true});
    this->RunFor(milliseconds(100));
    this->Feed(PeerReceived{
        .host = kHolder,
        .message = RelayWelcome{.request_number = 1,
                                .holder_time = this->now.time_since_epoch()}});
  }

  void Relay(std::uint64_t era) {
    this->Feed(PeerReceived{
        .host = kHolder,
        .message = StoreRelay{
            .topics = {RelayedTopic{.topic = "t",
                                    .complete_at = this->now.time_since_epoch(),
                                    .era = StoreEra(era)}}}});
  }
};

// Guards against a follower that waits for the end of its long poll, up to
// 3.5 s, although another call of this host has stated the new era.
BOOST_AUTO_TEST_CASE(AnyAnswerOfANewEraMakesAllTopicsBeReadAgain) {
  Host host;
  for (const std::uint64_t era : {4U, 4U, 5U, 5U, 4U, 7U}) {
    host.Feed(StoreEraSeen{.era = StoreEra(era)});
  }
  BOOST_TEST((host.rereads == std::vector{StoreEra(5), StoreEra(7)}));
}

// Guards against a host that learns of the new era only from its own calls,
// and against a snapshot for each relay.
BOOST_AUTO_TEST_CASE(RelayOfANewEraMakesAllTopicsBeReadAgain) {
  Host host;
  host.FollowHolder();
  host.Relay(4);
  BOOST_TEST(host.rereads.empty());
  host.Feed(StoreEraSeen{.era = StoreEra(4)});
  for (const std::uint64_t era : {4U, 5U, 5U, 4U}) {
    host.Relay(era);
  }
  host.Feed(StoreEraSeen{.era = StoreEra(5)});
  BOOST_TEST((host.rereads == std::vector{StoreEra(5)}));
}

}  // namespace
}  // namespace cicadaloft
