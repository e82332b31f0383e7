#include "link_session.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <iterator>
#include <tuple>
#include <utility>
#include <vector>

#include "cicadaloft/peering/link_codec.h"
#include "cicadaloft/responses/response_rules.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;
using asio::experimental::awaitable_operators::operator||;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

Error LinkRefusedError(std::string message) {
  return MakeError(ErrorKind::kLinkRefused, std::move(message));
}

WebSocketEngine::Role EngineRole(LinkRole role) {
  return role == LinkRole::kClient ? WebSocketEngine::Role::kClient
                                   : WebSocketEngine::Role::kServer;
}

std::optional<HeadDefect> FindHandshakeDefect(const WebSocketEngine& engine) {
  const WebSocketEngine::HandshakeResponse response =
      engine.handshake_response();
  ReceivedHead head{.status = response.status,
                    .reason_phrase = response.reason_phrase,
                    .request = RequestKind::kUpgrade};
  std::ranges::transform(
      response.fields, std::back_inserter(head.fields), [](const auto& field) {
        return HeaderField{.name = field.first, .value = field.second};
      });
  return FindDefect(head);
}

}  // namespace

LinkSession::LinkSession(Socket socket,
                         LinkRole role,
                         const LinkSettings& settings)
    : socket(std::move(socket)),
      role(role),
      settings(settings),
      engine(EngineRole(role), kMaxHandshakeMessageBytes),
      write_signal(this->socket.get_executor(), 1),
      timer(this->socket.get_executor()),
      last_received(std::chrono::steady_clock::now()) {
  boost::system::error_code ignored;
  std::ignore = this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<Result<LinkPeer>> LinkSession::Authenticate(
    std::optional<LinkPeer> expected_peer) {
  auto outcome = co_await (this->PerformHandshake(std::move(expected_peer)) ||
                           this->WaitForHandshakeTimeout());
  if (outcome.index() != 0) {
    this->Close("handshake timeout");
    co_return LinkRefusedError("the handshake timed out");
  }
  Result<LinkPeer> peer = std::get<0>(std::move(outcome));
  if (!IsOk(peer)) {
    this->Close(ErrorOf(peer).message);
    co_return peer;
  }
  this->engine.SetMaxMessageBytes(this->settings.max_message_bytes);
  co_return peer;
}

asio::awaitable<Result<LinkPeer>> LinkSession::PerformHandshake(
    std::optional<LinkPeer> expected_peer) {
  while (this->engine.state() == WebSocketEngine::State::kConnecting) {
    const bool has_flushed = co_await this->Flush();
    const bool has_read = has_flushed && co_await this->ReadSome();
    if (!has_read) {
      co_return LinkRefusedError("the connection closed during the handshake");
    }
  }
  co_await this->Flush();
  if (this->role == LinkRole::kClient) {
    if (this->engine.state() != WebSocketEngine::State::kOpen) {
      co_return LinkRefusedError("the server refused the handshake");
    }
    if (const auto defect = FindHandshakeDefect(this->engine)) {
      co_return LinkRefusedError(
          "the response to the handshake has a defect: " +
          std::string(ToString(*defect)));
    }
    co_return co_await this->AuthenticateAsClient(std::move(expected_peer));
  }
  co_return co_await this->AuthenticateAsServer();
}

asio::awaitable<Result<LinkPeer>> LinkSession::AuthenticateAsClient(
    std::optional<LinkPeer> expected_peer) {
  const LinkHello client = MakeHello(this->settings.self);
  co_await this->SendAndFlush(EncodeHello(client));
  const std::optional<Bytes> first = co_await this->ReceiveMessage();
  const auto server = first ? DecodeHello(*first) : std::nullopt;
  if (!server) {
    co_return LinkRefusedError("expected a hello from the server");
  }
  if (expected_peer && server->self != *expected_peer) {
    co_return LinkRefusedError("found server " + server->self.host.value() +
                               ", expected " + expected_peer->host.value());
  }
  const std::string& secret = this->settings.secret;
  co_await this->SendAndFlush(
      ComputeProof(secret, LinkRole::kClient, client, *server));
  const std::optional<Bytes> proof = co_await this->ReceiveMessage();
  if (!proof) {
    co_return LinkRefusedError(
        "the server closed the link before sending its proof of the shared "
        "secret");
  }
  if (!ProofsEqual(*proof,
                   ComputeProof(secret, LinkRole::kServer, client, *server))) {
    co_return LinkRefusedError(
        "the server's proof of the shared secret is wrong");
  }
  co_return server->self;
}

asio::awaitable<Result<LinkPeer>> LinkSession::AuthenticateAsServer() {
  const std::optional<Bytes> first = co_await this->ReceiveMessage();
  const auto client = first ? DecodeHello(*first) : std::nullopt;
  if (!client) {
    co_return LinkRefusedError("expected a hello from the client");
  }
  const LinkHello server = MakeHello(this->settings.self);
  co_await this->SendAndFlush(EncodeHello(server));
  const std::string& secret = this->settings.secret;
  const std::optional<Bytes> proof = co_await this->ReceiveMessage();
  // The server sends its proof last, so that an unauthenticated client gets no
  // proof on which to test guessed secrets.
  if (!proof || !ProofsEqual(*proof, ComputeProof(secret, LinkRole::kClient,
                                                  *client, server))) {
    co_return LinkRefusedError("host " + client->self.host.value() +
                               " sent no valid proof of the shared secret");
  }
  co_await this->SendAndFlush(
      ComputeProof(secret, LinkRole::kServer, *client, server));
  co_return client->self;
}

asio::awaitable<std::optional<LinkSession::Bytes>>
LinkSession::ReceiveMessage() {
  while (this->inbox.empty()) {
    if (!co_await this->ReadSome()) {
      co_return std::nullopt;
    }
  }
  Bytes message = std::move(this->inbox.front());
  this->inbox.pop_front();
  co_return message;
}

asio::awaitable<bool> LinkSession::SendAndFlush(Bytes message) {
  this->engine.Send(message);
  co_return co_await this->Flush();
}

/// Reads once from the socket. @return false if the connection has ended.
asio::awaitable<bool> LinkSession::ReadSome() {
  if (this->engine.state() == WebSocketEngine::State::kClosed) {
    co_return false;
  }
  const auto [error, count] = co_await this->socket.async_read_some(
      asio::buffer(this->read_buffer), kNoThrow);
  if (error || this->is_closed) {
    co_return false;
  }
  this->last_received = std::chrono::steady_clock::now();
  this->engine.Feed(this->read_buffer.data(), count);
  std::vector<Bytes> messages = this->engine.TakeMessages();
  // Control frames count as well, which never complete a message.
  this->incomplete_bytes = messages.empty()
                               ? std::min(this->incomplete_bytes + count,
                                          this->settings.max_message_bytes)
                               : 0;
  if (!this->received_memory.Resize(this->incomplete_bytes)) {
    this->Close("memory_limit: no memory left for the peer's message");
    co_return false;
  }
  std::ranges::move(messages, std::back_inserter(this->inbox));
  co_return this->engine.state() != WebSocketEngine::State::kClosed ||
      !this->inbox.empty();
}

/// Writes all pending output. @return false if the connection has ended.
asio::awaitable<bool> LinkSession::Flush() {
  while (this->engine.PendingOutputBytes() > 0) {
    const Bytes bytes = this->engine.TakeOutput();
    this->bytes_in_flight = bytes.size();
    const auto [error, count] =
        co_await asio::async_write(this->socket, asio::buffer(bytes), kNoThrow);
    this->bytes_in_flight = 0;
    this->unsent_memory.Resize(this->engine.PendingOutputBytes());
    if (error || this->is_closed) {
      co_return false;
    }
  }
  co_return true;
}

asio::awaitable<std::string> LinkSession::Run(LinkPeer peer,
                                              LinkEventSink sink) {
  co_await (this->ReadMessages(std::move(peer), std::move(sink)) ||
            this->WriteOutput() || this->KeepAlive());
  this->Close("the connection was closed by the peer or failed");
  co_return this->close_reason;
}

asio::awaitable<void> LinkSession::ReadMessages(LinkPeer peer,
                                                LinkEventSink sink) {
  while (std::optional<Bytes> message = co_await this->ReceiveMessage()) {
    // Wakes the writer: reading may have queued a pong or a close frame.
    this->write_signal.try_send(boost::system::error_code());
    Result<PeerMessage> decoded = DecodePeerMessage(*message);
    if (!IsOk(decoded)) {
      // A newer version may send messages that this one doesn't know.
      this->log.Warn("link message skipped peer=" + peer.host.value() +
                     " reason=" + ErrorOf(decoded).message);
      continue;
    }
    LinkEvent event(LinkMessageReceived{
        .peer = peer, .message = TakeValue(std::move(decoded))});
    const auto [error] = co_await sink->async_send(boost::system::error_code(),
                                                   std::move(event), kNoThrow);
    if (error || this->is_closed) {
      co_return;
    }
  }
}

asio::awaitable<void> LinkSession::WriteOutput() {
  while (co_await this->Flush()) {
    const auto [error] = co_await this->write_signal.async_receive(kNoThrow);
    if (error) {
      co_return;
    }
  }
}

asio::awaitable<void> LinkSession::KeepAlive() {
  while (!this->is_closed) {
    this->timer.expires_after(this->settings.ping_interval);
    const auto [error] = co_await this->timer.async_wait(kNoThrow);
    if (error || this->is_closed) {
      co_return;
    }
    const auto silence = std::chrono::steady_clock::now() - this->last_received;
    if (silence > this->settings.receive_timeout) {
      this->Close("nothing was received within the receive timeout");
      co_return;
    }
    this->engine.Ping();
    this->write_signal.try_send(boost::system::error_code());
  }
}

asio::awaitable<void> LinkSession::WaitForHandshakeTimeout() {
  this->timer.expires_after(this->settings.handshake_timeout);
  co_await this->timer.async_wait(kNoThrow);
}

bool LinkSession::Send(const PeerMessage& message) {
  return this->SendEncoded(EncodePeerMessage(message));
}

bool LinkSession::SendEncoded(const std::vector<std::uint8_t>& message) {
  if (this->is_closed ||
      this->engine.state() != WebSocketEngine::State::kOpen) {
    return false;
  }
  this->engine.Send(message);
  const std::size_t unsent =
      this->engine.PendingOutputBytes() + this->bytes_in_flight;
  if (!this->unsent_memory.Resize(unsent)) {
    this->Close("memory_limit: no memory left for unsent messages");
    return false;
  }
  if (unsent > this->settings.max_queued_bytes) {
    this->Close("more unsent bytes than max_queued_bytes");
    return false;
  }
  this->write_signal.try_send(boost::system::error_code());
  return true;
}

void LinkSession::Close(const std::string& reason) {
  if (this->is_closed) {
    return;
  }
  this->is_closed = true;
  this->close_reason = reason;
  boost::system::error_code ignored;
  std::ignore = this->socket.shutdown(Socket::shutdown_both, ignored);
  std::ignore = this->socket.close(ignored);
  this->timer.cancel();
  this->write_signal.close();
}

}  // namespace cicadaloft
