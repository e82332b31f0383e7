#define BOOST_TEST_MODULE target_connection_pool
#include <boost/test/unit_test.hpp>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using boost::asio::awaitable;
using After = TargetScript::After;

constexpr auto kCompleteResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Sends two requests one after the other.
// @return how many connections the target accepted.
std::size_t CountConnectionsForTwoRequests(EntryFixture& entry) {
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/1"));
    co_await caller.Read();
    co_await entry.WaitForEndedAttempts(1);
    if (caller.error || !caller.socket.is_open()) {
      caller = co_await entry.ConnectCaller();
    }
    co_await caller.Write(ServiceGet("/2"));
    BOOST_TEST((co_await caller.Read()).body() == "ok");
    co_await entry.WaitForEndedAttempts(2);
  });
  return entry.target.connections;
}

std::size_t ConnectionsAfter(const TargetScript& first) {
  EntryFixture entry;
  entry.target.scripts.push_back(first);
  return CountConnectionsForTwoRequests(entry);
}

BOOST_AUTO_TEST_CASE(ConnectionIsReusedAfterACompleteResponse) {
  BOOST_TEST(ConnectionsAfter({.pieces = {kCompleteResponse}}) == 1);
}

BOOST_AUTO_TEST_CASE(UnusableConnectionsAreNotReused) {
  const std::string closing =
      "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
  BOOST_TEST(ConnectionsAfter({.pieces = {closing}}) == 2);
  BOOST_TEST(ConnectionsAfter(
                 {.pieces = {kCompleteResponse}, .after = After::kClose}) == 2);
  // An unsolicited response would be taken for the response to the next
  // request.
  BOOST_TEST(ConnectionsAfter({.pieces = {std::string(kCompleteResponse) +
                                          kCompleteResponse}}) == 2);
  const std::string half = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha";
  BOOST_TEST(ConnectionsAfter({.pieces = {half}, .after = After::kClose}) == 2);
}

BOOST_AUTO_TEST_CASE(UnsolicitedBytesPreventReuseOfAnIdleConnection) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {kCompleteResponse, kCompleteResponse},
       .waits_for_allow = true});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/1"));
    entry.target.Allow();
    co_await caller.Read();
    co_await entry.WaitForEndedAttempts(1);
    entry.target.Allow();
    co_await entry.WaitUntil([&] { return entry.target.pieces_sent == 2; });
    co_await caller.Write(ServiceGet("/2"));
    BOOST_TEST((co_await caller.Read()).body() == "ok");
  });
  BOOST_TEST(entry.target.connections == 2);
}

BOOST_AUTO_TEST_CASE(IdleConnectionsAreClosedAfterTheirTimeout) {
  EntryFixture entry({}, {.idle_timeout = Duration::zero()});
  BOOST_TEST(CountConnectionsForTwoRequests(entry) == 2);
}

}  // namespace
}  // namespace cicadaloft
