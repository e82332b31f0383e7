#define BOOST_TEST_MODULE task_failure
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <stdexcept>
#include <tuple>
#include <vector>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using boost::asio::awaitable;

// Guards against callers that wait for ever, and attempts that stay open, when
// an exception has ended an exchange.
BOOST_AUTO_TEST_CASE(AnExceptionInAnExchangeCostsOnlyItsRequest) {
  EntryFixture entry;
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet(kFaultyPath));
    BOOST_TEST((co_await caller.Read()).result_int() == 500);
    co_await caller.Write(ServiceGet("/"));
    BOOST_TEST((co_await caller.Read()).body() == "ok");
    co_await entry.WaitForEndedAttempts(2);
  });
}

struct FaultyCallerProtocol {
  static constexpr bool kHasFractionalRetryAfter = false;
  static constexpr bool kHasRunState = false;

  static Result<CallerRequest> ParseRequest(const RequestId& id,
                                            const RawRequest& raw) {
    if (raw.path.ends_with("/faulty")) {
      throw std::runtime_error("faulty");
    }
    return NativeProtocol::ParseRequest(id, raw);
  }
};

// Guards against connections that stay open and count for ever when an
// exception has ended their reader.
BOOST_AUTO_TEST_CASE(AnExceptionInAReaderCostsOnlyItsConnection) {
  EntryFixture entry;
  const auto acceptor = std::make_shared<boost::asio::ip::tcp::acceptor>(
      entry.context, boost::asio::ip::tcp::endpoint(
                         boost::asio::ip::address_v4::loopback(), 0));
  const std::uint16_t port = acceptor->local_endpoint().port();
  const auto stop =
      std::make_shared<StopMailbox>(entry.context.get_executor(), 1);
  boost::asio::co_spawn(entry.context,
                        RunCallerListener<FaultyCallerProtocol>(
                            acceptor, "h1-2", entry.inbox, stop, {}),
                        boost::asio::detached);
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller(port);
    co_await caller.Write(ServiceGet("/faulty"));
    co_await caller.ReadUntil("never");
    BOOST_TEST(caller.error == boost::asio::error::eof);
    auto other = co_await entry.ConnectCaller(port);
    co_await other.Write(ServiceGet("/"));
    BOOST_TEST((co_await other.Read()).body() == "ok");
    boost::system::error_code ignored;
    std::ignore = other.socket.close(ignored);
    const std::vector<std::shared_ptr<StopMailbox>> listeners(1, stop);
    const auto closed =
        co_await CloseListeners(listeners, std::chrono::seconds(2));
    BOOST_TEST(closed.open_connections == 0U);
  });
}

}  // namespace
}  // namespace cicadaloft
