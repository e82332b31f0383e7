#ifndef CICADALOFT_PEERING_LINK_SESSION_H_
#define CICADALOFT_PEERING_LINK_SESSION_H_

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/channel.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "cicadaloft/core/result.h"
#include "cicadaloft/peering/link_channel.h"
#include "cicadaloft/peering/link_messages.h"
#include "cicadaloft/telemetry/log.h"
#include "cicadaloft/websocket/websocket_engine.h"
#include "link_auth.h"

namespace cicadaloft {

/// One connection of a link, at either end: authenticates the peer, then
/// transfers messages until the connection breaks. The owner must keep the
/// session alive while a member function runs.
class LinkSession {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  LinkSession(Socket socket, LinkRole role, const LinkSettings& settings);

  /// @param expected_peer the only peer that a client accepts; none for a
  /// server.
  /// @return the authenticated peer, or kLinkRefused. Until it returns, only
  /// handshake messages are decoded.
  boost::asio::awaitable<Result<LinkPeer>> Authenticate(
      std::optional<LinkPeer> expected_peer);

  /// Transfers messages until the connection breaks or Close() is called.
  /// @return the reason for the end, for logs.
  boost::asio::awaitable<std::string> Run(LinkPeer peer, LinkEventSink sink);

  /// Queues a message.
  /// @return false if the session is closed, or was closed because more than
  /// LinkSettings::max_queued_bytes were unsent.
  bool Send(const PeerMessage& message);
  /// As Send(), for a message that is encoded already.
  bool SendEncoded(const std::vector<std::uint8_t>& message);
  void Close(const std::string& reason);

 private:
  using Bytes = WebSocketEngine::Bytes;

  boost::asio::awaitable<Result<LinkPeer>> PerformHandshake(
      std::optional<LinkPeer> expected_peer);
  boost::asio::awaitable<Result<LinkPeer>> AuthenticateAsClient(
      std::optional<LinkPeer> expected_peer);
  boost::asio::awaitable<Result<LinkPeer>> AuthenticateAsServer();
  boost::asio::awaitable<std::optional<Bytes>> ReceiveMessage();
  boost::asio::awaitable<bool> SendAndFlush(Bytes message);
  boost::asio::awaitable<bool> ReadSome();
  boost::asio::awaitable<bool> Flush();
  boost::asio::awaitable<void> ReadMessages(LinkPeer peer, LinkEventSink sink);
  boost::asio::awaitable<void> WriteOutput();
  boost::asio::awaitable<void> KeepAlive();
  boost::asio::awaitable<void> WaitForHandshakeTimeout();

  static constexpr std::size_t kReadBufferBytes = 16384;

  Socket socket;
  LinkRole role;
  const LinkSettings settings;
  const Log log{"peering"};
  WebSocketEngine engine;
  std::deque<Bytes> inbox;
  std::array<std::uint8_t, kReadBufferBytes> read_buffer{};
  std::size_t bytes_in_flight = 0;
  std::size_t incomplete_bytes = 0;  ///< Received since the last message.
  MemoryHold received_memory{this->settings.memory};
  MemoryHold unsent_memory{this->settings.memory};
  /// Wakes WriteOutput().
  boost::asio::experimental::channel<void(boost::system::error_code)>
      write_signal;
  boost::asio::steady_timer timer;
  std::chrono::steady_clock::time_point last_received;
  bool is_closed = false;
  std::string close_reason;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PEERING_LINK_SESSION_H_
