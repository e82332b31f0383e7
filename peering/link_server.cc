#include "cicadaloft/peering/link_server.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "cicadaloft/core/spawn.h"
#include "cicadaloft/peering/link_codec.h"
#include "cicadaloft/settings/socket_address.h"
#include "cicadaloft/telemetry/log.h"
#include "cicadaloft/telemetry/log_task_failure.h"
#include "link_session.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
/// Delay after a failed accept, for example when no file descriptor is free.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

}  // namespace

class LinkServer::Task : public std::enable_shared_from_this<Task> {
 public:
  Task(tcp::acceptor acceptor, const LinkSettings& settings, LinkEventSink sink)
      : acceptor(std::move(acceptor)),
        settings(settings),
        sink(std::move(sink)),
        timer(this->acceptor.get_executor()),
        log("peering") {}

  void Start() {
    Spawn(this->acceptor.get_executor(), "links from other hosts",
          Keep(this->shared_from_this()), EndProcess{});
  }

  void Stop() {
    this->is_stopped = true;
    boost::system::error_code ignored;
    std::ignore = this->acceptor.close(ignored);
    this->timer.cancel();
    for (const auto& session : this->sessions) {
      session->Close("stopped");
    }
  }

  bool Send(const LinkPeer& peer, const PeerMessage& message) {
    const auto found = this->links.find(peer);
    return found != this->links.end() && found->second->Send(message);
  }

  void SendToAll(const std::set<LinkPeer>& peers, const PeerMessage& message) {
    const std::vector<std::uint8_t> encoded = EncodePeerMessage(message);
    for (const LinkPeer& peer : peers) {
      const auto found = this->links.find(peer);
      if (found != this->links.end()) {
        found->second->SendEncoded(encoded);
      }
    }
  }

  std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

 private:
  using SessionPointer = std::shared_ptr<LinkSession>;

  asio::awaitable<void> Accept() {
    while (!this->is_stopped) {
      auto [error, socket] = co_await this->acceptor.async_accept(kNoThrow);
      if (error) {
        this->timer.expires_after(kAcceptRetryDelay);
        co_await this->timer.async_wait(kNoThrow);
        continue;
      }
      if (this->sessions.size() >= this->settings.max_links) {
        this->log.Warn("link refused reason=too many links");
        continue;
      }
      const auto session = std::make_shared<LinkSession>(
          std::move(socket), LinkRole::kServer, this->settings);
      const auto self = this->shared_from_this();
      Spawn(this->acceptor.get_executor(), "link",
            this->HandleConnection(session),
            [self, session](const TaskFailure& failure) {
              LogTaskFailure{}(failure);
              self->Drop(session);
            });
    }
  }

  static asio::awaitable<void> Keep(std::shared_ptr<Task> self) {
    co_await self->Accept();
  }

  // After an exception, which may have come before or after the link was up.
  void Drop(const SessionPointer& session) {
    session->Close("failed");
    this->sessions.erase(session);
    const auto found = std::ranges::find(
        this->links, session, [](const auto& entry) { return entry.second; });
    if (found == this->links.end()) {
      return;
    }
    const LinkEvent down(LinkDown{.peer = found->first});
    this->links.erase(found);
    this->sink->async_send(boost::system::error_code(), down, asio::detached);
  }

  asio::awaitable<void> HandleConnection(SessionPointer session) {
    this->sessions.insert(session);
    const Result<LinkPeer> peer = co_await session->Authenticate(std::nullopt);
    if (IsOk(peer)) {
      co_await this->RunLink(session, ValueOf(peer));
    } else if (!this->is_stopped) {
      this->log.Warn("link refused reason=" + ErrorOf(peer).message);
    }
    this->sessions.erase(session);
  }

  asio::awaitable<void> RunLink(SessionPointer session, LinkPeer peer) {
    const SessionPointer old =
        std::exchange(this->links[peer], SessionPointer(session));
    if (old) {
      old->Close("replaced by a newer link");
      const LinkEvent down(LinkDown{.peer = peer});
      co_await this->SendEvent(down);
    }
    const LinkEvent up(LinkUp{.peer = peer});
    co_await this->SendEvent(up);
    const std::string reason = co_await session->Run(peer, this->sink);
    this->log.Info("link down peer=" + peer.host.value() + " reason=" + reason);
    const auto current = this->links.find(peer);
    if (current != this->links.end() && current->second == session) {
      this->links.erase(current);
      const LinkEvent down(LinkDown{.peer = peer});
      co_await this->SendEvent(down);
    }
  }

  // Callers pass a named event: g++ 12 destroys a braced temporary in a
  // co_await expression twice.
  asio::awaitable<void> SendEvent(LinkEvent event) {
    co_await this->sink->async_send(boost::system::error_code(),
                                    std::move(event), kNoThrow);
  }

  tcp::acceptor acceptor;
  const LinkSettings settings;
  LinkEventSink sink;
  asio::steady_timer timer;
  Log log;
  std::set<SessionPointer> sessions;
  std::map<LinkPeer, SessionPointer> links;
  bool is_stopped = false;
};

Result<LinkServer> LinkServer::Open(const asio::any_io_executor& executor,
                                    const LinkSettings& settings,
                                    const std::string& address,
                                    LinkEventSink sink) {
  const Result<SocketAddress> parsed = ParseSocketAddress(address);
  if (!IsOk(parsed)) {
    return ErrorOf(parsed);
  }
  try {
    const tcp::endpoint endpoint(asio::ip::make_address(ValueOf(parsed).ip),
                                 ValueOf(parsed).port);
    return Start(tcp::acceptor(executor, endpoint), settings, std::move(sink));
  } catch (const boost::system::system_error& error) {
    return MakeError(ErrorKind::kSettingsInvalid,
                     "can't listen on " + address + ": " + error.what());
  }
}

LinkServer LinkServer::Start(tcp::acceptor acceptor,
                             const LinkSettings& settings,
                             LinkEventSink sink) {
  auto task =
      std::make_shared<Task>(std::move(acceptor), settings, std::move(sink));
  task->Start();
  return LinkServer(std::move(task));
}

LinkServer::LinkServer(std::shared_ptr<Task> task) : task(std::move(task)) {}

LinkServer::~LinkServer() {
  if (this->task) {
    this->task->Stop();
  }
}

LinkServer::LinkServer(LinkServer&& other) noexcept = default;

LinkServer& LinkServer::operator=(LinkServer&& other) noexcept {
  std::swap(this->task, other.task);
  return *this;
}

bool LinkServer::Send(const LinkPeer& peer, const PeerMessage& message) {
  return this->task->Send(peer, message);
}

void LinkServer::SendToAll(const std::set<LinkPeer>& peers,
                           const PeerMessage& message) {
  this->task->SendToAll(peers, message);
}

std::uint16_t LinkServer::port() const {
  return this->task->port();
}

}  // namespace cicadaloft
