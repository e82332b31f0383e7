#include "peer_links.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace cicadaloft {
namespace {

namespace asio = boost::asio;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kWaitingEvents = 1000;

LinkPeer StewardOn(const HostId& host) {
  return LinkPeer{.host = host, .role = LinkRole::kSteward};
}

}  // namespace

PeerLinks::PeerLinks(asio::any_io_executor executor,
                     LinkSettings settings,
                     std::uint64_t jitter_seed)
    : executor(std::move(executor)),
      settings(std::move(settings)),
      next_seed(jitter_seed),
      events(
          std::make_shared<LinkEventChannel>(this->executor, kWaitingEvents)) {}

Result<std::uint16_t> PeerLinks::Listen(const std::string& address) {
  Result<LinkServer> server =
      LinkServer::Open(this->executor, this->settings, address, this->events);
  if (!IsOk(server)) {
    return ErrorOf(server);
  }
  this->servers.push_back(TakeValue(std::move(server)));
  return this->servers.back().port();
}

bool PeerLinks::Send(const HostId& peer, const Envelope& envelope) {
  const auto client = this->clients.find(peer);
  if (client != this->clients.end() && client->second.Send(envelope)) {
    return true;
  }
  return std::ranges::any_of(this->servers, [&](LinkServer& server) {
    return server.Send(StewardOn(peer), envelope);
  });
}

bool PeerLinks::SendToEntry(const Envelope& envelope) {
  const LinkPeer entry{.host = this->settings.self.host,
                       .role = LinkRole::kEntry};
  return std::ranges::any_of(this->servers, [&](LinkServer& server) {
    return server.Send(entry, envelope);
  });
}

void PeerLinks::Hold(const HoldLink& link) {
  this->clients.erase(link.peer);
  if (!link.is_held) {
    return;
  }
  this->clients.try_emplace(
      link.peer, this->executor,
      LinkClient::Options{.settings = this->settings,
                          .address = link.address,
                          .expected = StewardOn(link.peer),
                          .jitter_seed = this->next_seed++},
      this->events);
}

asio::awaitable<void> PeerLinks::Run(StewardEventSink sink) {
  for (;;) {
    auto [error, event] = co_await this->events->async_receive(kNoThrow);
    if (error) {
      co_return;
    }
    for (StewardEvent& told : this->EventsOf(event)) {
      const auto [send_error] = co_await sink->async_send(
          boost::system::error_code(), std::move(told), kNoThrow);
      if (send_error) {
        co_return;
      }
    }
  }
}

std::vector<StewardEvent> PeerLinks::EventsOf(const LinkEvent& event) {
  std::vector<StewardEvent> told;
  std::visit(
      Overloaded{
          [&](const LinkUp& up) {
            if (++this->links_up[up.peer] == 1) {
              told.emplace_back(
                  PeerChanged{.peer = up.peer.host, .is_up = true});
            }
          },
          [&](const LinkDown& down) {
            if (--this->links_up[down.peer] == 0) {
              told.emplace_back(PeerChanged{.peer = down.peer.host});
            }
          },
          [&](const LinkDelivery& delivery) {
            const bool from_entry = delivery.peer.role == LinkRole::kEntry;
            const Envelope& envelope = delivery.envelope;
            told.emplace_back(StewardLinkReceived{
                .envelope = Envelope{.from = from_entry ? delivery.peer.host
                                                        : envelope.from,
                                     .to = envelope.to,
                                     .message = envelope.message},
                .from_entry = from_entry});
          }},
      event);
  return told;
}

}  // namespace cicadaloft
