#include "steward_daemon.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <utility>

#include "admin_server.h"
#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/settings/socket_address.h"
#include "cicadaloft/steward/steward_node.h"
#include "cicadaloft/telemetry/log.h"
#include "node_task.h"
#include "operator_desk.h"
#include "peer_links.h"
#include "steward_outlet.h"
#include "ticket_calls.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;

using Node = NodeTask<StewardState, StewardEvent, StewardEffect, StewardOutlet>;

constexpr std::size_t kWaitingEvents = 1000;

/// @return the settings with what is known only now.
StewardSettings Complete(const StewardSettings& settings,
                         Incarnation incarnation,
                         std::uint16_t peer_port) {
  const Result<SocketAddress> address =
      ParseSocketAddress(settings.peer_address);
  const bool is_chosen = IsOk(address) && ValueOf(address).port == 0;
  return StewardSettings{
      .self = Member{.host = settings.self.host, .incarnation = incarnation},
      .data_centre = settings.data_centre,
      .peer_address =
          is_chosen ? ValueOf(address).ip + ":" + std::to_string(peer_port)
                    : settings.peer_address,
      .lease_term = settings.lease_term,
      .renew_interval = settings.renew_interval,
      .drift_bound = settings.drift_bound,
      .suspension_limit = settings.suspension_limit,
      .heartbeat_interval = settings.heartbeat_interval,
      .poll_interval = settings.poll_interval,
      .order_term = settings.order_term,
      .checkpoint_records = settings.checkpoint_records};
}

LinkSettings LinkSettingsOf(const StewardOptions& options) {
  return LinkSettings{.self = LinkPeer{.host = options.settings.self.host,
                                       .role = LinkRole::kSteward},
                      .secret = options.link_secret};
}

std::uint64_t SeedOf(const StewardOptions& options, Incarnation incarnation) {
  return StableHash(options.settings.self.host.value()) ^ incarnation.value();
}

}  // namespace

struct StewardDaemon::Tasks {
  Tasks(asio::io_context& context,
        const StewardOptions& options,
        Incarnation incarnation,
        PeerLinks open_links,
        std::uint16_t peer_port,
        AdminServer open_admin)
      : executor(context.get_executor()),
        settings(Complete(options.settings, incarnation, peer_port)),
        peer_port(peer_port),
        platform{.address = options.platform,
                 .jitter_seed = SeedOf(options, incarnation)},
        sink(std::make_shared<MessageChannel<StewardEvent>>(this->executor,
                                                            kWaitingEvents)),
        links(std::move(open_links)),
        admin(std::move(open_admin)),
        calls(this->executor, this->sink),
        outlet(this->executor,
               this->platform,
               TargetClientSettings{.order_timeout = this->settings.order_term},
               this->sink,
               this->links,
               this->calls,
               this->decisions,
               this->metrics),
        node(StewardState(this->settings), this->outlet),
        desk(this->settings,
             this->node,
             this->calls,
             this->decisions,
             this->metrics) {}

  void Start() {
    this->Spawn(this->node.TakeAll(*this->sink));
    this->Spawn(this->node.TakeTicks(StewardTick(), kStewardTickInterval));
    this->Spawn(this->links.Run(this->sink));
    this->Spawn(this->admin.Run([this](AdminRequest request) {
      return this->desk.Answer(std::move(request));
    }));
    StartHostListPoller(this->executor, this->platform, this->sink);
  }

  void Spawn(asio::awaitable<void> task) {
    asio::co_spawn(this->executor, std::move(task), asio::detached);
  }

  const asio::any_io_executor executor;
  const StewardSettings settings;
  const std::uint16_t peer_port;
  const PlatformSettings platform;
  StewardEventSink sink;
  PeerLinks links;
  AdminServer admin;
  TicketCalls calls;
  DecisionLog decisions;
  Metrics metrics;
  StewardOutlet outlet;
  Node node;
  OperatorDesk<Node> desk;
};

Result<std::unique_ptr<StewardDaemon>> StewardDaemon::Start(
    asio::io_context& context,
    const StewardOptions& options,
    Incarnation incarnation) {
  PeerLinks links(context.get_executor(), LinkSettingsOf(options),
                  SeedOf(options, incarnation));
  const Result<std::uint16_t> peer_port = links.Listen(options.peer_listen);
  if (!IsOk(peer_port)) {
    return ErrorOf(peer_port);
  }
  Result<AdminServer> admin =
      AdminServer::Open(context.get_executor(), options.admin_listen);
  if (!IsOk(admin)) {
    return ErrorOf(admin);
  }
  auto tasks =
      std::make_unique<Tasks>(context, options, incarnation, std::move(links),
                              ValueOf(peer_port), TakeValue(std::move(admin)));
  tasks->Start();
  return std::unique_ptr<StewardDaemon>(new StewardDaemon(std::move(tasks)));
}

StewardDaemon::StewardDaemon(std::unique_ptr<Tasks> tasks)
    : tasks(std::move(tasks)) {}
StewardDaemon::~StewardDaemon() = default;

asio::awaitable<bool> StewardDaemon::Stop(Duration limit) {
  MessageChannel<StewardStopped>& stopped = this->tasks->outlet.stopped();
  asio::steady_timer timer(this->tasks->executor, limit);
  timer.async_wait([&stopped](boost::system::error_code error) {
    if (!error) {
      stopped.close();
    }
  });
  this->tasks->node.Take(StewardStopRequested());
  const auto [error, message] =
      co_await stopped.async_receive(asio::as_tuple(asio::use_awaitable));
  co_return !error;
}

std::uint16_t StewardDaemon::peer_port() const {
  return this->tasks->peer_port;
}

std::uint16_t StewardDaemon::admin_port() const {
  return this->tasks->admin.port();
}

}  // namespace cicadaloft
