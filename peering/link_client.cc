#include "cicadaloft/peering/link_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

#include "cicadaloft/core/backoff.h"
#include "cicadaloft/core/spawn.h"
#include "cicadaloft/settings/socket_address.h"
#include "cicadaloft/settings/socket_options.h"
#include "cicadaloft/telemetry/log.h"
#include "link_session.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;
using asio::experimental::awaitable_operators::operator||;
using asio::ip::tcp;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

}  // namespace

class LinkClient::Task : public std::enable_shared_from_this<Task> {
 public:
  Task(const asio::any_io_executor& executor,
       Options options,
       LinkEventSink sink)
      : executor(executor),
        options(std::move(options)),
        sink(std::move(sink)),
        timer(executor),
        backoff(this->options.settings.min_backoff,
                this->options.settings.max_backoff,
                this->options.jitter_seed),
        log("peering") {}

  void Start() {
    Spawn(this->executor, "link to " + this->options.address,
          Keep(this->shared_from_this()), EndProcess{});
  }

  void Stop() {
    this->is_stopped = true;
    this->timer.cancel();
    if (this->session) {
      this->session->Close("stopped");
    }
  }

  bool Send(const PeerMessage& message) {
    return this->is_up && this->session->Send(message);
  }

 private:
  static asio::awaitable<void> Keep(std::shared_ptr<Task> self) {
    co_await self->Run();
  }

  asio::awaitable<void> Run() {
    while (!this->is_stopped) {
      std::optional<tcp::socket> socket = co_await this->Connect();
      if (socket && !this->is_stopped) {
        this->session = std::make_shared<LinkSession>(
            std::move(*socket), LinkRole::kClient, this->options.settings);
        co_await this->RunSession();
        this->session.reset();
      }
      if (!this->is_stopped) {
        this->timer.expires_after(this->backoff.Next());
        co_await this->timer.async_wait(kNoThrow);
      }
    }
  }

  asio::awaitable<std::optional<tcp::socket>> Connect() {
    const auto address = ParseSocketAddress(this->options.address);
    if (!IsOk(address)) {
      this->log.Warn("invalid link address, expected IP:port: " +
                     this->options.address);
      co_return std::nullopt;
    }
    tcp::socket socket(this->executor);
    const tcp::endpoint endpoint(asio::ip::make_address(ValueOf(address).ip),
                                 ValueOf(address).port);
    OpenForConnect(socket, endpoint);
    this->timer.expires_after(this->options.settings.handshake_timeout);
    const auto outcome = co_await (socket.async_connect(endpoint, kNoThrow) ||
                                   this->timer.async_wait(kNoThrow));
    if (outcome.index() != 0 || std::get<0>(std::get<0>(outcome))) {
      co_return std::nullopt;
    }
    co_return socket;
  }

  asio::awaitable<void> RunSession() {
    const auto current = this->session;
    std::optional<LinkPeer> expected(this->options.expected_peer);
    const Result<LinkPeer> peer =
        co_await current->Authenticate(std::move(expected));
    if (!IsOk(peer)) {
      this->log.Warn("link refused address=" + this->options.address +
                     " reason=" + ErrorOf(peer).message);
      co_return;
    }
    this->backoff.Reset();
    this->is_up = true;
    const LinkEvent up(LinkUp{.peer = ValueOf(peer)});
    co_await this->SendEvent(up);
    const std::string reason = co_await current->Run(ValueOf(peer), this->sink);
    this->is_up = false;
    this->log.Info("link down peer=" + ValueOf(peer).host.value() +
                   " reason=" + reason);
    const LinkEvent down(LinkDown{.peer = ValueOf(peer)});
    co_await this->SendEvent(down);
  }

  // Callers pass a named event: g++ 12 destroys a braced temporary in a
  // co_await expression twice.
  asio::awaitable<void> SendEvent(LinkEvent event) {
    co_await this->sink->async_send(boost::system::error_code(),
                                    std::move(event), kNoThrow);
  }

  asio::any_io_executor executor;
  const Options options;
  LinkEventSink sink;
  asio::steady_timer timer;
  Backoff backoff;
  Log log;
  std::shared_ptr<LinkSession> session;
  bool is_up = false;
  bool is_stopped = false;
};

LinkClient::LinkClient(const asio::any_io_executor& executor,
                       Options options,
                       LinkEventSink sink)
    : task(std::make_shared<Task>(executor,
                                  std::move(options),
                                  std::move(sink))) {
  this->task->Start();
}

LinkClient::~LinkClient() {
  if (this->task) {
    this->task->Stop();
  }
}

LinkClient::LinkClient(LinkClient&& other) noexcept = default;

LinkClient& LinkClient::operator=(LinkClient&& other) noexcept {
  std::swap(this->task, other.task);
  return *this;
}

bool LinkClient::Send(const PeerMessage& message) {
  return this->task->Send(message);
}

}  // namespace cicadaloft
