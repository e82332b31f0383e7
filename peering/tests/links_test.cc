#define BOOST_TEST_MODULE links
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <optional>

#include "cicadaloft/peering/link_client.h"
#include "cicadaloft/peering/link_server.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

const std::string kSecret = "0123456789abcdef";
constexpr std::chrono::seconds kWaitTimeout{10};

LinkPeer Peer(const std::string& host) {
  return LinkPeer{.host = HostId(host)};
}

LinkSettings MakeSettings(const LinkPeer& self,
                          const std::string& secret,
                          std::shared_ptr<MemoryBudget> memory) {
  return LinkSettings{.self = self,
                      .secret = secret,
                      .ping_interval = std::chrono::milliseconds(50),
                      .receive_timeout = std::chrono::milliseconds(400),
                      .handshake_timeout = std::chrono::milliseconds(400),
                      .min_backoff = std::chrono::milliseconds(5),
                      .max_backoff = std::chrono::milliseconds(20),
                      .max_message_bytes = 4096,
                      .max_queued_bytes = 1 << 20,
                      .memory = std::move(memory)};
}

PeerMessage MakeMessage(std::uint64_t number, const std::string& name = "b") {
  return DemandReport{.host = HostId(name), .grant_number = number};
}

/// Collects the events of one end, in order of arrival.
struct EventCollector {
  explicit EventCollector(asio::io_context& context)
      : channel(std::make_shared<LinkEventChannel>(context, 100)) {
    asio::co_spawn(
        context, [this]() { return this->Collect(); }, asio::detached);
  }
  asio::awaitable<void> Collect() {
    while (this->channel->is_open()) {
      auto [error, event] = co_await this->channel->async_receive(
          asio::as_tuple(asio::use_awaitable));
      if (error) {
        co_return;
      }
      this->events.push_back(std::move(event));
    }
  }
  template <typename Event>
  std::size_t CountOf() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(this->events, [](const LinkEvent& event) {
          return std::holds_alternative<Event>(event);
        }));
  }

  LinkEventSink channel;
  std::deque<LinkEvent> events;
};

/// A server on host "b" and a client on host "a", on one io_context.
struct LinkFixture {
  asio::io_context context;
  EventCollector server_collector{context};
  EventCollector client_collector{context};
  std::shared_ptr<MemoryBudget> memory = MakePeerMemoryBudget();
  std::optional<LinkServer> server;
  std::optional<LinkClient> client;

  void Serve(const std::string& address = "127.0.0.1:0") {
    this->server.emplace(TakeValue(
        LinkServer::Open(this->context.get_executor(),
                         MakeSettings(Peer("b"), kSecret, this->memory),
                         address, this->server_collector.channel)));
  }
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->server->port());
  }
  void Connect(const std::string& address,
               const LinkPeer& self = Peer("a"),
               const std::string& secret = kSecret) {
    this->client.emplace(this->context.get_executor(),
                         LinkClient::Options{.settings = MakeSettings(
                                                 self, secret, this->memory),
                                             .address = address,
                                             .expected_peer = Peer("b")},
                         this->client_collector.channel);
  }
  template <typename Condition>
  bool RunUntil(Condition condition) {
    const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
      this->context.run_one_for(std::chrono::milliseconds(100));
    }
    return condition();
  }
  void RunFor(std::chrono::milliseconds time) { this->context.run_for(time); }
  bool IsUp() const {
    return this->client_collector.CountOf<LinkUp>() >
               this->client_collector.CountOf<LinkDown>() &&
           this->server_collector.CountOf<LinkUp>() >
               this->server_collector.CountOf<LinkDown>();
  }
};

BOOST_AUTO_TEST_SUITE(links)

BOOST_AUTO_TEST_CASE(MessagesAreDeliveredBothWaysAndSendToUnlinkedPeerFails) {
  LinkFixture fixture;
  fixture.Serve();
  fixture.Connect(fixture.Address());
  BOOST_REQUIRE(fixture.RunUntil([&] { return fixture.IsUp(); }));
  BOOST_TEST(fixture.client->Send(MakeMessage(1)));
  BOOST_TEST(fixture.client->Send(MakeMessage(2)));
  BOOST_TEST(fixture.server->Send(Peer("a"), MakeMessage(3, "a")));
  BOOST_TEST(!fixture.server->Send(Peer("c"), MakeMessage(4, "c")));
  BOOST_REQUIRE(fixture.RunUntil([&] {
    return fixture.server_collector.CountOf<LinkMessageReceived>() == 2 &&
           fixture.client_collector.CountOf<LinkMessageReceived>() == 1;
  }));
  BOOST_TEST((fixture.server_collector.events.back() ==
              LinkEvent(LinkMessageReceived{.peer = Peer("a"),
                                            .message = MakeMessage(2)})));
}

BOOST_AUTO_TEST_CASE(IdleLinkStaysUp) {
  LinkFixture fixture;
  fixture.Serve();
  fixture.Connect(fixture.Address());
  BOOST_REQUIRE(fixture.RunUntil([&] { return fixture.IsUp(); }));
  fixture.RunFor(std::chrono::milliseconds(1000));
  BOOST_TEST(fixture.client_collector.CountOf<LinkDown>() == 0);
  BOOST_TEST(fixture.server_collector.CountOf<LinkDown>() == 0);
}

BOOST_AUTO_TEST_CASE(ClientWithWrongSecretIsRefused) {
  LinkFixture fixture;
  fixture.Serve();
  fixture.Connect(fixture.Address(), Peer("a"), "fedcba9876543210");
  fixture.RunFor(std::chrono::milliseconds(300));
  BOOST_TEST(!fixture.client->Send(MakeMessage(1)));
  BOOST_TEST(fixture.client_collector.events.empty());
  BOOST_TEST(fixture.server_collector.events.empty());
}

BOOST_AUTO_TEST_CASE(MessageOverLimitClosesLinkAndClientReconnects) {
  LinkFixture fixture;
  fixture.Serve();
  fixture.Connect(fixture.Address());
  BOOST_REQUIRE(fixture.RunUntil([&] { return fixture.IsUp(); }));
  fixture.client->Send(MakeMessage(1, std::string(5000, 'x')));
  BOOST_TEST(fixture.RunUntil(
      [&] { return fixture.server_collector.CountOf<LinkDown>() == 1; }));
  BOOST_TEST(fixture.server_collector.CountOf<LinkMessageReceived>() == 0);
  BOOST_TEST(fixture.RunUntil([&] { return fixture.IsUp(); }));
}

BOOST_AUTO_TEST_CASE(LinkOverQueueLimitIsClosed) {
  LinkFixture fixture;
  fixture.Serve();
  fixture.Connect(fixture.Address());
  BOOST_REQUIRE(fixture.RunUntil([&] { return fixture.IsUp(); }));
  const PeerMessage message = MakeMessage(1, std::string(4000, 'x'));
  int sent = 0;
  while (sent < 1000 && fixture.client->Send(message)) {
    ++sent;
  }
  BOOST_TEST(sent > 200);
  BOOST_TEST(sent < 300);
  BOOST_TEST(fixture.RunUntil(
      [&] { return fixture.client_collector.CountOf<LinkDown>() == 1; }));
}

// Guards against messages that fill the host's memory on many links at once.
BOOST_AUTO_TEST_CASE(LinkWithoutMemoryForItsMessagesIsClosed) {
  LinkFixture fixture;
  fixture.memory = std::make_shared<MemoryBudget>(100'000);
  fixture.Serve();
  fixture.Connect(fixture.Address());
  BOOST_REQUIRE(fixture.RunUntil([&] { return fixture.IsUp(); }));
  const PeerMessage message = MakeMessage(1, std::string(4000, 'x'));
  int sent = 0;
  while (sent < 1000 && fixture.client->Send(message)) {
    ++sent;
  }
  BOOST_TEST(sent > 15);
  BOOST_TEST(sent < 30);
  BOOST_TEST(fixture.RunUntil(
      [&] { return fixture.client_collector.CountOf<LinkDown>() == 1; }));
  BOOST_TEST(fixture.RunUntil([&] { return fixture.IsUp(); }));
  BOOST_TEST(fixture.memory->held_bytes() < 1000U);
}

BOOST_AUTO_TEST_CASE(SilentPeerIsDisconnected) {
  // A relay between the ends stops forwarding bytes but keeps its sockets open.
  LinkFixture fixture;
  fixture.Serve();
  tcp::acceptor acceptor(fixture.context,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  bool is_forwarding = true;
  const auto relay = [&](tcp::socket& from, tcp::socket& to) {
    return [&from, &to, &is_forwarding]() -> asio::awaitable<void> {
      std::array<char, 4096> bytes{};
      while (from.is_open()) {
        const std::size_t count = co_await from.async_read_some(
            asio::buffer(bytes), asio::use_awaitable);
        if (is_forwarding) {
          co_await to.async_write_some(asio::buffer(bytes, count),
                                       asio::use_awaitable);
        }
      }
    };
  };
  tcp::socket client_side(fixture.context);
  tcp::socket server_side(fixture.context);
  server_side.connect(
      tcp::endpoint(asio::ip::address_v4::loopback(), fixture.server->port()));
  acceptor.async_accept(client_side, [&](boost::system::error_code) {
    asio::co_spawn(fixture.context, relay(client_side, server_side),
                   asio::detached);
    asio::co_spawn(fixture.context, relay(server_side, client_side),
                   asio::detached);
  });
  fixture.Connect("127.0.0.1:" +
                  std::to_string(acceptor.local_endpoint().port()));
  BOOST_REQUIRE(fixture.RunUntil([&] { return fixture.IsUp(); }));
  is_forwarding = false;
  BOOST_TEST(fixture.RunUntil([&] {
    return fixture.client_collector.CountOf<LinkDown>() == 1 &&
           fixture.server_collector.CountOf<LinkDown>() == 1;
  }));
}

BOOST_AUTO_TEST_CASE(ClientReconnectsAfterServerRestart) {
  LinkFixture fixture;
  fixture.Serve();
  const std::string address = fixture.Address();
  fixture.Connect(address);
  BOOST_REQUIRE(fixture.RunUntil([&] { return fixture.IsUp(); }));
  fixture.server.reset();
  BOOST_REQUIRE(fixture.RunUntil(
      [&] { return fixture.client_collector.CountOf<LinkDown>() == 1; }));
  fixture.RunFor(std::chrono::milliseconds(50));
  fixture.Serve(address);
  BOOST_TEST(fixture.RunUntil([&] { return fixture.IsUp(); }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
