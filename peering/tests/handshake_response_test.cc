#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "cicadaloft/peering/link_client.h"
#include "cicadaloft/websocket/websocket_engine.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t kMaxMessageBytes = 4096;

/// A part of a server's handshake response, and what is sent in its place.
struct Replacement {
  std::string part;
  std::string text;
};

/// A server that replaces a part of its handshake response.
struct HandshakeServer {
  explicit HandshakeServer(Replacement replacement)
      : replacement(std::move(replacement)) {
    asio::co_spawn(
        this->context, [this]() { return this->Serve(); }, asio::detached);
    this->client.emplace(
        this->context.get_executor(),
        LinkClient::Options{
            .settings = {.self = {.host = HostId("a")},
                         .secret = "0123456789abcdef",
                         .handshake_timeout = std::chrono::seconds(5),
                         .min_backoff = std::chrono::seconds(5),
                         .max_backoff = std::chrono::seconds(5),
                         .max_message_bytes = kMaxMessageBytes,
                         .memory = MakePeerMemoryBudget()},
            .address = "127.0.0.1:" +
                       std::to_string(this->acceptor.local_endpoint().port()),
            .expected_peer = LinkPeer{.host = HostId("b")}},
        std::make_shared<LinkEventChannel>(this->context, 10));
  }

  asio::awaitable<void> Serve() {
    tcp::socket peer =
        co_await this->acceptor.async_accept(asio::use_awaitable);
    WebSocketEngine engine(WebSocketEngine::Role::kServer, kMaxMessageBytes);
    std::array<std::uint8_t, kMaxMessageBytes> bytes{};
    while (!this->has_ended) {
      const auto [error, count] = co_await peer.async_read_some(
          asio::buffer(bytes), asio::as_tuple(asio::use_awaitable));
      engine.Feed(bytes.data(), count);
      this->has_hello = !engine.TakeMessages().empty();
      this->has_ended = error || this->has_hello;
      const auto output = engine.TakeOutput();
      std::string text(output.begin(), output.end());
      const std::size_t start = text.find(this->replacement.part);
      if (start != std::string::npos) {
        text.replace(start, this->replacement.part.size(),
                     this->replacement.text);
      }
      co_await asio::async_write(peer, asio::buffer(text),
                                 asio::as_tuple(asio::use_awaitable));
    }
  }

  /// @return whether the client has accepted the response and sent its hello.
  bool IsAccepted() {
    const auto deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!this->has_ended && std::chrono::steady_clock::now() < deadline) {
      this->context.run_one_for(std::chrono::milliseconds(100));
    }
    BOOST_TEST(this->has_ended);
    return this->has_hello;
  }

  asio::io_context context;
  tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
  Replacement replacement;
  bool has_hello = false;
  bool has_ended = false;
  std::optional<LinkClient> client;
};

BOOST_AUTO_TEST_SUITE(handshake_response)

BOOST_AUTO_TEST_CASE(SoundResponsesAreAccepted) {
  const std::string line = "\r\nUpgrade:";
  for (const Replacement& sound :
       {Replacement{"no such part", ""}, Replacement{line, "\r\nEmpty:" + line},
        Replacement{line, "\r\nName: caf\xc3\xa9" + line}}) {
    BOOST_TEST_CONTEXT(sound.text) {
      BOOST_TEST(HandshakeServer(sound).IsAccepted());
    }
  }
}

BOOST_AUTO_TEST_CASE(OtherStatusesAreRefused) {
  for (const std::string status : {"000", "001", "100", "103", "200", "999"}) {
    BOOST_TEST_CONTEXT("status " << status) {
      BOOST_TEST(!HandshakeServer({" 101 ", " " + status + " "}).IsAccepted());
    }
  }
}

// Guards against a link over something that doesn't speak HTTP: the library
// checks neither values nor whether a name is empty.
BOOST_AUTO_TEST_CASE(InvalidFieldsAreRefused) {
  const std::string line = "\r\nUpgrade:";
  for (const std::string field :
       {"Bad Name: 1", "Bad\tName: 1", "Bad\x01Name: 1", "Bad\x7fName: 1",
        "Name: a\x01z", "(): 1", ": 1"}) {
    BOOST_TEST_CONTEXT("field '" << field << "'") {
      const std::string added = "\r\n" + field;
      BOOST_TEST(!HandshakeServer({line, added + line}).IsAccepted());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
