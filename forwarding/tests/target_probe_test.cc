#define BOOST_TEST_MODULE target_probe
#include "cicadaloft/forwarding/target_probe.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using boost::asio::awaitable;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr char kRequest[] = "GET /probe HTTP/1.1\r\nHost: t\r\n\r\n";
constexpr Duration kTimeout = milliseconds(300);

/// The outcome of a probe, and how long it took.
struct Probed {
  bool is_reached = false;
  std::chrono::steady_clock::duration time{};
};

Probed Probe(EntryFixture& entry, const std::string& address) {
  Probed probed;
  entry.Run([&]() -> awaitable<void> {
    const auto start = std::chrono::steady_clock::now();
    probed.is_reached = co_await IsTargetReached(address, kRequest, kTimeout);
    probed.time = std::chrono::steady_clock::now() - start;
  });
  return probed;
}

std::string AddressOf(const tcp::acceptor& acceptor) {
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

// Guards against probes that count a status of the target, or leave their
// connection open.
BOOST_AUTO_TEST_CASE(AnyResponseShowsThatTheTargetIsReached) {
  EntryFixture entry;
  entry.target.scripts.push_back({.pieces = {"HTTP/1.1 500 No\r\n"}});
  entry.Run([&]() -> awaitable<void> {
    const bool is_reached =
        co_await IsTargetReached(entry.target.Address(), kRequest, kTimeout);
    BOOST_TEST(is_reached);
    co_await entry.WaitUntil([&] { return entry.target.closed_by_peer == 1U; });
  });
  BOOST_TEST(entry.target.requests.at(0).target() == "/probe");
}

// Guards against a hanging link that passes for a reached target, as its kernel
// still accepts connections, and against probes that take longer than allowed.
BOOST_AUTO_TEST_CASE(SilentPeerIsNotReached) {
  EntryFixture entry;
  const tcp::acceptor silent(entry.context,
                             {boost::asio::ip::address_v4::loopback(), 0});
  const Probed probed = Probe(entry, AddressOf(silent));
  BOOST_TEST(!probed.is_reached);
  BOOST_TEST((probed.time >= kTimeout));
  BOOST_TEST((probed.time < kTimeout + milliseconds(300)));
}

// Guards against probes that wait for their timeout after a failure.
BOOST_AUTO_TEST_CASE(RefusedAndClosedConnectionsFailAtOnce) {
  EntryFixture entry;
  entry.target.scripts.push_back({.after = TargetScript::After::kClose});
  std::string unused;
  {
    const tcp::acceptor closed(entry.context,
                               {boost::asio::ip::address_v4::loopback(), 0});
    unused = AddressOf(closed);
  }
  for (const std::string& address :
       {entry.target.Address(), unused, std::string("nowhere")}) {
    BOOST_TEST_CONTEXT(address) {
      const Probed probed = Probe(entry, address);
      BOOST_TEST(!probed.is_reached);
      BOOST_TEST((probed.time < kTimeout));
    }
    entry.context.restart();
  }
}

}  // namespace
}  // namespace cicadaloft
