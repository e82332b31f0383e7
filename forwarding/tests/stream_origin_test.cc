#define BOOST_TEST_MODULE stream_origin
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <variant>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using boost::asio::awaitable;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr char kStream[] =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n";

const OriginRecord kOrigin{
    .stream = {.high = 1, .low = 2},
    .origin = {.service = ServiceId("s1"), .software = SoftwareVersion("v1")}};

/// An exchange whose target responds with `response`.
struct OriginFixture : EntryFixture {
  explicit OriginFixture(std::string response = kStream) {
    this->plan->origin = kOrigin;
    this->target.scripts.push_back({.pieces = {std::move(response)}});
  }

  /// Waits for the call of the exchange.
  awaitable<OriginRecordCall> ReceiveCall() {
    const auto message = co_await Receive(*this->origins);
    co_return std::get<OriginRecordCall>(*message);
  }

  bool HasCall() {
    bool has_call = false;
    this->origins->channel().try_receive([&](auto&&...) { has_call = true; });
    return has_call;
  }
};

/// @return whether bytes have arrived at the caller.
bool HasInput(TestCaller& caller) {
  return caller.socket.available() > 0;
}

// Guards against a stream that its caller has a part of before any host but
// this one can find out at which version it began.
BOOST_AUTO_TEST_CASE(StreamWaitsForTheRecordOfItsOrigin) {
  OriginFixture entry;
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    const OriginRecordCall call = co_await entry.ReceiveCall();
    BOOST_TEST((call.record == kOrigin));
    boost::asio::steady_timer timer(entry.context, milliseconds(20));
    co_await timer.async_wait(boost::asio::use_awaitable);
    BOOST_TEST(!HasInput(caller));
    TrySend(*call.reply_to, OriginRecorded{.is_acknowledged = true});
    BOOST_TEST((co_await caller.Read()).body() == "data: 1\n\n");
    BOOST_TEST(!caller.error);
  });
}

// Guards against streams that stall while the store doesn't answer.
BOOST_AUTO_TEST_CASE(StreamGoesOnWithoutAnAnswerOfTheStore) {
  OriginFixture entry;
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    const OriginRecordCall call = co_await entry.ReceiveCall();
    const auto start = steady_clock::now();
    BOOST_TEST((co_await caller.Read()).body() == "data: 1\n\n");
    BOOST_TEST((steady_clock::now() - start >= milliseconds(90)));
    BOOST_TEST(!caller.error);
  });
}

// Guards against streams that wait for the time limit though the store has
// refused the record.
BOOST_AUTO_TEST_CASE(StreamGoesOnIfItsOriginIsNotRecorded) {
  OriginFixture entry;
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    const OriginRecordCall call = co_await entry.ReceiveCall();
    TrySend(*call.reply_to, OriginRecorded{.is_acknowledged = false});
    BOOST_TEST((co_await caller.Read()).body() == "data: 1\n\n");
  });
}

// Guards against calls of the store for responses that can't be taken up.
BOOST_AUTO_TEST_CASE(ResponsesThatAreNoStreamsAreNotRecorded) {
  for (const char* response :
       {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nall",
        "HTTP/1.1 404 Not Found\r\nContent-Type: text/event-stream\r\n"
        "Content-Length: 3\r\n\r\nall"}) {
    OriginFixture entry(response);
    BOOST_TEST(entry.ResponseTo(ServiceGet("/")).body() == "all");
    BOOST_TEST(!entry.HasCall());
  }
}

BOOST_AUTO_TEST_CASE(StreamsWithoutAnOriginAreNotRecorded) {
  OriginFixture entry;
  entry.plan->origin.reset();
  BOOST_TEST(entry.ResponseTo(ServiceGet("/")).body() == "data: 1\n\n");
  BOOST_TEST(!entry.HasCall());
}

}  // namespace
}  // namespace cicadaloft
