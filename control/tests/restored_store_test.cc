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
using DataCentres = std::set<DataCentreId>;

const DataCentres kNone;
const DataCentres kNorth = {DataCentreId("north")};
const DataCentres kBoth = {DataCentreId("north"), DataCentreId("south")};

/// One host's control.
struct Host {
  ControlState state{
      LeaseSettings{.self = kSelf, .address = "127.0.0.1:1", .secret = "own"},
      seconds(8)};
  TimePoint now{seconds(1000)};
  std::vector<StoreEra> rereads;
  DataCentres evacuated;  ///< As the entry was told last.

  void Feed(const ControlEvent& event) {
    auto step = Decide(std::move(this->state), event, this->now);
    this->state = std::move(step.state);
    for (const ControlEffect& effect : step.effects) {
      if (const auto* reread = std::get_if<RereadTopics>(&effect)) {
        this->rereads.push_back(reread->era);
      } else if (const auto* send = std::get_if<SendToEntry>(&effect)) {
        if (const auto* change =
                std::get_if<EvacuationsChanged>(&send->event)) {
          this->evacuated = change->data_centres;
        }
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

// Guards against traffic that returns to a data centre because the request to
// evacuate it was lost, until the operator has written it again.
BOOST_AUTO_TEST_CASE(LostEvacuationStaysInForceForAWhile) {
  for (const bool is_written_again : {true, false}) {
    Host host;
    host.Feed(EvacuationsRead{.data_centres = kBoth});
    host.Feed(EvacuationsRead{.data_centres = kNorth, .is_restored = true});
    host.RunFor(seconds(1));
    // Read again for some other reason.
    host.Feed(EvacuationsRead{.data_centres = kNorth});
    BOOST_TEST((host.evacuated == kBoth));
    if (is_written_again) {
      host.Feed(EvacuationRequest{.data_centre = DataCentreId("south"),
                                  .is_requested = true});
    }
    host.RunFor(milliseconds(900));
    BOOST_TEST((host.evacuated == kBoth));
    host.RunFor(milliseconds(600));
    BOOST_TEST((host.evacuated == (is_written_again ? kBoth : kNorth)));
  }
}

// Guards against an evacuation that stays although the operator withdraws it
// while it may still be written again.
BOOST_AUTO_TEST_CASE(WithdrawalEndsALostEvacuationAtOnce) {
  Host host;
  host.Feed(EvacuationsRead{.data_centres = kNorth});
  host.Feed(EvacuationsRead{.data_centres = kNone, .is_restored = true});
  host.Feed(EvacuationRequest{.data_centre = DataCentreId("north")});
  BOOST_TEST(host.evacuated.empty());
}

// Guards against a snapshot that brings back withdrawn evacuations and is
// ignored: nothing tells that they were withdrawn.
BOOST_AUTO_TEST_CASE(
    RestoredEvacuationIsInForceUntilItsDeletionIsWrittenAgain) {
  Host host;
  host.Feed(EvacuationsRead{.data_centres = kNone});
  host.Feed(EvacuationsRead{.data_centres = kNorth, .is_restored = true});
  BOOST_TEST((host.evacuated == kNorth));
  host.Feed(EvacuationRequest{.data_centre = DataCentreId("north")});
  BOOST_TEST(host.evacuated.empty());
}

// Guards against evacuations that stay although the topic, which was read again
// for another reason, no longer has them.
BOOST_AUTO_TEST_CASE(EvacuationThatALaterSnapshotLacksEndsAtOnce) {
  Host host;
  host.Feed(EvacuationsRead{.data_centres = kBoth});
  host.Feed(EvacuationsRead{.data_centres = kNorth});
  BOOST_TEST((host.evacuated == kNorth));
}

ActiveConfigurationPtr WithKey(std::uint64_t version, const std::string& key) {
  Configuration configuration =
      MakeSimulatedConfiguration(SharedLimit{}, ColdRateLimit{})->value();
  configuration.version = ConfigurationVersion(version);
  configuration.customers.at(0).keys = {key};
  return std::make_shared<const ActiveConfiguration>(std::move(configuration));
}

/// @return whether the entry refuses a request with the key.
bool IsRefused(EntryState& entry, const std::string& key, TimePoint now) {
  static int number = 0;
  auto step = Decide(
      std::move(entry),
      EntryEvent(MakeArrival(SimulatedRequest{
          .id = RequestId(std::to_string(++number)), .credential = key})),
      now);
  entry = std::move(step.state);
  return std::ranges::any_of(step.effects, [](const EntryEffect& effect) {
    const auto* refusal = std::get_if<Refuse>(&effect);
    return refusal != nullptr &&
           refusal->error.kind == ErrorKind::kUnauthenticated;
  });
}

// Guards against a withdrawn key that is valid again because the store has come
// back from a copy with the version before.
BOOST_AUTO_TEST_CASE(RestoredOlderConfigurationDoesNotReplaceTheOneInForce) {
  Host host;
  EntryState entry(
      EntrySettings{.host = kSelf, .data_centre = DataCentreId("dc")});
  const auto read = [&](const ActiveConfigurationPtr& configuration) {
    auto step =
        Decide(std::move(host.state),
               ControlEvent(ConfigurationRead{configuration}), host.now);
    host.state = std::move(step.state);
    for (const ControlEffect& effect : step.effects) {
      if (const auto* send = std::get_if<SendToEntry>(&effect)) {
        entry = Decide(std::move(entry), send->event, host.now).state;
      }
    }
  };
  const ActiveConfigurationPtr before = WithKey(5, "withdrawn");
  const ActiveConfigurationPtr lost = WithKey(6, "valid");
  read(before);
  BOOST_TEST(!IsRefused(entry, "withdrawn", host.now));
  read(lost);
  read(before);
  for (int i = 0; i < 2; ++i) {
    BOOST_TEST(IsRefused(entry, "withdrawn", host.now));
    BOOST_TEST(!IsRefused(entry, "valid", host.now));
    read(lost);
  }
  read(WithKey(7, "newest"));
  BOOST_TEST(IsRefused(entry, "valid", host.now));
  BOOST_TEST(!IsRefused(entry, "newest", host.now));
}

}  // namespace
}  // namespace cicadaloft
