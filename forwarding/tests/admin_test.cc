#define BOOST_TEST_MODULE admin
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "cicadaloft/forwarding/admin_listener.h"
#include "cicadaloft/forwarding/with_timeout.h"
#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using boost::asio::awaitable;
using boost::asio::ip::tcp;
using nlohmann::json;

struct AdminFixture : EntryFixture {
  AdminFixture()
      : admin(std::make_shared<tcp::acceptor>(
            this->context,
            tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))) {
    boost::asio::co_spawn(
        this->context,
        RunAdminListener(this->admin, AdminSettings{.host = "h1"}, this->inbox),
        boost::asio::detached);
  }

  awaitable<TestCaller::Response> Get(std::string path) {
    auto caller =
        co_await this->ConnectCaller(this->admin->local_endpoint().port());
    co_await caller.Write("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
    co_return co_await caller.Read();
  }

  void RequestDrain(bool is_forced = false) {
    Post(*this->inbox, DrainRequest{.is_forced = is_forced});
  }
  void Stop() { Post(*this->inbox, EntryEvent(EntryStopRequested{})); }

  std::shared_ptr<tcp::acceptor> admin;
};

BOOST_AUTO_TEST_CASE(ExplainReturnsTheDecisionsOnARequest) {
  AdminFixture entry;
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    const std::string id((co_await caller.Read())["X-Request-Id"]);
    const auto response = co_await entry.Get("/v1/explain/" + id);
    const json decisions = json::parse(response.body())["decisions"];
    BOOST_REQUIRE(decisions.size() == 1);
    BOOST_TEST(decisions[0]["reason"] == "route.direct");
    BOOST_TEST(decisions[0]["request"] == id);
    BOOST_TEST(decisions[0]["target"] == "t1");
    BOOST_TEST(decisions[0]["time"].get<std::string>().ends_with('Z'));
    const auto none = co_await entry.Get("/v1/explain/other");
    BOOST_TEST(json::parse(none.body())["decisions"].empty());
  });
}

BOOST_AUTO_TEST_CASE(MetricsCountResponsesRefusalsAndDecisions) {
  AdminFixture entry;
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    co_await caller.Read();
    co_await caller.Write(ServiceGet("/", "X-Request-Class: urgent\r\n"));
    co_await caller.Read();
    const std::string text = (co_await entry.Get("/metrics")).body();
    for (const std::string_view line :
         {"answers_total{status=\"200\"} 1",
          "refusals_total{kind=\"malformed_request\"} 1",
          "decisions_total{reason=\"route.direct\"} 1",
          "answer_seconds_count 1"}) {
      BOOST_TEST_CONTEXT(line) {
        BOOST_TEST(text.find(line) != std::string::npos);
      }
    }
  });
}

// Guards against calls of the store, which the platform charges, that an
// operator can't tell apart.
BOOST_AUTO_TEST_CASE(MetricsCountStoreCallsByKind) {
  AdminFixture entry;
  entry.Run([&]() -> awaitable<void> {
    const StoreCallEnded refused{.call = StoreCallKind::kAppend,
                                 .topic = "lease",
                                 .outcome = StoreCallOutcome::kRefused};
    Post(*entry.inbox, EntryTaskMessage(refused));
    Post(*entry.inbox, EntryTaskMessage(refused));
    Post(*entry.inbox,
         EntryTaskMessage(StoreCallEnded{.call = StoreCallKind::kRead,
                                         .topic = "lease",
                                         .outcome = StoreCallOutcome::kEmpty}));
    const std::string text = (co_await entry.Get("/metrics")).body();
    for (const std::string_view line :
         {"cicadaloft_store_calls_total{call=\"append\",topic=\"lease\","
          "outcome=\"refused\"} 2",
          "cicadaloft_store_calls_total{call=\"read\",topic=\"lease\","
          "outcome=\"empty\"} 1"}) {
      BOOST_TEST_CONTEXT(line) {
        BOOST_TEST(text.find(line) != std::string::npos);
      }
    }
  });
}

BOOST_AUTO_TEST_CASE(UnknownPathsAreNotFound) {
  AdminFixture entry;
  entry.Run([&]() -> awaitable<void> {
    BOOST_TEST((co_await entry.Get("/other")).result_int() == 404);
    BOOST_TEST((co_await entry.Get("/ready")).result_int() == 200);
    const auto status = co_await entry.Get("/v1/status");
    BOOST_TEST(json::parse(status.body())["host"] == "h1");
  });
}

BOOST_AUTO_TEST_CASE(StopCompletesRunningRequestsAndRefusesNewOnes) {
  AdminFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "body"},
       .waits_for_allow = true});
  entry.Run([&]() -> awaitable<void> {
    auto idle = co_await entry.ConnectCaller();
    auto running = co_await entry.ConnectCaller();
    co_await running.Write(ServiceGet("/"));
    entry.target.Allow();
    co_await running.ReadUntil("\r\n\r\n");
    entry.Stop();
    BOOST_TEST((co_await entry.Get("/ready")).result_int() == 503);
    co_await idle.Write(ServiceGet("/"));
    const auto refusal = co_await idle.Read();
    BOOST_TEST(refusal.result_int() == 503);
    BOOST_TEST(refusal["Connection"] == "close");
    BOOST_TEST(json::parse(refusal.body())["kind"] == "stopping");
    BOOST_TEST(entry.Outcomes().empty());
    entry.target.Allow();
    BOOST_TEST((co_await running.ReadUntil("body")) == "body");
    entry.RequestDrain();
    BOOST_TEST((co_await Receive(*entry.drained) != nullptr));
  });
}

// Guards against requests that a stop aborts without a log record.
BOOST_AUTO_TEST_CASE(RequestsCutByAForcedDrainAreLogged) {
  AdminFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "body"},
       .waits_for_allow = true});
  entry.Run([&]() -> awaitable<void> {
    auto running = co_await entry.ConnectCaller();
    co_await running.Write(ServiceGet("/"));
    entry.target.Allow();
    co_await running.ReadUntil("\r\n\r\n");
    entry.Stop();
    entry.RequestDrain(true);
    BOOST_TEST((co_await Receive(*entry.drained) != nullptr));
    const std::string text = (co_await entry.Get("/metrics")).body();
    BOOST_TEST(text.find("decisions_total{reason=\"caller.cut\"} 1") !=
               std::string::npos);
  });
}

// Guards against responses truncated by a planned stop: a moment without open
// requests after the stop was mistaken for the end of all requests.
BOOST_AUTO_TEST_CASE(DrainWaitsForRequestsThatArriveAfterAnIdleMoment) {
  AdminFixture entry;
  entry.plan->accepts_after_stop = true;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "body"},
       .waits_for_allow = true});
  entry.Run([&]() -> awaitable<void> {
    entry.Stop();
    BOOST_TEST((co_await entry.Get("/ready")).result_int() == 503);
    auto running = co_await entry.ConnectCaller();
    co_await running.Write(ServiceGet("/"));
    entry.target.Allow();
    co_await running.ReadUntil("\r\n\r\n");
    entry.RequestDrain();
    BOOST_TEST(!(co_await WithTimeout(std::chrono::milliseconds(100),
                                      Receive(*entry.drained))));
    entry.target.Allow();
    BOOST_TEST((co_await running.ReadUntil("body")) == "body");
    BOOST_TEST((co_await Receive(*entry.drained) != nullptr));
  });
}

}  // namespace
}  // namespace cicadaloft
