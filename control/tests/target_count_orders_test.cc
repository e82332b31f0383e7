#define BOOST_TEST_MODULE target_count_orders
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <vector>

#include "hosts_simulation.h"

namespace cicadaloft {
namespace {

constexpr std::size_t kHosts[] = {6, 30, 88, 360};
const Duration kHandoverDelay = LeaseSettings{}.handover_delay;
/// One target runs, so that three are ordered.
constexpr Scaling kScaling{.min_targets = 3,
                           .max_targets = 40,
                           .boot_time = seconds(8)};

struct SentOrder {
  TimePoint at{};
  HostId host;
  OrderTargetCount call;
};

/// Hosts of a service with scaling, and a platform that answers all orders in
/// the same way but boots no target.
class ScaledHosts {
 public:
  explicit ScaledHosts(std::size_t hosts,
                       const std::optional<Scaling>& scaling = kScaling)
      : simulation(hosts, {}, scaling) {
    this->simulation.order_targets = [this](const HostId& host,
                                            const OrderTargetCount& order) {
      this->orders.push_back(
          {.at = this->simulation.Now(), .host = host, .call = order});
      this->simulation.Schedule(milliseconds(50), [this, host, order] {
        this->simulation.Feed(
            host,
            TargetCountOrderEnded{.call = order, .outcome = this->outcome});
      });
    };
  }

  /// Checks the platform's rules on calls of several holders.
  void CheckOrders() const {
    for (std::size_t i = 0; i < this->orders.size(); ++i) {
      const SentOrder& order = this->orders[i];
      BOOST_TEST((order.at < order.call.valid_until));
      // A release may follow the decision at once.
      BOOST_TEST((order.call.valid_until <= order.at + kMaxDutySendDelay));
      if (i == 0) {
        continue;
      }
      const SentOrder& before = this->orders[i - 1];
      BOOST_TEST((order.call.token >= before.call.token));
      if (order.host != before.host) {
        BOOST_TEST((order.call.token > before.call.token));
        BOOST_TEST((order.at - before.at >= kHandoverDelay));
      }
    }
  }

  HostsSimulation simulation;
  std::vector<SentOrder> orders;
  DutyCallOutcome outcome = DutyCallOutcome::kAccepted;
};

// Guards against a holder whose decisions nobody executes, and against orders
// that are repeated though they are in force.
BOOST_AUTO_TEST_CASE(HolderOrdersOnceWhatIsNeeded) {
  for (const std::size_t hosts : kHosts) {
    ScaledHosts scaled(hosts);
    scaled.simulation.RunFor(seconds(40));
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      BOOST_REQUIRE(scaled.orders.size() == 1U);
      BOOST_TEST((scaled.orders[0].host == scaled.simulation.Holder()));
      BOOST_TEST(scaled.orders[0].call.count == 3U);
      scaled.CheckOrders();
    }
  }
}

// Guards against two hosts that order within the time that the platform
// demands between holders, with the holder killed or frozen.
BOOST_AUTO_TEST_CASE(HoldersNeverOrderCloseToEachOther) {
  for (const std::size_t hosts : kHosts) {
    for (const bool is_killed : {true, false}) {
      ScaledHosts scaled(hosts);
      // Calls without an answer are repeated all the time.
      scaled.outcome = DutyCallOutcome::kNoAnswer;
      for (int change = 0; change < 3; ++change) {
        scaled.simulation.RunFor(seconds(40));
        if (is_killed) {
          scaled.simulation.CrashHolder();
        } else {
          scaled.simulation.FreezeHolder(seconds(9));
        }
      }
      scaled.simulation.RunFor(seconds(40));
      BOOST_TEST_CONTEXT(hosts << " hosts, killed: " << is_killed) {
        BOOST_TEST(scaled.orders.size() > 8U);
        BOOST_TEST((scaled.orders.front().host != scaled.orders.back().host));
        scaled.CheckOrders();
      }
    }
  }
}

// Guards against a holder that is cut off from the log and still orders.
BOOST_AUTO_TEST_CASE(HolderWithoutLeaseOrdersNothing) {
  ScaledHosts scaled(30);
  scaled.outcome = DutyCallOutcome::kRefused;
  scaled.simulation.RunFor(seconds(40));
  scaled.simulation.CutAllFromLog();
  scaled.simulation.RunFor(seconds(3));
  scaled.orders.clear();
  scaled.simulation.RunFor(seconds(60));
  BOOST_TEST(scaled.orders.empty());
}

// Guards against a successor that orders for hosts that it can't hear.
BOOST_AUTO_TEST_CASE(SuccessorOrdersNothingForHostsWithoutLinks) {
  ScaledHosts scaled(30);
  scaled.simulation.RunFor(seconds(5));
  scaled.simulation.CrashHolder();
  scaled.simulation.CutLinks(0.6);
  scaled.simulation.RunFor(seconds(30));
  BOOST_TEST(scaled.orders.empty());
}

// Guards against messages that hosts of an earlier version don't know.
BOOST_AUTO_TEST_CASE(ServiceWithoutScalingChangesNothing) {
  ScaledHosts scaled(30, std::nullopt);
  scaled.simulation.RunFor(seconds(40));
  BOOST_TEST(scaled.orders.empty());
}

/// @return the load reports that a host sends to the holder for this usage.
std::size_t LoadReportsFor(bool orders_target_counts,
                           const std::vector<ServiceLoad>& loads) {
  ControlState state(LeaseSettings{.self = HostId("h")}, seconds(8),
                     kDefaultRelayInterval, std::nullopt, orders_target_counts);
  const auto step =
      Decide(std::move(state), UsageReport{.service_loads = loads},
             TimePoint(seconds(1000)));
  return static_cast<std::size_t>(
      std::ranges::count_if(step.effects, [](const ControlEffect& effect) {
        const auto* send = std::get_if<SendToHolder>(&effect);
        return send != nullptr &&
               std::holds_alternative<ServiceLoadReport>(send->message);
      }));
}

BOOST_AUTO_TEST_CASE(LoadIsReportedOnlyWhereTargetsAreOrdered) {
  const std::vector<ServiceLoad> loads = {{.service = ServiceId("s")}};
  BOOST_TEST(LoadReportsFor(true, loads) == 1U);
  BOOST_TEST(LoadReportsFor(false, loads) == 0U);
  BOOST_TEST(LoadReportsFor(true, {}) == 0U);
}

}  // namespace
}  // namespace cicadaloft
