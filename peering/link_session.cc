#include "link_session.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <tuple>
#include <utility>

#include "cicadaloft/peering/link_codec.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;
using asio::experimental::awaitable_operators::operator||;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

Error RefuseLink(std::string message) {
  return MakeError(ErrorKind::kLinkRefused, std::move(message));
}

WebSocketEngine::Role EngineSide(LinkSide side) {
  return side == LinkSide::kClient ? WebSocketEngine::Role::kClient
                                   : WebSocketEngine::Role::kServer;
}

}  // namespace

LinkSession::LinkSession(Socket socket,
                         LinkSide side,
                         const LinkSettings& settings)
    : socket(std::move(socket)),
      side(side),
      settings(settings),
      engine(EngineSide(side), kMaxHandshakeMessageBytes),
      output(this->socket.get_executor(), 1),
      timer(this->socket.get_executor()),
      last_received(std::chrono::steady_clock::now()) {
  boost::system::error_code ignored;
  std::ignore = this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<Result<LinkPeer>> LinkSession::Authenticate(
    std::optional<LinkPeer> expected) {
  auto outcome =
      co_await (this->ExchangeProofs(std::move(expected)) || this->Expire());
  if (outcome.index() != 0) {
    this->Close("handshake timeout");
    co_return RefuseLink("the handshake took too long");
  }
  Result<LinkPeer> peer = std::get<0>(std::move(outcome));
  if (!IsOk(peer)) {
    this->Close(ErrorOf(peer).message);
    co_return peer;
  }
  this->engine.SetMaxMessageBytes(this->settings.max_message_bytes);
  co_return peer;
}

asio::awaitable<Result<LinkPeer>> LinkSession::ExchangeProofs(
    std::optional<LinkPeer> expected) {
  while (this->engine.state() == WebSocketEngine::State::kConnecting) {
    const bool has_flushed = co_await this->Flush();
    const bool has_filled = has_flushed && co_await this->Fill();
    if (!has_filled) {
      co_return RefuseLink("the connection broke in the handshake");
    }
  }
  co_await this->Flush();
  if (this->side == LinkSide::kClient) {
    co_return co_await this->ProveAsClient(std::move(expected));
  }
  co_return co_await this->ProveAsServer();
}

asio::awaitable<Result<LinkPeer>> LinkSession::ProveAsClient(
    std::optional<LinkPeer> expected) {
  const LinkHello client = MakeHello(this->settings.self);
  co_await this->SendNow(EncodeHello(client));
  const std::optional<Bytes> answer = co_await this->ReceiveMessage();
  const auto server = answer ? DecodeHello(*answer) : std::nullopt;
  if (!server) {
    co_return RefuseLink("the server sent no hello");
  }
  if (expected && server->self != *expected) {
    co_return RefuseLink("the server is " + server->self.host.value() +
                         ", not " + expected->host.value());
  }
  const std::string& secret = this->settings.secret;
  co_await this->SendNow(
      ProveSecret(secret, LinkSide::kClient, client, *server));
  const std::optional<Bytes> proof = co_await this->ReceiveMessage();
  if (!proof) {
    co_return RefuseLink("the server refused this host");
  }
  if (!IsSameProof(*proof,
                   ProveSecret(secret, LinkSide::kServer, client, *server))) {
    co_return RefuseLink("the server does not have the shared secret");
  }
  co_return server->self;
}

asio::awaitable<Result<LinkPeer>> LinkSession::ProveAsServer() {
  const std::optional<Bytes> first = co_await this->ReceiveMessage();
  const auto client = first ? DecodeHello(*first) : std::nullopt;
  if (!client) {
    co_return RefuseLink("the client sent no hello");
  }
  const LinkHello server = MakeHello(this->settings.self);
  co_await this->SendNow(EncodeHello(server));
  const std::string& secret = this->settings.secret;
  const std::optional<Bytes> proof = co_await this->ReceiveMessage();
  // The server proves itself last, so that a stranger gets no proof to try
  // secrets on.
  if (!proof || !IsSameProof(*proof, ProveSecret(secret, LinkSide::kClient,
                                                 *client, server))) {
    co_return RefuseLink("host " + client->self.host.value() +
                         " does not have the shared secret");
  }
  co_await this->SendNow(
      ProveSecret(secret, LinkSide::kServer, *client, server));
  co_return client->self;
}

asio::awaitable<std::optional<LinkSession::Bytes>>
LinkSession::ReceiveMessage() {
  while (this->inbox.empty()) {
    if (!co_await this->Fill()) {
      co_return std::nullopt;
    }
  }
  Bytes message = std::move(this->inbox.front());
  this->inbox.pop_front();
  co_return message;
}

asio::awaitable<bool> LinkSession::SendNow(Bytes message) {
  this->engine.Send(message);
  co_return co_await this->Flush();
}

/// Reads once. @return false if the connection has ended.
asio::awaitable<bool> LinkSession::Fill() {
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
  for (Bytes& message : this->engine.TakeMessages()) {
    this->inbox.push_back(std::move(message));
  }
  co_return this->engine.state() != WebSocketEngine::State::kClosed ||
      !this->inbox.empty();
}

/// Writes all that waits. @return false if the connection has ended.
asio::awaitable<bool> LinkSession::Flush() {
  while (this->engine.PendingOutputBytes() > 0) {
    const Bytes bytes = this->engine.TakeOutput();
    this->bytes_in_flight = bytes.size();
    const auto [error, count] =
        co_await asio::async_write(this->socket, asio::buffer(bytes), kNoThrow);
    this->bytes_in_flight = 0;
    if (error || this->is_closed) {
      co_return false;
    }
  }
  co_return true;
}

asio::awaitable<std::string> LinkSession::Run(LinkPeer peer,
                                              LinkEventSink sink) {
  co_await (this->Read(std::move(peer), std::move(sink)) || this->Write() ||
            this->KeepAlive());
  this->Close("closed by the other end");
  co_return this->close_reason;
}

asio::awaitable<void> LinkSession::Read(LinkPeer peer, LinkEventSink sink) {
  while (std::optional<Bytes> message = co_await this->ReceiveMessage()) {
    // A pong or a close frame has to be answered.
    this->output.try_send(boost::system::error_code());
    Result<PeerMessage> decoded = DecodePeerMessage(*message);
    if (!IsOk(decoded)) {
      this->Close(ErrorOf(decoded).message);
      co_return;
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

asio::awaitable<void> LinkSession::Write() {
  while (co_await this->Flush()) {
    const auto [error] = co_await this->output.async_receive(kNoThrow);
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
      this->Close("nothing came within the silence limit");
      co_return;
    }
    this->engine.Ping();
    this->output.try_send(boost::system::error_code());
  }
}

asio::awaitable<void> LinkSession::Expire() {
  this->timer.expires_after(this->settings.handshake_timeout);
  co_await this->timer.async_wait(kNoThrow);
}

bool LinkSession::Send(const PeerMessage& message) {
  if (this->is_closed ||
      this->engine.state() != WebSocketEngine::State::kOpen) {
    return false;
  }
  this->engine.Send(EncodePeerMessage(message));
  if (this->engine.PendingOutputBytes() + this->bytes_in_flight >
      this->settings.max_queued_bytes) {
    this->Close("too many bytes wait to be sent");
    return false;
  }
  this->output.try_send(boost::system::error_code());
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
  this->output.close();
}

}  // namespace cicadaloft
