#define BOOST_TEST_MODULE caller_limits
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <tuple>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using boost::asio::awaitable;

constexpr Duration kShortTimeout = std::chrono::milliseconds(150);

// Sends one text and reads one response, on a connection of its own.
awaitable<TestCaller::Response> ResponseTo(EntryFixture& entry,
                                           std::string text) {
  auto caller = co_await entry.ConnectCaller();
  co_await caller.Write(text);
  co_return co_await caller.Read();
}

unsigned StatusFor(EntryFixture& entry, const std::string& text) {
  unsigned status = 0;
  entry.Run([&]() -> awaitable<void> {
    const auto response = co_await ResponseTo(entry, text);
    status = response.result_int();
  });
  return status;
}

unsigned StatusFor(const std::string& text, const CallerLimits& limits = {}) {
  EntryFixture entry(limits);
  return StatusFor(entry, text);
}

BOOST_AUTO_TEST_CASE(MalformedInputIsRejectedWith400Or404) {
  const std::string start = "GET /services/c/ HTTP/1.1\r\n";
  BOOST_TEST(StatusFor("nonsense\r\n\r\n") == 400);
  BOOST_TEST(StatusFor(start + "\r\n") == 400);
  BOOST_TEST(StatusFor(start + "Host: a\r\nHost: b\r\n\r\n") == 400);
  BOOST_TEST(StatusFor(start + "Host: a\r\nContent-Length: x\r\n\r\n") == 400);
  BOOST_TEST(StatusFor(start + "Host: a\r\nContent-Length: 3\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n") == 400);
  BOOST_TEST(StatusFor(start + "Host: a\r\nTransfer-Encoding: gzip\r\n\r\n") ==
             400);
  BOOST_TEST(StatusFor("GET /other HTTP/1.1\r\nHost: a\r\n\r\n") == 404);
}

BOOST_AUTO_TEST_CASE(OversizedInputIsRejectedWith431Or413) {
  const std::string long_field = "X-Long: " + std::string(20'000, 'x') + "\r\n";
  BOOST_TEST(StatusFor(ServiceGet("/", long_field)) == 431);
  const std::string start = "POST /services/c/ HTTP/1.1\r\nHost: a\r\n";
  BOOST_TEST(StatusFor(start + "Content-Length: 5000000\r\n\r\n") == 413);
  BOOST_TEST(StatusFor(start + "Content-Length: 5000000\r\n\r\n" +
                       std::string(5'000'000, 'x')) == 413);
  BOOST_TEST(StatusFor(start + "Transfer-Encoding: chunked\r\n\r\n65\r\n" +
                           std::string(101, 'x') + "\r\n",
                       {.max_body_bytes = 100}) == 413);
}

BOOST_AUTO_TEST_CASE(SlowInputIsRejectedWith408) {
  BOOST_TEST(StatusFor("GET /serv", {.read_timeout = kShortTimeout}) == 408);
  BOOST_TEST(StatusFor("POST /services/c/ HTTP/1.1\r\nHost: a\r\n"
                       "Content-Length: 10\r\n\r\nhalf",
                       {.read_timeout = kShortTimeout}) == 408);
}

BOOST_AUTO_TEST_CASE(RejectedRequestKeepsTheConnectionOpen) {
  EntryFixture entry;
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/", "X-Request-Class: urgent\r\n"));
    BOOST_TEST((co_await caller.Read()).result_int() == 400);
    co_await caller.Write(ServiceGet("/"));
    BOOST_TEST((co_await caller.Read()).body() == "ok");
  });
}

BOOST_AUTO_TEST_CASE(PipelinedRequestsGetResponsesInOrder) {
  EntryFixture entry;
  constexpr int kRequests = 20;
  std::string text;
  for (int i = 0; i < kRequests; ++i) {
    const std::string number = std::to_string(i);
    entry.target.scripts.push_back(
        {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: " +
                    std::to_string(number.size()) + "\r\n\r\n" + number}});
    text += ServiceGet("/" + number);
  }
  text += "broken\r\n\r\n";
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(text);
    for (int i = 0; i < kRequests; ++i) {
      const auto response = co_await caller.Read();
      BOOST_TEST(response.body() == std::to_string(i));
    }
    BOOST_TEST((co_await caller.Read()).result_int() == 400);
  });
}

BOOST_AUTO_TEST_CASE(ContinueIsSentWhenExpected) {
  EntryFixture entry;
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(
        "POST /services/c/ HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
        "Expect: 100-continue\r\n\r\n");
    co_await caller.ReadUntil("100 Continue\r\n\r\n");
    co_await caller.Write("body");
    BOOST_TEST((co_await caller.Read()).body() == "ok");
    BOOST_TEST(entry.target.requests.at(0).body() == "body");
  });
}

BOOST_AUTO_TEST_CASE(ConnectionOverTheLimitGets503) {
  EntryFixture entry(CallerLimits{.max_connections = 1});
  entry.Run([&]() -> awaitable<void> {
    auto first = co_await entry.ConnectCaller();
    co_await first.Write(ServiceGet("/"));
    co_await first.Read();
    auto second = co_await entry.ConnectCaller();
    BOOST_TEST((co_await second.Read()).result_int() == 503);
    co_await first.Write(ServiceGet("/"));
    BOOST_TEST((co_await first.Read()).body() == "ok");
  });
}

// Guards against a reset that takes the 503 from a caller whose request is
// longer than what the host reads of it at once.
BOOST_AUTO_TEST_CASE(ConnectionOverTheLimitIsNotReset) {
  EntryFixture entry(CallerLimits{.max_connections = 1});
  entry.Run([&]() -> awaitable<void> {
    auto first = co_await entry.ConnectCaller();
    co_await first.Write(ServiceGet("/"));
    co_await first.Read();
    auto second = co_await entry.ConnectCaller();
    co_await second.Write(
        "POST /services/c/ HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n"
        "\r\n" +
        std::string(20'000, 'x'));
    BOOST_TEST((co_await second.Read()).result_int() == 503);
    boost::asio::steady_timer pause(second.socket.get_executor(),
                                    kShortTimeout);
    co_await pause.async_wait(boost::asio::use_awaitable);
    boost::system::error_code error;
    std::ignore = second.socket.write_some(boost::asio::buffer("x", 1), error);
    BOOST_TEST(!error, error.message());
  });
}

BOOST_AUTO_TEST_CASE(IdleConnectionIsClosed) {
  EntryFixture entry(CallerLimits{.idle_timeout = kShortTimeout});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    co_await caller.Read();
    BOOST_TEST((co_await caller.ReadUntil("x")).empty());
    BOOST_TEST((caller.error == boost::asio::error::eof));
  });
}

BOOST_AUTO_TEST_CASE(StalledCallerEndsOnlyItsOwnRequest) {
  EntryFixture entry(CallerLimits{.write_stall_timeout = kShortTimeout});
  std::string large;
  large.resize(30'000'000, 'x');
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n",
                  large}});
  entry.Run([&]() -> awaitable<void> {
    auto stalled = co_await entry.ConnectCaller();
    co_await stalled.Write(ServiceGet("/"));
    co_await entry.WaitUntil([&] { return !entry.target.requests.empty(); });
    const auto other = co_await ResponseTo(entry, ServiceGet("/"));
    BOOST_TEST(other.body() == "ok");
    co_await entry.WaitForEndedAttempts(2);
  });
  BOOST_TEST(entry.plan->ReceivedEvents<CallerDisconnected>().size() == 1);
}

BOOST_AUTO_TEST_CASE(Http10CallerGetsUnchunkedResponse) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "4\r\nbody\r\n0\r\n\r\n"}});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write("GET /services/c/ HTTP/1.0\r\n\r\n");
    const auto response = co_await caller.Read();
    BOOST_TEST(response.body() == "body");
    BOOST_TEST(!response.chunked());
    BOOST_TEST(!caller.error);
  });
}

}  // namespace
}  // namespace cicadaloft
