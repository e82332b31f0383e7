#include "peer_links.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <utility>
#include <variant>

#include "cicadaloft/core/rendezvous.h"

namespace cicadaloft {
namespace {

/// Capacity of the channel of link events, in events.
constexpr std::size_t kLinkEventChannelCapacity = 1024;

// The timeouts match the ttl of the lease: a holder from which nothing is
// received for longer than receive_timeout has lost the lease or is about to
// lose it.
LinkSettings MakeLinkSettings(const LeaseSettings& lease_settings,
                              const std::string& secret,
                              const std::shared_ptr<MemoryBudget>& memory) {
  return LinkSettings{.self = LinkPeer{.host = lease_settings.self},
                      .secret = secret,
                      .ping_interval = std::chrono::milliseconds(700),
                      .receive_timeout = std::chrono::milliseconds(2200),
                      .handshake_timeout = std::chrono::seconds(1),
                      .max_backoff = std::chrono::milliseconds(600),
                      .memory = memory};
}

}  // namespace

std::unique_ptr<PeerLinks> PeerLinks::Open(
    boost::asio::ip::tcp::acceptor acceptor,
    const LeaseSettings& lease_settings,
    std::shared_ptr<ControlMailbox> control_mailbox,
    const std::shared_ptr<MemoryBudget>& memory) {
  const auto executor = acceptor.get_executor();
  const auto sink =
      std::make_shared<LinkEventChannel>(executor, kLinkEventChannelCapacity);
  LinkServer server = LinkServer::Start(
      std::move(acceptor),
      MakeLinkSettings(lease_settings, lease_settings.secret, memory), sink);
  return std::unique_ptr<PeerLinks>(
      new PeerLinks(executor, lease_settings, std::move(control_mailbox), sink,
                    std::move(server), memory));
}

PeerLinks::PeerLinks(const boost::asio::any_io_executor& executor,
                     const LeaseSettings& lease_settings,
                     std::shared_ptr<ControlMailbox> control_mailbox,
                     LinkEventSink sink,
                     LinkServer server,
                     std::shared_ptr<MemoryBudget> memory)
    : executor(executor),
      lease_settings(lease_settings),
      control_mailbox(std::move(control_mailbox)),
      sink(std::move(sink)),
      server(std::move(server)),
      memory(std::move(memory)) {}

void PeerLinks::Execute(const ConnectToHolder& effect) {
  const bool is_same_holder =
      this->holder_record &&
      this->holder_record->holder == effect.record.holder &&
      this->holder_record->secret == effect.record.secret;
  if (is_same_holder) {
    return;
  }
  this->holder_record = effect.record;
  this->client.reset();
  if (effect.record.holder == this->lease_settings.self) {
    return;
  }
  this->client.emplace(
      this->executor,
      LinkClient::Options{
          .settings = MakeLinkSettings(this->lease_settings,
                                       effect.record.secret, this->memory),
          .address = effect.record.address,
          .expected_peer = LinkPeer{.host = effect.record.holder},
          .jitter_seed = StableHash(this->lease_settings.self.value())},
      this->sink);
}

// Messages are lost while the link is down: each kind is sent again or replaced
// by a newer message.
void PeerLinks::Execute(const SendToHolder& effect) {
  if (this->client) {
    this->client->Send(effect.message);
  }
}

void PeerLinks::Execute(const SendToHost& effect) {
  this->server.Send(LinkPeer{.host = effect.host}, effect.message);
}

void PeerLinks::Execute(const SendToAllHosts& effect) {
  this->server.SendToAll(this->connected_peers, effect.message);
}

void PeerLinks::Execute(const SendToHosts& effect) {
  std::set<LinkPeer> peers;
  std::ranges::transform(
      effect.hosts, std::inserter(peers, peers.end()),
      [](const HostId& host) { return LinkPeer{.host = host}; });
  this->server.SendToAll(peers, effect.message);
}

boost::asio::awaitable<void> PeerLinks::Run() {
  while (true) {
    auto [error, event] = co_await this->sink->async_receive(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    if (error) {
      co_return;
    }
    this->Handle(event);
  }
}

void PeerLinks::Handle(const LinkEvent& event) {
  std::visit(
      Overloaded{[this](const LinkUp& up) {
                   this->connected_peers.insert(up.peer);
                   Post(*this->control_mailbox,
                        ControlEvent(PeerLinkChanged{.host = up.peer.host,
                                                     .is_up = true}));
                 },
                 [this](const LinkDown& down) {
                   this->connected_peers.erase(down.peer);
                   Post(*this->control_mailbox,
                        ControlEvent(PeerLinkChanged{.host = down.peer.host}));
                 },
                 [this](const LinkMessageReceived& received) {
                   Post(
                       *this->control_mailbox,
                       ControlEvent(PeerReceived{.host = received.peer.host,
                                                 .message = received.message}));
                 }},
      event);
}

}  // namespace cicadaloft
