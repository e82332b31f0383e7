#define BOOST_TEST_MODULE target_pool
#include <boost/test/unit_test.hpp>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using boost::asio::awaitable;
using After = TargetScript::After;

constexpr auto kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Sends two requests one after the other.
// @return how many connections the target has seen.
std::size_t ConnectionsOfTwo(EntryFixture& entry) {
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.Caller();
    co_await caller.Write(ServiceGet("/1"));
    co_await caller.Read();
    co_await entry.Ended(1);
    if (caller.error || !caller.socket.is_open()) {
      caller = co_await entry.Caller();
    }
    co_await caller.Write(ServiceGet("/2"));
    BOOST_TEST((co_await caller.Read()).body() == "ok");
    co_await entry.Ended(2);
  });
  return entry.target.connections;
}

std::size_t ConnectionsAfter(const TargetScript& first) {
  EntryFixture entry;
  entry.target.scripts.push_back(first);
  return ConnectionsOfTwo(entry);
}

BOOST_AUTO_TEST_CASE(WholeAnswerFreesTheConnection) {
  BOOST_TEST(ConnectionsAfter({.pieces = {kWhole}}) == 1);
}

BOOST_AUTO_TEST_CASE(UnfitConnectionsAreNotUsedAgain) {
  const std::string closing =
      "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
  BOOST_TEST(ConnectionsAfter({.pieces = {closing}}) == 2);
  BOOST_TEST(ConnectionsAfter({.pieces = {kWhole}, .after = After::kClose}) ==
             2);
  // An answer to nothing would be taken for the next request's.
  BOOST_TEST(ConnectionsAfter({.pieces = {std::string(kWhole) + kWhole}}) == 2);
  const std::string half = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha";
  BOOST_TEST(ConnectionsAfter({.pieces = {half}, .after = After::kClose}) == 2);
}

BOOST_AUTO_TEST_CASE(LateBytesMakeAKeptConnectionUnfit) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {kWhole, kWhole}, .waits_between = true});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.Caller();
    co_await caller.Write(ServiceGet("/1"));
    entry.target.Allow();
    co_await caller.Read();
    co_await entry.Ended(1);
    entry.target.Allow();
    co_await entry.Until([&] { return entry.target.pieces_sent == 2; });
    co_await caller.Write(ServiceGet("/2"));
    BOOST_TEST((co_await caller.Read()).body() == "ok");
  });
  BOOST_TEST(entry.target.connections == 2);
}

BOOST_AUTO_TEST_CASE(IdleConnectionsAreGivenUpAfterTheirTime) {
  EntryFixture entry({}, {.idle_timeout = Duration::zero()});
  BOOST_TEST(ConnectionsOfTwo(entry) == 2);
}

}  // namespace
}  // namespace cicadaloft
