#define BOOST_TEST_MODULE detour_exchange
#include <boost/test/unit_test.hpp>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using boost::asio::awaitable;
using enum AttemptOutcome;
using After = TargetScript::After;
using Outcomes = std::vector<AttemptOutcome>;

constexpr char kRefusal[] =
    "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Unstamped: 1\r\n"
    "Retry-After: 0.250\r\nCicadaloft-Run-State: not run\r\n"
    "Content-Length: 4\r\n\r\nfull";

/// An entry whose attempts go over a helping host, which `target` plays.
struct DetourFixture : EntryFixture {
  DetourFixture() { this->plan->via_host = HostId("h2"); }
};

// Guards against requests that a helping host takes for those of a caller.
BOOST_AUTO_TEST_CASE(RequestOverAHostNamesThisHost) {
  DetourFixture entry;
  const auto response = entry.ResponseTo(ServiceGet("/a"));
  BOOST_TEST(response.body() == "ok");
  BOOST_TEST(entry.target.requests.at(0)["X-From"] == "h1");
}

// Guards against a request that the helping host takes for another one.
BOOST_AUTO_TEST_CASE(RequestThatCantBeForwardedIsNotSent) {
  DetourFixture entry;
  const auto response = entry.ResponseTo(ServiceGet(kUnforwardablePath));
  BOOST_TEST(response.result_int() == 503);
  BOOST_TEST((entry.Outcomes() == Outcomes{kNotSent}));
  BOOST_TEST(entry.target.requests.empty());
}

// Guards against a caller that gets the refusal of a full host although another
// host could serve it.
BOOST_AUTO_TEST_CASE(RefusalOfAHostIsWithheldIfAnotherMayBeTried) {
  DetourFixture entry;
  entry.plan->withholds_error_response = true;
  entry.target.scripts.push_back({.pieces = {kRefusal}});
  const auto response = entry.ResponseTo(ServiceGet("/"));
  BOOST_TEST(response.body() == "ok");
  BOOST_TEST((entry.Outcomes().at(0) == kShed));
  BOOST_TEST(entry.plan->ReceivedEvents<ResponseStarted>().size() == 1U);
}

// Guards against a refusal that loses its status or its Retry-After, and
// against fields between hosts that reach callers.
BOOST_AUTO_TEST_CASE(RefusalOfTheLastHostIsPassedOn) {
  DetourFixture entry;
  entry.target.scripts.push_back({.pieces = {kRefusal}});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    const auto response = co_await caller.Read();
    BOOST_TEST(response.result_int() == 503);
    BOOST_TEST(response["Retry-After"] == "0.250");
    BOOST_TEST(response.body() == "full");
    BOOST_TEST(response.count("Cicadaloft-Run-State") == 0U);
    co_await entry.WaitForEndedAttempts(1);
  });
  BOOST_TEST((entry.Outcomes() == Outcomes{kCompleted}));
  const auto started = entry.plan->ReceivedEvents<ResponseStarted>();
  BOOST_TEST(!started.at(0).has_run);
}

// Guards against a refusal by an older configuration that reaches the caller,
// also where no other host is left.
BOOST_AUTO_TEST_CASE(RefusalOfAnOutdatedHostIsNeverPassedOn) {
  DetourFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 401 No\r\nX-Outdated: 1\r\nX-Unstamped: 1\r\n"
                  "Cicadaloft-Configuration: 3\r\n"
                  "Content-Length: 2\r\n\r\nno"}});
  const auto response = entry.ResponseTo(ServiceGet("/"));
  BOOST_TEST((entry.Outcomes().at(0) == kOutdatedHost));
  BOOST_TEST(response.result_int() != 401);
  BOOST_TEST(response.body() != "no");
}

// Guards against an outcome that is unknown and sent again: the helping host
// has sent the request to a target.
BOOST_AUTO_TEST_CASE(ErrorResponseOverAHostIsNeverWithheld) {
  DetourFixture entry;
  entry.plan->withholds_error_response = true;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 502 Lost\r\nX-Unstamped: 1\r\n"
                  "Content-Length: 4\r\n\r\nlost"}});
  const auto response = entry.ResponseTo(ServiceGet("/"));
  BOOST_TEST(response.result_int() == 502);
  BOOST_TEST(response.body() == "lost");
  BOOST_TEST(entry.target.requests.size() == 1U);
}

// Guards against a response that the helping host has made up or cut off.
BOOST_AUTO_TEST_CASE(UnstampedOrTruncatedResponseOverAHostFails) {
  DetourFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nX-Unstamped: 1\r\n"
                  "Content-Length: 2\r\n\r\nok"}});
  BOOST_TEST(entry.ResponseTo(ServiceGet("/")).result_int() == 502);
  BOOST_TEST((entry.Outcomes() == Outcomes{kBrokenBeforeResponse}));
  DetourFixture other;
  other.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\r\n\r\n"},
       .after = After::kClose});
  other.Run([&]() -> awaitable<void> {
    auto caller = co_await other.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    co_await caller.Read();
    BOOST_TEST(caller.error.failed());
    co_await other.WaitForEndedAttempts(1);
  });
  BOOST_TEST((other.Outcomes() == Outcomes{kBrokenDuringResponse}));
}

// Guards against requests that run for a caller that has left.
BOOST_AUTO_TEST_CASE(CallerThatLeavesClosesTheConnectionToTheHost) {
  DetourFixture entry;
  entry.target.scripts.push_back({.after = After::kHang});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    co_await entry.WaitUntil([&] { return !entry.target.requests.empty(); });
    caller.socket.close();
    co_await entry.WaitUntil([&] { return entry.target.closed_by_peer == 1U; });
    co_await entry.WaitForEndedAttempts(1);
  });
  BOOST_TEST((entry.Outcomes() == Outcomes{kCancelled}));
}

}  // namespace
}  // namespace cicadaloft
