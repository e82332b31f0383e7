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

BOOST_AUTO_TEST_CASE(AnswerGoesToTheCallerWithoutHopByHopFields) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 201 Created\r\nContent-Length: 4\r\nX-Hop: 1\r\n"
                  "Connection: X-Hop\r\nX-Request-Id: other\r\n"
                  "Content-Type: text/plain\r\n\r\nbody"}});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.Caller();
    co_await caller.Write(ServiceGet("/a?q=1", "X-Request-Id: mine\r\n"));
    const auto answer = co_await caller.Read();
    BOOST_TEST(answer.result_int() == 201);
    BOOST_TEST(answer.body() == "body");
    BOOST_TEST(answer["Content-Type"] == "text/plain");
    BOOST_TEST(answer.count("X-Hop") == 0);
    BOOST_TEST(answer["X-Request-Id"] == "h1-1-1-1");
    BOOST_TEST(answer["Server-Timing"].starts_with("queue;dur="));
    const auto& seen = entry.target.seen.at(0);
    BOOST_TEST(seen.target() == "/a?q=1");
    BOOST_TEST(seen["X-Request-Id"] == "h1-1-1-1");
    BOOST_TEST(seen.count(http::field::authorization) == 0);
    co_await entry.Ended(1);
  });
  BOOST_TEST((entry.Outcomes() == Outcomes{kCompleted}));
  BOOST_TEST(entry.plan->All<ResponseStarted>().size() == 1);
}

BOOST_AUTO_TEST_CASE(RefusalIsAProblemAnswer) {
  EntryFixture entry;
  entry.plan->refuses = true;
  const auto answer = entry.AnswerTo(ServiceGet("/"));
  BOOST_TEST(answer.result_int() == 429);
  BOOST_TEST(answer["Retry-After"] == "2");
  BOOST_TEST(answer["Content-Type"] == "application/problem+json");
  const auto body = nlohmann::json::parse(answer.body());
  BOOST_TEST(body["kind"] == "rate_limited");
  BOOST_TEST(body["run_state"] == "not run");
  BOOST_TEST(body["request_id"] == std::string(answer["X-Request-Id"]));
  BOOST_TEST(!body["advice"].empty());
}

BOOST_AUTO_TEST_CASE(ChunksArePassedOnAsTheyCome) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                  "7\r\ndata: 1\r\n", "7\r\ndata: 2\r\n", "0\r\n\r\n"},
       .waits_between = true});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.Caller();
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
    co_await entry.Ended(1);
  });
  BOOST_TEST((entry.Outcomes() == Outcomes{kCompleted}));
}

BOOST_AUTO_TEST_CASE(LargeBodiesGoBothWaysWhole) {
  EntryFixture entry;
  const std::string large(3'000'000, 'x');
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n",
                  large}});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.Caller();
    co_await caller.Write(
        "POST /services/c/ HTTP/1.1\r\nHost: e\r\nContent-Length: 3000000"
        "\r\n\r\n" +
        large);
    const auto answer = co_await caller.Read();
    BOOST_TEST(!caller.error);
    BOOST_TEST((answer.body() == large));
    BOOST_TEST((entry.target.seen.at(0).body() == large));
  });
}

// The caller sees that the answer of this script is not whole.
void CheckCut(EntryFixture& entry,
              TargetScript script,
              AttemptOutcome outcome) {
  entry.target.scripts.push_back(std::move(script));
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.Caller();
    co_await caller.Write(ServiceGet("/"));
    co_await caller.Read();
    BOOST_TEST(caller.error.failed());
    co_await entry.Ended(1);
  });
  BOOST_TEST((entry.Outcomes() == Outcomes{outcome}));
}

void CheckTruncated(const std::string& bytes) {
  EntryFixture entry;
  CheckCut(entry, {.pieces = {bytes}, .after = After::kClose},
           kBrokenDuringResponse);
}

BOOST_AUTO_TEST_CASE(TruncatedAnswersEndInAVisibleError) {
  CheckTruncated("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  CheckTruncated(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
}

// @return an address at which nothing listens.
std::string UnusedAddress(boost::asio::io_context& context) {
  const boost::asio::ip::tcp::acceptor gone(
      context, {boost::asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(gone.local_endpoint().port());
}

BOOST_AUTO_TEST_CASE(ConnectionRefusedIsNotSent) {
  EntryFixture entry;
  entry.plan->address = UnusedAddress(entry.context);
  const auto answer = entry.AnswerTo(ServiceGet("/"));
  BOOST_TEST(answer.result_int() == 503);
  BOOST_TEST((entry.Outcomes() == Outcomes{kNotSent}));
}

BOOST_AUTO_TEST_CASE(CloseBeforeTheAnswerIsDiedUnstarted) {
  EntryFixture entry;
  entry.target.scripts.push_back({.after = After::kClose});
  const auto answer = entry.AnswerTo(ServiceGet("/"));
  BOOST_TEST(answer.result_int() == 502);
  BOOST_TEST(nlohmann::json::parse(answer.body())["run_state"] == "unknown");
  BOOST_TEST((entry.Outcomes() == Outcomes{kBrokenBeforeResponse}));
}

BOOST_AUTO_TEST_CASE(EngineRefusalsAreNotPassedOn) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 421 No\r\nX-Not-Loaded: 1\r\n"
                  "Content-Length: 2\r\n\r\n",
                  "no"}});
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n"
                  "Content-Length: 4\r\n\r\n",
                  "full"}});
  const auto answer = entry.AnswerTo(ChatPost());
  BOOST_TEST(answer.result_int() == 502);
  BOOST_TEST((entry.Outcomes() == Outcomes{kNotLoaded, kShed}));
  BOOST_TEST(entry.plan->All<ResponseStarted>().empty());
  BOOST_TEST(entry.target.connections == 1);
}

// Guards against requests that wait until their deadline while a target that
// has refused them sends on without end.
BOOST_AUTO_TEST_CASE(ARefusalThatNeverEndsIsNotReadToItsEnd) {
  const std::string head =
      "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const bool hangs : {false, true}) {
    EntryFixture entry;
    entry.plan->response_timeout = std::chrono::seconds(4);
    entry.target.scripts.push_back({.pieces = {head, "5\r\nbytes\r\n"},
                                    .after = After::kHang,
                                    .never_ends = !hangs});
    const auto begun = std::chrono::steady_clock::now();
    entry.Run([&]() -> awaitable<void> {
      auto caller = co_await entry.Caller();
      co_await caller.Write(ServiceGet("/"));
      // The next attempt is answered.
      BOOST_TEST((co_await caller.Read()).result_int() == 200);
      co_await entry.Ended(2);
    });
    BOOST_TEST(
        (std::chrono::steady_clock::now() - begun < std::chrono::seconds(1)));
    BOOST_TEST((entry.Outcomes() == Outcomes{kShed, kCompleted}));
  }
}

BOOST_AUTO_TEST_CASE(HeadsThatNeverEndAreGivenUp) {
  const std::vector<std::vector<std::string>> heads = {
      {"HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"},
      {"HTTP/1.1 100 Continue\r\n\r\n"}};
  for (const std::vector<std::string>& head : heads) {
    EntryFixture entry;
    entry.plan->response_timeout = std::chrono::seconds(4);
    entry.target.scripts.push_back({.pieces = head, .never_ends = true});
    const auto begun = std::chrono::steady_clock::now();
    const auto answer = entry.AnswerTo(ServiceGet("/"));
    BOOST_TEST(
        (std::chrono::steady_clock::now() - begun < std::chrono::seconds(1)));
    BOOST_TEST(answer.result_int() == 502);
    BOOST_TEST((entry.Outcomes() == Outcomes{kBrokenBeforeResponse}));
  }
}

BOOST_AUTO_TEST_CASE(OtherNotFoundAnswersArePassedOn) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\nother"}});
  const auto answer = entry.AnswerTo(ChatPost());
  BOOST_TEST(answer.result_int() == 404);
  BOOST_TEST(answer.body() == "other");
}

BOOST_AUTO_TEST_CASE(LateAnswerDiesWithItsConnection) {
  EntryFixture entry;
  entry.plan->response_timeout = std::chrono::milliseconds(100);
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"},
       .waits_between = true});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.Caller();
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

BOOST_AUTO_TEST_CASE(StalledAnswerTimesOutVisibly) {
  EntryFixture entry;
  entry.plan->response_timeout = std::chrono::milliseconds(100);
  CheckCut(entry,
           {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"},
            .after = After::kHang},
           kTimedOut);
}

BOOST_AUTO_TEST_CASE(LeavingCallerEndsTheAttemptOnce) {
  EntryFixture entry;
  entry.target.scripts.push_back({.after = After::kHang});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.Caller();
    co_await caller.Write(ServiceGet("/"));
    co_await entry.Until([&] { return !entry.target.seen.empty(); });
    caller.socket.close();
    co_await entry.Until([&] { return entry.target.closed_by_peer == 1; });
    co_await entry.Ended(1);
  });
  BOOST_TEST(entry.plan->All<CallerDisconnected>().size() == 1);
  BOOST_TEST((entry.Outcomes() == Outcomes{kCancelled}));
}

BOOST_AUTO_TEST_CASE(RunThatIsNotCutCompletesWithoutItsCaller) {
  EntryFixture entry;
  entry.plan->cancels = false;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\ndo", "ne"},
       .waits_between = true});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.Caller();
    co_await caller.Write(ServiceGet("/"));
    co_await entry.Until([&] { return !entry.target.seen.empty(); });
    caller.socket.close();
    co_await entry.Until(
        [&] { return !entry.plan->All<CallerDisconnected>().empty(); });
    entry.target.Allow();
    entry.target.Allow();
    co_await entry.Ended(1);
  });
  const auto ended = entry.plan->All<AttemptEnded>();
  BOOST_TEST((entry.Outcomes() == Outcomes{kCompleted}));
  BOOST_TEST(ended.at(0).http_status == 201);
}

BOOST_AUTO_TEST_CASE(HeadAndEmptyAnswersKeepTheConnection) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"}});
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 100 Continue\r\n\r\n"
                  "HTTP/1.1 204 No Content\r\n\r\n"}});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.Caller();
    co_await caller.Write("HEAD /services/c/ HTTP/1.1\r\nHost: e\r\n\r\n");
    const auto head = co_await caller.ReadUntil("\r\n\r\n");
    BOOST_TEST(head.find("Content-Length: 9") != std::string::npos);
    co_await caller.Write(ServiceGet("/"));
    BOOST_TEST((co_await caller.Read()).result_int() == 204);
    co_await entry.Ended(2);
  });
  BOOST_TEST((entry.Outcomes() == Outcomes{kCompleted, kCompleted}));
}

BOOST_AUTO_TEST_CASE(AnswerUntilCloseStaysOne) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\n\r\nall"}, .after = After::kClose});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.Caller();
    co_await caller.Write(ServiceGet("/"));
    const auto answer = co_await caller.Read();
    BOOST_TEST(!caller.error);
    BOOST_TEST(answer.body() == "all");
    BOOST_TEST(answer["Connection"] == "close");
  });
}

BOOST_AUTO_TEST_CASE(AnswersToEarlierRequestsAreSkipped) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nX-Stale: 1\r\nContent-Length: 5\r\n\r\n"
                  "stale",
                  "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew"}});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.Caller();
    co_await caller.Write(ServiceGet("/"));
    BOOST_TEST((co_await caller.Read()).body() == "new");
  });
}

BOOST_AUTO_TEST_CASE(ASuccessThatNobodyVouchesForIsNone) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nX-Unsigned: 1\r\n"
                  "Content-Length: 3\r\n\r\nbad"}});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.Caller();
    co_await caller.Write(ServiceGet("/"));
    BOOST_TEST((co_await caller.Read()).result_int() == 502);
  });
  BOOST_TEST((entry.Outcomes() == Outcomes{kBrokenBeforeResponse}));
}

BOOST_AUTO_TEST_CASE(AFailureIsHeldBackWhereAnotherTargetMayDoBetter) {
  EntryFixture entry;
  entry.plan->withholds_error_response = true;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\nbad"}});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.Caller();
    co_await caller.Write(ServiceGet("/"));
    BOOST_TEST((co_await caller.Read()).result_int() == 502);
  });
  BOOST_TEST((entry.Outcomes() == Outcomes{kErrorResponse}));
  BOOST_TEST(entry.plan->All<ResponseStarted>().empty());
}

BOOST_AUTO_TEST_CASE(AStoppingHostClosesIdleConnectionsAndEndsOthers) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "body"},
       .waits_between = true});
  entry.Run([&]() -> awaitable<void> {
    auto idle = co_await entry.Caller();
    co_await idle.Write("GET /other HTTP/1.1\r\nHost: e\r\n\r\n");
    BOOST_TEST((co_await idle.Read()).result_int() == 404);
    auto running = co_await entry.Caller();
    co_await running.Write(ServiceGet("/"));
    co_await entry.Until([&] { return !entry.target.seen.empty(); });
    Post(*entry.stop, HostStopping{});
    co_await idle.Read();
    BOOST_TEST(idle.error.failed());
    entry.target.Allow();
    entry.target.Allow();
    const auto answer = co_await running.Read();
    BOOST_TEST(answer.body() == "body");
    BOOST_TEST(answer["Connection"] == "close");
  });
}

}  // namespace
}  // namespace cicadaloft
