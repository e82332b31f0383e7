#define BOOST_TEST_MODULE host_stop
#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "cicadaloft/forwarding/with_timeout.h"
#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using boost::asio::awaitable;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Lets other tasks run until they have nothing to do at once, `turns` times.
awaitable<void> Yield(EntryFixture& entry, int turns) {
  for (int i = 0; i < turns; ++i) {
    co_await boost::asio::post(entry.context, boost::asio::use_awaitable);
  }
}

/// Writes without letting any other task run.
void WriteNow(TestCaller& caller, const std::string& text) {
  boost::asio::write(caller.socket, boost::asio::buffer(text));
}

/// @return whether the end of the connection has arrived at the caller.
bool HasPeerClosed(TestCaller& caller) {
  char byte = 0;
  return ::recv(caller.socket.native_handle(), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) == 0;
}

struct StopFixture : EntryFixture {
  explicit StopFixture(const CallerLimits& limits = {}) : EntryFixture(limits) {
    this->plan->accepts_after_stop = true;
  }

  awaitable<void> Sleep(Duration time) {
    boost::asio::steady_timer timer(this->context, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  std::vector<std::shared_ptr<StopMailbox>> Listeners() const {
    return {this->stop};
  }

  /// @return a caller with one served request behind it.
  awaitable<TestCaller> ConnectServedCaller() {
    auto caller = co_await this->ConnectCaller();
    co_await caller.Write(ServiceGet("/first"));
    BOOST_TEST((co_await caller.Read()).result_int() == 200);
    co_return caller;
  }
};

// Guards against requests that have reached the host, but not yet the session,
// when a stop closes idle connections: in the kernel's buffer, read, or read
// and announced by a message that is queued behind the stop.
BOOST_AUTO_TEST_CASE(RequestThatArrivesJustBeforeTheStopIsAnswered) {
  constexpr int kMaxTurns = 12;
  for (int turns = 0; turns <= kMaxTurns; ++turns) {
    StopFixture entry;
    entry.Run([&]() -> awaitable<void> {
      auto caller = co_await entry.ConnectServedCaller();
      co_await entry.Sleep(milliseconds(1100));
      WriteNow(caller, ServiceGet("/second"));
      co_await Yield(entry, turns);
      Post(*entry.stop, HostStopping{});
      const auto response = co_await caller.Read();
      BOOST_TEST(!caller.error,
                 "after " << turns << " turns: " << caller.error);
      BOOST_TEST(response.result_int() == 200);
    });
  }
}

// Guards against connections that are closed between their opening and their
// first request: callers have just been sent there.
BOOST_AUTO_TEST_CASE(ConnectionThatWasJustOpenedIsNotClosedByAStop) {
  StopFixture entry;
  entry.Run([&]() -> awaitable<void> {
    auto before = co_await entry.ConnectCaller();
    co_await entry.Sleep(milliseconds(50));
    Post(*entry.stop, HostStopping{});
    co_await entry.Sleep(milliseconds(50));
    auto after = co_await entry.ConnectCaller();
    co_await entry.Sleep(milliseconds(300));
    for (TestCaller* caller : {&before, &after}) {
      co_await caller->Write(ServiceGet("/"));
      const auto response = co_await caller->Read();
      BOOST_TEST(!caller->error, caller->error);
      BOOST_TEST(response.result_int() == 200);
      BOOST_TEST(response["Connection"] == "close");
    }
  });
}

// Guards against connections that a stopping host never closes because they
// were opened after it had closed the idle ones.
BOOST_AUTO_TEST_CASE(IdleConnectionsOfAStoppingHostAreClosedAfterASecond) {
  StopFixture entry;
  entry.Run([&]() -> awaitable<void> {
    auto before = co_await entry.ConnectServedCaller();
    Post(*entry.stop, HostStopping{});
    auto after = co_await entry.ConnectCaller();
    const auto start = std::chrono::steady_clock::now();
    for (TestCaller* caller : {&before, &after}) {
      co_await caller->ReadUntil("x");
      BOOST_TEST((caller->error == boost::asio::error::eof));
    }
    const auto elapsed = std::chrono::steady_clock::now() - start;
    BOOST_TEST((elapsed > milliseconds(800) && elapsed < seconds(5)));
  });
}

// Guards against a connection that was announced as kept, and is closed with
// the caller's next request on its way or already read.
BOOST_AUTO_TEST_CASE(ConnectionThatWasAnnouncedAsKeptServesTheNextRequest) {
  StopFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "body"},
       .waits_for_allow = true});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/1"));
    entry.target.Allow();
    co_await entry.WaitUntil([&] { return entry.target.pieces_sent == 1; });
    co_await entry.Sleep(milliseconds(50));
    Post(*entry.stop, HostStopping{});
    co_await caller.Write(ServiceGet("/2"));
    co_await entry.Sleep(milliseconds(50));
    entry.target.Allow();
    const auto first = co_await caller.Read();
    BOOST_TEST(first["Connection"] != "close");
    BOOST_TEST(first.body() == "body");
    const auto second = co_await caller.Read();
    BOOST_TEST(!caller.error);
    BOOST_TEST(second.result_int() == 200);
    BOOST_TEST(second["Connection"] == "close");
  });
}

// Guards against a request that was read ahead and is dropped because the
// response before it closes the connection.
BOOST_AUTO_TEST_CASE(RequestReadAheadDuringAStopIsAnswered) {
  StopFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"},
       .waits_for_allow = true});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/1"));
    co_await entry.WaitUntil([&] { return !entry.target.requests.empty(); });
    Post(*entry.stop, HostStopping{});
    co_await caller.Write(ServiceGet("/2"));
    co_await entry.Sleep(milliseconds(100));
    entry.target.Allow();
    BOOST_TEST((co_await caller.Read()).body() == "body");
    BOOST_TEST((co_await caller.Read()).result_int() == 200);
    BOOST_TEST(!caller.error);
  });
}

// Guards against a process that ends while callers wait in the queue of its
// listening socket, with their requests sent.
BOOST_AUTO_TEST_CASE(QueuedConnectionsAreServedBeforeTheListenerCloses) {
  constexpr int kCallers = 20;
  StopFixture entry;
  entry.Run([&]() -> awaitable<void> {
    Post(*entry.stop, HostStopping{});
    co_await entry.Sleep(milliseconds(20));
    const tcp::endpoint address = entry.acceptor->local_endpoint();
    std::vector<TestCaller> callers;
    for (int i = 0; i < kCallers; ++i) {
      TestCaller& caller = callers.emplace_back(entry.context);
      caller.socket.connect(address);
      WriteNow(caller, ServiceGet("/"));
    }
    bool has_ended = false;
    boost::asio::co_spawn(
        entry.context, CloseListeners(entry.Listeners(), seconds(5)),
        [&](const std::exception_ptr&, const ListenerClosed& closed) {
          BOOST_TEST((closed == ListenerClosed{.last_accepted = kCallers}));
          has_ended = true;
        });
    for (TestCaller& caller : callers) {
      const auto response = co_await caller.Read();
      BOOST_TEST(!caller.error, caller.error);
      BOOST_TEST(response["Connection"] == "close");
      caller.socket.close();
    }
    co_await entry.WaitUntil([&] { return has_ended; });
    boost::system::error_code error;
    std::ignore = TestCaller(entry.context).socket.connect(address, error);
    BOOST_TEST((error == boost::asio::error::connection_refused));
  });
}

// Guards against stops that don't tell what they cut.
BOOST_AUTO_TEST_CASE(ConnectionsThatDoNotEndAreReported) {
  StopFixture entry;
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write("GET /half");
    co_await entry.Sleep(milliseconds(50));
    const ListenerClosed closed =
        co_await CloseListeners(entry.Listeners(), milliseconds(100));
    BOOST_TEST(closed.open_connections == 1U);
  });
}

// Guards against the same race as at a stop: the next request of an idle
// connection arrives while its idle timeout is being handled.
BOOST_AUTO_TEST_CASE(RequestThatArrivesAtTheIdleTimeoutIsAnswered) {
  constexpr Duration kIdleTimeout = milliseconds(100);
  constexpr int kMaxTurns = 12;
  for (int turns = 0; turns <= kMaxTurns; ++turns) {
    EntryFixture entry(CallerLimits{.idle_timeout = kIdleTimeout});
    entry.Run([&]() -> awaitable<void> {
      auto caller = co_await entry.ConnectCaller();
      co_await caller.Write(ServiceGet("/1"));
      BOOST_TEST((co_await caller.Read()).result_int() == 200);
      // Holds the only thread until the timeout has expired.
      std::this_thread::sleep_for(2 * kIdleTimeout);
      co_await Yield(entry, turns);
      if (HasPeerClosed(caller)) {
        co_return;
      }
      WriteNow(caller, ServiceGet("/2"));
      const auto response = co_await caller.Read();
      BOOST_TEST(!caller.error,
                 "after " << turns << " turns: " << caller.error);
      BOOST_TEST(response.result_int() == 200);
    });
  }
}

}  // namespace
}  // namespace cicadaloft
