#define BOOST_TEST_MODULE core
#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/core/error_kind.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/memory_budget.h"
#include "cicadaloft/core/model_path.h"
#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/core/spawn.h"

namespace cicadaloft {
namespace {

constexpr int kErrorKindCount = static_cast<int>(ErrorKind::kInternal) + 1;

BOOST_AUTO_TEST_CASE(EveryErrorKindHasItsOwnInfoAndToken) {
  std::set<std::string_view> tokens;
  for (int i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    const ErrorInfo& info = GetErrorInfo(kind);
    BOOST_TEST((info.kind == kind));
    BOOST_TEST((ErrorKindFromToken(info.token) == kind));
    tokens.insert(info.token);
  }
  BOOST_TEST(tokens.size() == kErrorKindCount);
  BOOST_TEST(!ErrorKindFromToken("no such token").has_value());
}

boost::asio::awaitable<void> Throw(std::string what) {
  throw std::runtime_error(what);
  co_return;
}

// Guards against tasks that end silently while the process lives on.
BOOST_AUTO_TEST_CASE(AnExceptionThatLeavesATaskReachesItsHandler) {
  boost::asio::io_context context;
  std::vector<TaskFailure> failures;
  Spawn(context.get_executor(), "call", Throw("bad"),
        [&](const TaskFailure& failure) { failures.push_back(failure); });
  context.run();
  BOOST_TEST((failures == std::vector{TaskFailure{"call", "bad"}}));
  context.restart();
  Spawn(context.get_executor(), "accept loop", Throw("worse"), EndProcess{});
  BOOST_CHECK_EXCEPTION(context.run(), TaskFailed, [](const auto& failed) {
    return std::string(failed.what()) == "task accept loop: worse";
  });
}

BOOST_AUTO_TEST_CASE(HoldsOfABudgetNeverExceedIt) {
  const auto budget = std::make_shared<MemoryBudget>(100);
  {
    MemoryHold first(budget);
    MemoryHold second(budget);
    BOOST_TEST(first.Resize(60));
    BOOST_TEST(!second.Resize(41));
    BOOST_TEST(second.Resize(40));
    BOOST_TEST(first.Resize(10));
    BOOST_TEST(!second.Resize(91));
    const MemoryHold moved(std::move(second));
    BOOST_TEST(budget->held_bytes() == 50U);
  }
  BOOST_TEST(budget->held_bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(RendezvousHashingMovesOnlyKeysOfRemovedMember) {
  const std::array<std::string, 4> all = {"a", "b", "c", "d"};
  const auto pick = [&](const std::string& key, std::size_t members) {
    return *std::ranges::max_element(
        all.begin(), all.begin() + static_cast<std::ptrdiff_t>(members), {},
        [&](const std::string& member) {
          return RendezvousWeight(key, member);
        });
  };
  int moved = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::string key = std::to_string(i);
    const std::string before = pick(key, all.size());
    const std::string after = pick(key, all.size() - 1);
    moved += before != after ? 1 : 0;
    BOOST_TEST((before == "d" || before == after));
  }
  BOOST_TEST(moved > 150);
  BOOST_TEST(moved < 350);
}

BOOST_AUTO_TEST_CASE(ModelPathRoundTripsThroughText) {
  const ModelPath adapter{.model = ModelId("m"), .adapter = AdapterId("a")};
  BOOST_TEST((ParseModelPath(adapter.ToString()) == adapter));
  BOOST_TEST((ParseModelPath(adapter.Base().ToString()) == adapter.Base()));
  BOOST_TEST(ParseModelPath("m/a/b").adapter.value() == "a/b");
}

}  // namespace
}  // namespace cicadaloft
