#define BOOST_TEST_MODULE control
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>
#include <variant>

#include "cicadaloft/control/control_state.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const HostId kSelf("b");
const CustomerId kCustomer("c");

/// One host's control with a log that takes each append.
struct Host {
  ControlState state{
      LeaseSettings{.self = kSelf, .address = "127.0.0.1:1", .secret = "own"},
      seconds(8)};
  TimePoint now{seconds(1000)};
  std::optional<SharesGranted> granted;  ///< To host "d", the newest one.

  void Feed(const ControlEvent& event) {
    auto step = Decide(std::move(this->state), event, this->now);
    this->state = std::move(step.state);
    for (const ControlEffect& effect : step.effects) {
      if (const auto* append = std::get_if<AppendLease>(&effect)) {
        this->Feed(
            LeaseEvent(LeaseAppendEnded{.outcome = LeaseAppendOutcome::kWritten,
                                        .offset = append->at,
                                        .sent_at = this->now}));
      } else if (const auto* read = std::get_if<ReadLeaseLog>(&effect)) {
        this->Feed(LeaseEvent(LeaseLogRead{.records = {}, .end = read->from}));
      } else if (const auto* tell = std::get_if<TellHost>(&effect)) {
        if (const auto* shares = std::get_if<SharesGranted>(&tell->message)) {
          this->granted = *shares;
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
};

// Found by scale-2 of the second site, seed 363063461589: the record that began
// the last tenure knew one host, so that a new holder granted the shares of
// those it could not reach.
BOOST_AUTO_TEST_CASE(ANewHolderReckonsWithTheHostsOfTheNewestRecord) {
  Host host;
  host.Feed(ConfigurationRead{
      .configuration =
          std::make_shared<const ActiveConfiguration>(Configuration{
              .version = ConfigurationVersion(1),
              .customers = {{.id = kCustomer, .rate_per_second = 100}}})});
  LeaseRecord record{.holder = HostId("a"),
                     .address = "127.0.0.1:2",
                     .secret = "other",
                     .hosts = 1};
  const PlacedLeaseRecord begins{.offset = LogOffset(0), .record = record};
  record.hosts = 6;
  const PlacedLeaseRecord renewed{.offset = LogOffset(1), .record = record};
  host.Feed(LeaseEvent(
      LeaseLogRead{.records = {begins, renewed}, .end = LogOffset(2)}));
  host.RunFor(seconds(7));
  host.Feed(PeerReceived{
      .host = HostId("d"),
      .message =
          DemandReported{.host = HostId("d"),
                         .demands = {{.customer = kCustomer, .cost = 1000}}}});
  host.RunFor(seconds(2));
  BOOST_REQUIRE(host.granted.has_value());
  // Two of six hosts have told.
  BOOST_TEST(host.granted->customers.at(0).share <=
             (1 - kReservedPart) * 2 / 6 + 1e-9);
}

}  // namespace
}  // namespace cicadaloft
