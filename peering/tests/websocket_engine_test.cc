#include "cicadaloft/websocket/websocket_engine.h"

#include <boost/test/unit_test.hpp>

namespace cicadaloft {
namespace {

using Role = WebSocketEngine::Role;
using State = WebSocketEngine::State;
using Bytes = WebSocketEngine::Bytes;

constexpr std::size_t kMaxMessageBytes = 100000;

/// Delivers the output of both ends to each other until neither has any, in
/// chunks of at most `max_chunk_bytes` bytes.
void Exchange(WebSocketEngine& left,
              WebSocketEngine& right,
              std::size_t max_chunk_bytes) {
  const auto deliver = [&](const Bytes& bytes, WebSocketEngine& to) {
    for (std::size_t offset = 0; offset < bytes.size();
         offset += max_chunk_bytes) {
      to.Feed(bytes.data() + offset,
              std::min(max_chunk_bytes, bytes.size() - offset));
    }
  };
  while (left.PendingOutputBytes() + right.PendingOutputBytes() > 0) {
    deliver(left.TakeOutput(), right);
    deliver(right.TakeOutput(), left);
  }
}

BOOST_AUTO_TEST_SUITE(websocket_engine)

BOOST_AUTO_TEST_CASE(MessagesArriveBothWaysWhateverTheChunkSize) {
  WebSocketEngine client(Role::kClient, kMaxMessageBytes);
  WebSocketEngine server(Role::kServer, kMaxMessageBytes);
  BOOST_TEST((client.state() == State::kConnecting));
  Exchange(client, server, 1);
  BOOST_TEST(
      (client.state() == State::kOpen && server.state() == State::kOpen));
  const Bytes large(70000, 7);
  client.Send({1, 2});
  client.Send(large);
  client.Ping();
  server.Send({3});
  Exchange(client, server, 1000);
  BOOST_TEST((server.TakeMessages() == std::vector<Bytes>{{1, 2}, large}));
  BOOST_TEST((client.TakeMessages() == std::vector<Bytes>{{3}}));
}

BOOST_AUTO_TEST_CASE(MessageOverLimitClosesConnection) {
  WebSocketEngine client(Role::kClient, kMaxMessageBytes);
  WebSocketEngine server(Role::kServer, 10);
  Exchange(client, server, 1000);
  client.Send(Bytes(11, 1));
  Exchange(client, server, 1000);
  BOOST_TEST((server.state() == State::kClosed));
  BOOST_TEST(server.TakeMessages().empty());
}

BOOST_AUTO_TEST_CASE(PlainHttpRequestIsRejected) {
  WebSocketEngine server(Role::kServer, kMaxMessageBytes);
  const std::string text = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  server.Feed(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
  BOOST_TEST((server.state() == State::kClosed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
