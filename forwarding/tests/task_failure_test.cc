#define BOOST_TEST_MODULE task_failure
#include <boost/test/unit_test.hpp>

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

}  // namespace
}  // namespace cicadaloft
