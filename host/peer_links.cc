#include "peer_links.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <cstddef>
#include <utility>
#include <variant>

#include "cicadaloft/core/rendezvous.h"

namespace cicadaloft {
namespace {

/// Events that may wait for control.
constexpr std::size_t kEventRoom = 1024;

// The link's liveness is the lease's: a holder that is silent for longer has
// lost its right, or nearly so.
LinkSettings LinkSettingsOf(const LeaseSettings& self,
                            const std::string& secret) {
  return LinkSettings{.self = LinkPeer{.host = self.self},
                      .secret = secret,
                      .ping_interval = std::chrono::milliseconds(700),
                      .receive_timeout = std::chrono::milliseconds(2200),
                      .handshake_timeout = std::chrono::seconds(1),
                      .max_backoff = std::chrono::milliseconds(600)};
}

}  // namespace

Result<std::unique_ptr<PeerLinks>> PeerLinks::Open(
    const boost::asio::any_io_executor& executor,
    const LeaseSettings& self,
    std::shared_ptr<ControlMailbox> control) {
  const auto sink = std::make_shared<LinkEventChannel>(executor, kEventRoom);
  Result<LinkServer> server = LinkServer::Open(
      executor, LinkSettingsOf(self, self.secret), self.address, sink);
  if (!IsOk(server)) {
    return ErrorOf(server);
  }
  return std::unique_ptr<PeerLinks>(new PeerLinks(
      executor, self, std::move(control), sink, TakeValue(std::move(server))));
}

PeerLinks::PeerLinks(const boost::asio::any_io_executor& executor,
                     const LeaseSettings& self,
                     std::shared_ptr<ControlMailbox> control,
                     LinkEventSink sink,
                     LinkServer server)
    : executor(executor),
      self(self),
      control(std::move(control)),
      sink(std::move(sink)),
      server(std::move(server)) {}

void PeerLinks::Carry(const ConnectToHolder& link) {
  const bool is_same = this->holder &&
                       this->holder->holder == link.holder.holder &&
                       this->holder->secret == link.holder.secret;
  if (is_same) {
    return;
  }
  this->holder = link.holder;
  this->client.reset();
  if (link.holder.holder == this->self.self) {
    return;
  }
  this->client.emplace(
      this->executor,
      LinkClient::Options{
          .settings = LinkSettingsOf(this->self, link.holder.secret),
          .address = link.holder.address,
          .expected_peer = LinkPeer{.host = link.holder.holder},
          .jitter_seed = StableHash(this->self.self.value())},
      this->sink);
}

// A link that is down loses messages: each kind is sent again or replaced by a
// newer one.
void PeerLinks::Carry(const SendToHolder& tell) {
  if (this->client) {
    this->client->Send(tell.message);
  }
}

void PeerLinks::Carry(const SendToHost& tell) {
  this->server.Send(LinkPeer{.host = tell.host}, tell.message);
}

void PeerLinks::Carry(const SendToAllHosts& tell) {
  for (const LinkPeer& peer : this->peers) {
    this->server.Send(peer, tell.message);
  }
}

boost::asio::awaitable<void> PeerLinks::Run() {
  while (true) {
    auto [error, event] = co_await this->sink->async_receive(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    if (error) {
      co_return;
    }
    this->Take(event);
  }
}

void PeerLinks::Take(const LinkEvent& event) {
  std::visit(
      Overloaded{
          [this](const LinkUp& up) {
            this->peers.insert(up.peer);
            Post(*this->control, ControlEvent(PeerLinkChanged{
                                     .host = up.peer.host, .is_up = true}));
          },
          [this](const LinkDown& down) {
            this->peers.erase(down.peer);
            Post(*this->control,
                 ControlEvent(PeerLinkChanged{.host = down.peer.host}));
          },
          [this](const LinkMessageReceived& delivery) {
            Post(*this->control,
                 ControlEvent(PeerReceived{.host = delivery.peer.host,
                                           .message = delivery.message}));
          }},
      event);
}

}  // namespace cicadaloft
