#define BOOST_TEST_MODULE exchange
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

namespace http = boost::beast::http;
using boost::asio::awaitable;
using enum AttemptOutcome;
using After = TargetScript::After;
using Outcomes = std::vector<AttemptOutcome>;

BOOST_AUTO_TEST_CASE(ResponseReachesTheCallerWithoutHopByHopFields) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 201 Created\r\nContent-Length: 4\r\nX-Hop: 1\r\n"
                  "Connection: X-Hop\r\nX-Request-Id: other\r\n"
                  "Content-Type: text/plain\r\n\r\nbody"}});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/a?q=1", "X-Request-Id: mine\r\n"));
    const auto response = co_await caller.Read();
    BOOST_TEST(response.result_int() == 201);
    BOOST_TEST(response.body() == "body");
    BOOST_TEST(response["Content-Type"] == "text/plain");
    BOOST_TEST(response.count("X-Hop") == 0);
    BOOST_TEST(response["X-Request-Id"] == "h1-1-1-1");
    BOOST_TEST(response["Server-Timing"].starts_with("queue;dur="));
    const auto& request = entry.target.requests.at(0);
    BOOST_TEST(request.target() == "/a?q=1");
    BOOST_TEST(request["X-Request-Id"] == "h1-1-1-1");
    BOOST_TEST(request.count(http::field::authorization) == 0);
    co_await entry.WaitForEndedAttempts(1);
  });
  BOOST_TEST((entry.Outcomes() == Outcomes{kCompleted}));
  BOOST_TEST(entry.plan->ReceivedEvents<ResponseStarted>().size() == 1);
}

BOOST_AUTO_TEST_CASE(RefusalIsAProblemJsonResponse) {
  EntryFixture entry;
  entry.plan->refuses_requests = true;
  const auto response = entry.ResponseTo(ServiceGet("/"));
  BOOST_TEST(response.result_int() == 429);
  BOOST_TEST(response["Retry-After"] == "2");
  BOOST_TEST(response["Content-Type"] == "application/problem+json");
  const auto body = nlohmann::json::parse(response.body());
  BOOST_TEST(body["kind"] == "rate_limited");
  BOOST_TEST(body["run_state"] == "not run");
  BOOST_TEST(body["request_id"] == std::string(response["X-Request-Id"]));
  BOOST_TEST(!body["advice"].empty());
}

BOOST_AUTO_TEST_CASE(ChunksAreForwardedAsTheyArrive) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                  "7\r\ndata: 1\r\n", "7\r\ndata: 2\r\n", "0\r\n\r\n"},
       .waits_for_allow = true});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ChatPost());
    entry.target.Allow();
    entry.target.Allow();
    const auto first = co_await caller.ReadUntil("data: 1\r\n");
    BOOST_TEST(first.find("data: 2") == std::string::npos);
    entry.target.Allow();
    co_await caller.ReadUntil("data: 2\r\n");
    BOOST_TEST(entry.Outcomes().empty());
    entry.target.Allow();
    const auto last = co_await caller.ReadUntil("0\r\n\r\n");
    BOOST_TEST(last == "0\r\n\r\n");
    co_await entry.WaitForEndedAttempts(1);
  });
  BOOST_TEST((entry.Outcomes() == Outcomes{kCompleted}));
}

BOOST_AUTO_TEST_CASE(LargeBodiesPassUnchangedInBothDirections) {
  EntryFixture entry;
  const std::string large(3'000'000, 'x');
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n",
                  large}});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(
        "POST /services/c/ HTTP/1.1\r\nHost: e\r\nContent-Length: 3000000"
        "\r\n\r\n" +
        large);
    const auto response = co_await caller.Read();
    BOOST_TEST(!caller.error);
    BOOST_TEST((response.body() == large));
    BOOST_TEST((entry.target.requests.at(0).body() == large));
  });
}

// Checks that the caller detects an incomplete response to this script.
void CheckIncomplete(EntryFixture& entry,
                     TargetScript script,
                     AttemptOutcome outcome) {
  entry.target.scripts.push_back(std::move(script));
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    co_await caller.Read();
    BOOST_TEST(caller.error.failed());
    co_await entry.WaitForEndedAttempts(1);
  });
  BOOST_TEST((entry.Outcomes() == Outcomes{outcome}));
}

void CheckTruncated(const std::string& bytes) {
  EntryFixture entry;
  CheckIncomplete(entry, {.pieces = {bytes}, .after = After::kClose},
                  kBrokenDuringResponse);
}

BOOST_AUTO_TEST_CASE(TruncatedResponseIsIncompleteForTheCaller) {
  CheckTruncated("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  CheckTruncated(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
}

// @return an address without a listener.
std::string UnusedAddress(boost::asio::io_context& context) {
  const boost::asio::ip::tcp::acceptor closed_acceptor(
      context, {boost::asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(closed_acceptor.local_endpoint().port());
}

BOOST_AUTO_TEST_CASE(ConnectionRefusedGives503AndOutcomeNotSent) {
  EntryFixture entry;
  entry.plan->address = UnusedAddress(entry.context);
  const auto response = entry.ResponseTo(ServiceGet("/"));
  BOOST_TEST(response.result_int() == 503);
  BOOST_TEST((entry.Outcomes() == Outcomes{kNotSent}));
}

BOOST_AUTO_TEST_CASE(CloseBeforeTheResponseGives502WithUnknownRunState) {
  EntryFixture entry;
  entry.target.scripts.push_back({.after = After::kClose});
  const auto response = entry.ResponseTo(ServiceGet("/"));
  BOOST_TEST(response.result_int() == 502);
  BOOST_TEST(nlohmann::json::parse(response.body())["run_state"] == "unknown");
  BOOST_TEST((entry.Outcomes() == Outcomes{kBrokenBeforeResponse}));
}

BOOST_AUTO_TEST_CASE(EndlessResponseHeadsEndTheAttempt) {
  const std::vector<std::pair<std::vector<std::string>, AttemptOutcome>> heads =
      {{{"HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"}, kOversizedResponse},
       {{"HTTP/1.1 100 Continue\r\n\r\n"}, kBrokenBeforeResponse}};
  for (const auto& [head, outcome] : heads) {
    EntryFixture entry;
    entry.plan->response_timeout = std::chrono::seconds(4);
    entry.target.scripts.push_back(
        {.pieces = head, .repeats_last_piece = true});
    const auto start_time = std::chrono::steady_clock::now();
    const auto response = entry.ResponseTo(ServiceGet("/"));
    BOOST_TEST((std::chrono::steady_clock::now() - start_time <
                std::chrono::seconds(1)));
    BOOST_TEST(response.result_int() == 502);
    BOOST_TEST((entry.Outcomes() == Outcomes{outcome}));
  }
}

BOOST_AUTO_TEST_CASE(NotFoundWithoutNotLoadedFieldIsForwarded) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\nother"}});
  const auto response = entry.ResponseTo(ChatPost());
  BOOST_TEST(response.result_int() == 404);
  BOOST_TEST(response.body() == "other");
}

BOOST_AUTO_TEST_CASE(LateResponseIsDroppedWithItsConnection) {
  EntryFixture entry;
  entry.plan->response_timeout = std::chrono::milliseconds(100);
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"},
       .waits_for_allow = true});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    BOOST_TEST((co_await caller.Read()).result_int() == 502);
    BOOST_TEST((entry.Outcomes() == Outcomes{kTimedOut}));
    entry.plan->response_timeout = std::chrono::seconds(20);
    entry.target.Allow();
    co_await caller.Write(ServiceGet("/"));
    BOOST_TEST((co_await caller.Read()).body() == "ok");
  });
  BOOST_TEST(entry.target.connections == 2);
}

BOOST_AUTO_TEST_CASE(StalledResponseTimesOutAndIsIncompleteForTheCaller) {
  EntryFixture entry;
  entry.plan->response_timeout = std::chrono::milliseconds(100);
  CheckIncomplete(
      entry,
      {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"},
       .after = After::kHang},
      kTimedOut);
}

// Guards against streams that never end because a byte arrives now and then.
BOOST_AUTO_TEST_CASE(ResponseThatTricklesEndsAtTheTimeLimit) {
  EntryFixture entry;
  entry.plan->response_timeout = std::chrono::milliseconds(200);
  std::vector<std::string> pieces(300, "x");
  pieces.front() = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n";
  entry.target.scripts.push_back({.pieces = pieces, .waits_for_allow = true});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    co_await entry.WaitUntil([&] {
      entry.target.Allow();
      return !entry.Outcomes().empty();
    });
    co_await caller.Read();
    BOOST_TEST(caller.error.failed());
  });
  BOOST_TEST((entry.Outcomes() == Outcomes{kTimedOut}));
  BOOST_TEST(entry.target.pieces_sent < pieces.size());
}

BOOST_AUTO_TEST_CASE(CallerDisconnectCancelsTheAttemptOnce) {
  EntryFixture entry;
  entry.target.scripts.push_back({.after = After::kHang});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    co_await entry.WaitUntil([&] { return !entry.target.requests.empty(); });
    caller.socket.close();
    co_await entry.WaitUntil([&] { return entry.target.closed_by_peer == 1; });
    co_await entry.WaitForEndedAttempts(1);
  });
  BOOST_TEST(entry.plan->ReceivedEvents<CallerDisconnected>().size() == 1);
  BOOST_TEST((entry.Outcomes() == Outcomes{kCancelled}));
}

BOOST_AUTO_TEST_CASE(UncancelledAttemptCompletesAfterCallerDisconnects) {
  EntryFixture entry;
  entry.plan->cancels_attempts = false;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\ndo", "ne"},
       .waits_for_allow = true});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    co_await entry.WaitUntil([&] { return !entry.target.requests.empty(); });
    caller.socket.close();
    co_await entry.WaitUntil([&] {
      return !entry.plan->ReceivedEvents<CallerDisconnected>().empty();
    });
    entry.target.Allow();
    entry.target.Allow();
    co_await entry.WaitForEndedAttempts(1);
  });
  const auto ended = entry.plan->ReceivedEvents<AttemptEnded>();
  BOOST_TEST((entry.Outcomes() == Outcomes{kCompleted}));
  BOOST_TEST(ended.at(0).http_status == 201);
}

BOOST_AUTO_TEST_CASE(HeadAndEmptyResponsesKeepTheConnectionOpen) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"}});
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 100 Continue\r\n\r\n"
                  "HTTP/1.1 204 No Content\r\n\r\n"}});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write("HEAD /services/c/ HTTP/1.1\r\nHost: e\r\n\r\n");
    const auto head = co_await caller.ReadUntil("\r\n\r\n");
    BOOST_TEST(head.find("Content-Length: 9") != std::string::npos);
    co_await caller.Write(ServiceGet("/"));
    BOOST_TEST((co_await caller.Read()).result_int() == 204);
    co_await entry.WaitForEndedAttempts(2);
  });
  BOOST_TEST((entry.Outcomes() == Outcomes{kCompleted, kCompleted}));
}

BOOST_AUTO_TEST_CASE(ResponseUntilCloseIsForwardedInChunks) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\n\r\nall"}, .after = After::kClose});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    const auto response = co_await caller.Read();
    BOOST_TEST(!caller.error);
    BOOST_TEST(response.body() == "all");
    BOOST_TEST(response.chunked());
    BOOST_TEST(response["Connection"] != "close");
  });
}

BOOST_AUTO_TEST_CASE(ResponsesToEarlierRequestsAreSkipped) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nX-Stale: 1\r\nContent-Length: 5\r\n\r\n"
                  "stale",
                  "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew"}});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    BOOST_TEST((co_await caller.Read()).body() == "new");
  });
}

BOOST_AUTO_TEST_CASE(SuccessWithoutStampFailsTheAttempt) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nX-Unstamped: 1\r\n"
                  "Content-Length: 3\r\n\r\nbad"}});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    BOOST_TEST((co_await caller.Read()).result_int() == 502);
  });
  BOOST_TEST((entry.Outcomes() == Outcomes{kBrokenBeforeResponse}));
}

BOOST_AUTO_TEST_CASE(WithheldErrorResponseIsNotForwarded) {
  EntryFixture entry;
  entry.plan->withholds_error_response = true;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\nbad"}});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    BOOST_TEST((co_await caller.Read()).result_int() == 502);
  });
  BOOST_TEST((entry.Outcomes() == Outcomes{kErrorResponse}));
  BOOST_TEST(entry.plan->ReceivedEvents<ResponseStarted>().empty());
}

BOOST_AUTO_TEST_CASE(HostStopClosesIdleConnectionsAndOthersAfterTheirResponse) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "body"},
       .waits_for_allow = true});
  entry.Run([&]() -> awaitable<void> {
    auto idle = co_await entry.ConnectCaller();
    co_await idle.Write("GET /other HTTP/1.1\r\nHost: e\r\n\r\n");
    BOOST_TEST((co_await idle.Read()).result_int() == 404);
    auto running = co_await entry.ConnectCaller();
    co_await running.Write(ServiceGet("/"));
    co_await entry.WaitUntil([&] { return !entry.target.requests.empty(); });
    Post(*entry.stop, HostStopping{});
    co_await idle.Read();
    BOOST_TEST(idle.error.failed());
    entry.target.Allow();
    entry.target.Allow();
    const auto response = co_await running.Read();
    BOOST_TEST(response.body() == "body");
    BOOST_TEST(response["Connection"] == "close");
  });
}

}  // namespace
}  // namespace cicadaloft
