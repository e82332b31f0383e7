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
#include "cicadaloft/websocket/websocket_engine.h"
#include "link_auth.h"

namespace cicadaloft {

/// One connection of a link, at either end: authenticates the other end, then
/// carries messages until it breaks. Its owner keeps it alive while a member
/// function runs.
class LinkSession {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  LinkSession(Socket socket, LinkSide side, const LinkSettings& settings);

  /// @param expected the peer that a client wants; none for a server.
  /// @return who stands at the other end, or kLinkRefused. Nothing but
  /// handshake messages is decoded before.
  boost::asio::awaitable<Result<LinkPeer>> Authenticate(
      std::optional<LinkPeer> expected);

  /// Carries messages until the link breaks or Close() is called.
  /// @return why it has ended.
  boost::asio::awaitable<std::string> Run(LinkPeer peer, LinkEventSink sink);

  /// @return false if the session has ended or too many bytes wait.
  bool Send(const PeerMessage& message);
  void Close(const std::string& reason);

 private:
  using Bytes = WebSocketEngine::Bytes;

  boost::asio::awaitable<Result<LinkPeer>> ExchangeProofs(
      std::optional<LinkPeer> expected);
  boost::asio::awaitable<Result<LinkPeer>> ProveAsClient(
      std::optional<LinkPeer> expected);
  boost::asio::awaitable<Result<LinkPeer>> ProveAsServer();
  boost::asio::awaitable<std::optional<Bytes>> ReceiveMessage();
  boost::asio::awaitable<bool> SendNow(Bytes message);
  boost::asio::awaitable<bool> Fill();
  boost::asio::awaitable<bool> Flush();
  boost::asio::awaitable<void> Read(LinkPeer peer, LinkEventSink sink);
  boost::asio::awaitable<void> Write();
  boost::asio::awaitable<void> KeepAlive();
  boost::asio::awaitable<void> Expire();

  static constexpr std::size_t kReadBytes = 16384;

  Socket socket;
  LinkSide side;
  const LinkSettings settings;
  WebSocketEngine engine;
  std::deque<Bytes> inbox;
  std::array<std::uint8_t, kReadBytes> read_buffer{};
  std::size_t bytes_in_flight = 0;
  boost::asio::experimental::channel<void(boost::system::error_code)> output;
  boost::asio::steady_timer timer;
  std::chrono::steady_clock::time_point last_received;
  bool is_closed = false;
  std::string close_reason;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PEERING_LINK_SESSION_H_
