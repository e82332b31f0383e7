#define BOOST_TEST_MODULE target_refusal
#include <boost/test/unit_test.hpp>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using boost::asio::awaitable;
using enum AttemptOutcome;
using After = TargetScript::After;
using Outcomes = std::vector<AttemptOutcome>;

BOOST_AUTO_TEST_CASE(TargetRefusalsAreNotForwarded) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 421 No\r\nX-Not-Loaded: 1\r\n"
                  "Content-Length: 2\r\n\r\n",
                  "no"}});
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n"
                  "Content-Length: 4\r\n\r\n",
                  "full"}});
  const auto response = entry.ResponseTo(ChatPost());
  BOOST_TEST(response.result_int() == 502);
  BOOST_TEST((entry.Outcomes() == Outcomes{kNotLoaded, kShed}));
  BOOST_TEST(entry.plan->ReceivedEvents<ResponseStarted>().empty());
  // The retry of the same request goes on a connection of its own.
  BOOST_TEST(entry.target.connections == 2);
}

BOOST_AUTO_TEST_CASE(ConnectionsWithRefusalsCarryOtherRequests) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 421 No\r\nX-Not-Loaded: 1\r\n"
                  "Content-Length: 2\r\n\r\nno"}});
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n"
                  "Content-Length: 4\r\n\r\nfull"}});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    BOOST_TEST((co_await caller.Read()).result_int() == 502);
    co_await caller.Write(ServiceGet("/"));
    BOOST_TEST((co_await caller.Read()).body() == "ok");
    co_await entry.WaitForEndedAttempts(3);
  });
  BOOST_TEST((entry.Outcomes() == Outcomes{kNotLoaded, kShed, kCompleted}));
  BOOST_TEST(entry.target.connections == 2);
}

// Guards against requests that wait until their deadline because a target
// refuses them with a response that never ends.
BOOST_AUTO_TEST_CASE(EndlessRefusalBodyIsNotReadToItsEnd) {
  const std::string head =
      "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const bool hangs : {false, true}) {
    EntryFixture entry;
    entry.plan->response_timeout = std::chrono::seconds(4);
    entry.target.scripts.push_back({.pieces = {head, "5\r\nbytes\r\n"},
                                    .after = After::kHang,
                                    .repeats_last_piece = !hangs});
    const auto start_time = std::chrono::steady_clock::now();
    entry.Run([&]() -> awaitable<void> {
      auto caller = co_await entry.ConnectCaller();
      co_await caller.Write(ServiceGet("/"));
      // The second attempt succeeds.
      BOOST_TEST((co_await caller.Read()).result_int() == 200);
      co_await entry.WaitForEndedAttempts(2);
    });
    BOOST_TEST((std::chrono::steady_clock::now() - start_time <
                std::chrono::seconds(1)));
    BOOST_TEST((entry.Outcomes() == Outcomes{kShed, kCompleted}));
  }
}

// Guards against a refusal that a faulty target writes once more when the same
// request has been sent again on the kept connection: the request runs there,
// and its caller would be told that it has not run.
BOOST_AUTO_TEST_CASE(RepeatedRefusalIsNotTakenForTheRetrysResponse) {
  const std::string refusal =
      "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {refusal, refusal}, .waits_for_allow = true});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    entry.target.Allow();
    co_await entry.WaitForEndedAttempts(1);
    entry.target.Allow();
    BOOST_TEST((co_await caller.Read()).body() == "ok");
    co_await entry.WaitForEndedAttempts(2);
  });
  BOOST_TEST((entry.Outcomes() == Outcomes{kShed, kCompleted}));
  BOOST_TEST(entry.target.connections == 2U);
}

// A refusal that names no request could belong to any later one.
BOOST_AUTO_TEST_CASE(ConnectionIsNotReusedAfterNamelessRefusal) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Nameless: 1\r\n"
                  "Content-Length: 0\r\n\r\n"}});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    BOOST_TEST((co_await caller.Read()).body() == "ok");
    co_await caller.Write(ServiceGet("/"));
    BOOST_TEST((co_await caller.Read()).body() == "ok");
    co_await entry.WaitForEndedAttempts(3);
  });
  BOOST_TEST(entry.target.connections == 2U);
}

}  // namespace
}  // namespace cicadaloft
