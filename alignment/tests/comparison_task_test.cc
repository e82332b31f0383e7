#define BOOST_TEST_MODULE comparison_task
#include "cicadaloft/alignment/comparison_task.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <stdexcept>
#include <string>
#include <vector>

namespace cicadaloft {
namespace {

/// Answers at once, except for a host that is slow and one whose call fails.
struct ScriptedClient {
  boost::asio::awaitable<ConfigurationsCompared> Compare(
      CompareConfigurations call) {
    if (call.host == HostId("slow")) {
      boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                      std::chrono::milliseconds(20));
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    if (call.host == HostId("broken")) {
      throw std::runtime_error("no call");
    }
    co_return ConfigurationsCompared{.host = call.host,
                                     .version = call.version};
  }
};

// Guards against requests that wait for good for a comparison whose call has
// failed, or for a host that is slower than theirs.
BOOST_AUTO_TEST_CASE(EachComparisonHasAnOutcomeOfItsOwn) {
  boost::asio::io_context context;
  const auto inbox = std::make_shared<ComparisonMailbox>(
      context.get_executor(), kComparisonMailboxCapacity);
  const auto outcomes = std::make_shared<std::vector<ConfigurationsCompared>>();
  const auto report = [outcomes](const ConfigurationsCompared& compared) {
    outcomes->push_back(compared);
  };
  ComparisonTask task(context.get_executor(), ScriptedClient{}, inbox, report);
  boost::asio::co_spawn(context, task.Run(), boost::asio::detached);
  for (const std::string host : {"slow", "broken", "quick"}) {
    Post(*inbox, CompareConfigurations{.host = HostId(host),
                                       .version = ConfigurationVersion(3)});
  }
  context.run_for(std::chrono::milliseconds(200));
  BOOST_REQUIRE(outcomes->size() == 3U);
  BOOST_TEST((outcomes->at(0).host == HostId("broken")));
  BOOST_TEST(!outcomes->at(0).version);
  BOOST_TEST((outcomes->at(1).host == HostId("quick")));
  BOOST_TEST((outcomes->at(1).version == ConfigurationVersion(3)));
  BOOST_TEST((outcomes->at(2).host == HostId("slow")));
  inbox->Close();
}

}  // namespace
}  // namespace cicadaloft
