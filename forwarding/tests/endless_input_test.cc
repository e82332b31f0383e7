#define BOOST_TEST_MODULE endless_input
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <fstream>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using boost::asio::awaitable;
using After = TargetScript::After;

/// One peer may make the process hold this much more. The sanitizers keep freed
/// memory.
#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t kMaxGrowthBytes = std::size_t{256} << 20;
#else
constexpr std::size_t kMaxGrowthBytes = std::size_t{8} << 20;
#endif

std::size_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

constexpr char kChunkedHead[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Starts of responses, after each of which bytes without a line end follow.
const std::vector<std::string> kResponseStarts = {
    "HTTP/1.1 200 ",
    "HTTP/1.1 200 OK\r\nX-Long: ",
    std::string(kChunkedHead),
    std::string(kChunkedHead) + "5;extension=",
    std::string(kChunkedHead) + "5\r\nhello\r\n",
    std::string(kChunkedHead) + "5\r\nhello\r\n0\r\nX-Trailer: "};

// Guards against a host that runs out of memory because a target sends bytes
// that are no response, in a head or a body, without an end.
BOOST_AUTO_TEST_CASE(TargetThatSendsBytesWithoutEndCostsItsOwnRequest) {
  for (const std::string& start : kResponseStarts) {
    BOOST_TEST_CONTEXT("after '" << start << "'") {
      EntryFixture entry;
      entry.plan->response_timeout = std::chrono::seconds(2);
      entry.target.scripts.push_back(
          {.pieces = {start, std::string(65536, 'x')},
           .after = After::kClose,
           .repeats_last_piece = true});
      const std::size_t before = ResidentBytes();
      std::string other;
      bool is_whole = true;
      entry.Run([&]() -> awaitable<void> {
        auto caller = co_await entry.ConnectCaller();
        co_await caller.Write(ServiceGet("/"));
        const auto response = co_await caller.Read();
        is_whole = !caller.error && response.result_int() == 200;
        co_await entry.WaitForEndedAttempts(1);
        auto next = co_await entry.ConnectCaller();
        co_await next.Write(ServiceGet("/"));
        other = (co_await next.Read()).body();
      });
      BOOST_TEST(!is_whole);
      BOOST_TEST(other == "ok");
      BOOST_TEST(ResidentBytes() - before < kMaxGrowthBytes);
      BOOST_TEST(
          (entry.Outcomes().at(0) == AttemptOutcome::kOversizedResponse));
    }
  }
}

// Guards against the same from a caller.
BOOST_AUTO_TEST_CASE(CallerThatSendsBytesWithoutEndIsDisconnected) {
  const std::string head =
      "POST /services/c/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
      "chunked\r\n\r\n";
  for (const std::string& start :
       {std::string(), std::string("GET /services/c/ HTTP/1.1\r\nX-Long: "),
        head, head + "5;extension=", head + "5\r\nhello\r\n0\r\nX-Trailer: "}) {
    BOOST_TEST_CONTEXT("after '" << start << "'") {
      EntryFixture entry;
      const std::size_t before = ResidentBytes();
      unsigned status = 0;
      entry.Run([&]() -> awaitable<void> {
        auto caller = co_await entry.ConnectCaller();
        co_await caller.Write(start + std::string(1'000'000, 'x'));
        status = (co_await caller.Read()).result_int();
      });
      BOOST_TEST((status == 431 || status == 400));
      BOOST_TEST(ResidentBytes() - before < kMaxGrowthBytes);
    }
  }
}

BOOST_AUTO_TEST_CASE(HeadUpToTheLimitIsForwarded) {
  for (const auto& [size, status] :
       {std::pair(std::size_t{14'000}, 200U), {std::size_t{20'000}, 502U}}) {
    EntryFixture entry;
    entry.target.scripts.push_back(
        {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Long: " +
                    std::string(size, 'x') + "\r\n\r\nok"}});
    BOOST_TEST(entry.ResponseTo(ServiceGet("/")).result_int() == status);
  }
}

BOOST_AUTO_TEST_CASE(LongHeadIsDroppedWithoutMemory) {
  const auto memory = std::make_shared<MemoryBudget>(10'000);
  EntryFixture entry({}, TargetLimits{.memory = memory});
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Long: " +
                  std::string(10'000, 'x') + "\r\n\r\nok"}});
  BOOST_TEST(entry.ResponseTo(ServiceGet("/")).result_int() == 502);
  BOOST_TEST((entry.Outcomes().at(0) == AttemptOutcome::kMemoryLimit));
  BOOST_TEST(memory->held_bytes() == 0U);
}

// Guards against callers that together make a host hold more than it has.
BOOST_AUTO_TEST_CASE(BodiesOfAllCallersShareOneBudget) {
  constexpr std::size_t kBodyBytes = 100'000;
  const auto memory = std::make_shared<MemoryBudget>(kBodyBytes + 50'000);
  EntryFixture entry(CallerLimits{.memory = memory});
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
       .waits_for_allow = true});
  const std::string post =
      "POST /services/catalogue/ HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "
      "k1.secret-text\r\nContent-Length: " +
      std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes, 'b');
  std::vector<unsigned> statuses;
  std::string kind;
  entry.Run([&]() -> awaitable<void> {
    auto first = co_await entry.ConnectCaller();
    co_await first.Write(post);
    co_await entry.WaitUntil([&] { return entry.target.requests.size() == 1; });
    auto second = co_await entry.ConnectCaller();
    co_await second.Write(post);
    const auto refusal = co_await second.Read();
    kind = refusal.body();
    statuses.push_back(refusal.result_int());
    entry.target.Allow();
    statuses.push_back((co_await first.Read()).result_int());
    auto third = co_await entry.ConnectCaller();
    co_await entry.WaitUntil([&] { return memory->held_bytes() == 0; });
    co_await third.Write(post);
    statuses.push_back((co_await third.Read()).result_int());
  });
  BOOST_TEST((statuses == std::vector<unsigned>{503, 200, 200}));
  BOOST_TEST(kind.find("memory_limit") != std::string::npos);
}

}  // namespace
}  // namespace cicadaloft
