#include "host_runtime.h"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/entry/entry_node.h"
#include "cicadaloft/forwarding/admin_listener.h"
#include "cicadaloft/forwarding/boot_clock.h"
#include "cicadaloft/forwarding/caller_listener.h"
#include "cicadaloft/forwarding/entry_task.h"
#include "cicadaloft/own_interface/native_protocol.h"
#include "cicadaloft/platform/configuration_codec.h"
#include "cicadaloft/platform/protocols.h"
#include "cicadaloft/platform/registry_codec.h"
#include "cicadaloft/platform/store_client.h"
#include "cicadaloft/store/keyed_follower.h"
#include "cicadaloft/telemetry/decision_log.h"
#include "cicadaloft/telemetry/log.h"
#include "control_task.h"
#include "peer_links.h"
#include "topic_feeds.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Acceptor = std::shared_ptr<tcp::acceptor>;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/// Lines reach the log's reader within this time.
constexpr Duration kLogFlush = std::chrono::milliseconds(100);

/// Changes of targets that come within this part of the time that a leaving
/// target serves on are read together: 7 of 20. The rest is for slow hosts and
/// the requests that are on their way.
constexpr int kRegistryGapParts = 7;
constexpr int kRegistryGapWhole = 20;

/// A stopping host takes new connections until callers have been led elsewhere:
/// two missed readiness questions, one a second, and the way. Then it closes
/// connections that are idle, and the others after their answers.
constexpr Duration kCloseAfter = std::chrono::milliseconds(2400);
/// It stays a little longer for what crosses the closing.
constexpr Duration kLeaveAfter = std::chrono::milliseconds(3500);

/// For the log lines of requests that are still open when the time to stop is
/// over; part of the margin below.
constexpr Duration kCutTime = std::chrono::milliseconds(100);

/// Kept free at the end of the stop time, for the last answers' way.
constexpr Duration kStopMargin = std::chrono::milliseconds(700);

Result<Acceptor> Listen(asio::io_context& context, const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    return MakeError(ErrorKind::kSettingsInvalid,
                     "address " + address + ": expected IP:port");
  }
  try {
    return std::make_shared<tcp::acceptor>(context, *endpoint);
  } catch (const boost::system::system_error& error) {
    return MakeError(ErrorKind::kSettingsInvalid,
                     "address " + address + ": " + error.what());
  }
}

/// Begins the ids of this process's requests.
std::string IdPrefix(const HostId& host) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  return host.value() + "-" + std::to_string(ms);
}

/// @return a secret that nobody can guess, new for each process.
std::string MakeSecret() {
  constexpr int kWords = 4;
  std::random_device device;
  std::string secret;
  for (int i = 0; i < kWords; ++i) {
    secret += std::to_string(device()) + ".";
  }
  return secret;
}

using Node =
    EntryTask<EntryState, platform::RunnerProtocol, BootClock, DecisionLog>;

}  // namespace

class HostRuntime::Tasks : public std::enable_shared_from_this<Tasks> {
 public:
  Tasks(asio::io_context& context,
        const HostSettings& settings,
        std::shared_ptr<OutputBuffer> output)
      : context(context),
        settings(settings),
        output(std::move(output)),
        executor(context.get_executor()),
        node(std::make_shared<EntryTaskMailbox>(this->executor,
                                                kEntryTaskMailboxCapacity)),
        control(std::make_shared<ControlMailbox>(this->executor, kControlRoom)),
        news(std::make_shared<EntryNotificationMailbox>(this->executor,
                                                        kControlRoom)),
        drained(std::make_shared<DrainedMailbox>(this->executor, 1)),
        node_task(this->executor,
                  EntryState(
                      EntrySettings{.host = settings.host,
                                    .data_centre = settings.data_centre,
                                    .retry_ratio = settings.retry_ratio,
                                    .retry_slack = settings.retry_slack,
                                    .limit_overshoot = settings.limit_overshoot,
                                    .limit_slack = settings.limit_slack,
                                    .limit_window = settings.limit_window,
                                    .is_first_start = settings.is_first_start}),
                  EntryTaskMailboxes{.inbox = this->node,
                                     .notifications = this->news,
                                     .drained = this->drained},
                  TargetLimits{},
                  BootClock{},
                  DecisionLog()) {}

  Result<Done> Open() {
    std::vector<std::pair<std::string, Acceptor*>> addresses = {
        {this->settings.listen, &this->callers},
        {this->settings.ready_listen, &this->readiness},
        {this->settings.admin_listen, &this->admin}};
    if (!this->settings.own_listen.empty()) {
      addresses.emplace_back(this->settings.own_listen, &this->own_callers);
    }
    for (const auto& [address, acceptor] : addresses) {
      Result<Acceptor> opened = Listen(this->context, address);
      if (!IsOk(opened)) {
        return ErrorOf(opened);
      }
      *acceptor = TakeValue(std::move(opened));
    }
    const LeaseSettings lease{.self = this->settings.host,
                              .address = this->settings.peer_listen,
                              .secret = MakeSecret(),
                              .cores = this->settings.cores,
                              .handover_delay = this->settings.handover_delay};
    auto links = PeerLinks::Open(this->executor, lease, this->control);
    if (!IsOk(links)) {
      return ErrorOf(links);
    }
    this->peers = TakeValue(std::move(links));
    this->control_task.emplace(
        this->executor, lease, this->settings.limit_window,
        this->settings.store,
        ControlLinks{.inbox = this->control,
                     .node = this->node,
                     .peers = this->peers,
                     .read_operator = this->read_operator});
    return Done{};
  }

  void Start() {
    this->Spawn(this->peers->Run());
    this->Spawn(this->node_task.Run());
    this->Spawn(RunTicks(this->node));
    this->Spawn(this->control_task->Run());
    this->Spawn(this->TickControl());
    this->Spawn(this->PassNews());
    this->Spawn(this->FlushLog());
    this->SpawnFollowers();
    this->Spawn(RunCallerListener<platform::ClientProtocol>(
        this->callers, IdPrefix(this->settings.host), this->node,
        this->callers_stop, CallerLimits{}));
    if (this->own_callers != nullptr) {
      this->Spawn(RunCallerListener<NativeProtocol>(
          this->own_callers, IdPrefix(this->settings.host) + "-own", this->node,
          this->own_callers_stop, CallerLimits{}));
    }
    this->Spawn(
        RunAdminListener(this->readiness,
                         AdminSettings{.host = this->settings.host.value(),
                                       .ready_path = platform::kReadyPath},
                         this->node));
    this->Spawn(RunAdminListener(
        this->admin, AdminSettings{.host = this->settings.host.value()},
        this->node));
  }

  asio::awaitable<void> Stop() {
    const Duration most = this->settings.stop_time - kStopMargin;
    const EntryEvent stop = EntryStopRequested{.grace_period = most};
    const ControlEvent control_stop = ControlStop{};
    const auto began = std::chrono::steady_clock::now();
    co_await Send(*this->control, control_stop);
    co_await Send(*this->node, EntryTaskMessage(stop));
    co_await this->Sleep(std::min(kCloseAfter, most));
    Post(*this->callers_stop, HostStopping{});
    Post(*this->own_callers_stop, HostStopping{});
    co_await this->Sleep(std::min(kLeaveAfter, most) -
                         std::min(kCloseAfter, most));
    co_await Send(*this->node, EntryTaskMessage(DrainRequest{}));
    const auto passed = std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now() - began);
    const Duration left = std::max(Duration::zero(), most - passed);
    const auto drained = co_await WithTimeout(left, Receive(*this->drained));
    if (!drained) {
      co_await Send(*this->node,
                    EntryTaskMessage(DrainRequest{.is_forced = true}));
      co_await WithTimeout(kCutTime, Receive(*this->drained));
    }
    Log("host").Info(drained ? "stopped: all requests answered"
                             : "stopped: the time to stop is over");
    this->output->Flush(STDOUT_FILENO);
  }

 private:
  void Spawn(asio::awaitable<void> task) {
    asio::co_spawn(this->executor, std::move(task), asio::detached);
  }

  void SpawnFollowers() {
    const std::uint64_t seed = StableHash(this->settings.host.value());
    const auto run = [](auto follower) -> asio::awaitable<void> {
      co_await follower->Run();
    };
    auto operators = std::make_shared<
        KeyedFollower<platform::StoreClient,
                      decltype(&platform::DecodeKeyedRecord), OperatorFeed>>(
        platform::StoreClient(this->executor, this->settings.store),
        FollowerSettings{.topic = platform::kOperatorTopic,
                         .jitter_seed = seed},
        this->read_operator, &platform::DecodeKeyedRecord,
        OperatorFeed(this->control));
    auto registry = std::make_shared<
        KeyedFollower<platform::StoreClient,
                      decltype(&platform::DecodeKeyedRecord), RegistryFeed>>(
        platform::StoreClient(this->executor, this->settings.store),
        FollowerSettings{.topic = platform::kRegistryTopic,
                         .min_read_interval = this->settings.drain_time *
                                              kRegistryGapParts /
                                              kRegistryGapWhole,
                         .jitter_seed = seed + 1},
        std::make_shared<Mailbox<ResyncRequest>>(this->executor, 1),
        &platform::DecodeKeyedRecord, RegistryFeed(this->control));
    this->Spawn(run(operators));
    this->Spawn(run(registry));
  }

  asio::awaitable<void> TickControl() {
    while (true) {
      co_await this->Sleep(kControlTickInterval);
      const ControlEvent tick = ControlTick{};
      co_await Send(*this->control, tick);
    }
  }

  asio::awaitable<void> PassNews() {
    while (true) {
      const auto message = co_await Receive(*this->news);
      const ControlEvent event = std::visit(
          [](const auto& item) { return ControlEvent(item); }, *message);
      co_await Send(*this->control, event);
    }
  }

  asio::awaitable<void> FlushLog() {
    const Log log("log");
    while (true) {
      co_await this->Sleep(kLogFlush);
      const std::uint64_t dropped = this->output->TakeDroppedCount();
      if (dropped > 0) {
        log.Warn("dropped lines: " + std::to_string(dropped));
      }
      this->output->Flush(STDOUT_FILENO);
    }
  }

  asio::awaitable<void> Sleep(Duration time) {
    asio::steady_timer timer(this->executor, time);
    co_await timer.async_wait(kNoThrow);
  }

  asio::io_context& context;
  const HostSettings settings;
  const std::shared_ptr<OutputBuffer> output;
  const asio::any_io_executor executor;
  const std::shared_ptr<EntryTaskMailbox> node;
  const std::shared_ptr<ControlMailbox> control;
  const std::shared_ptr<EntryNotificationMailbox> news;
  const std::shared_ptr<DrainedMailbox> drained;
  const std::shared_ptr<Mailbox<ResyncRequest>> read_operator =
      std::make_shared<Mailbox<ResyncRequest>>(this->executor, 1);
  const std::shared_ptr<StopMailbox> callers_stop =
      std::make_shared<StopMailbox>(this->executor, 1);
  const std::shared_ptr<StopMailbox> own_callers_stop =
      std::make_shared<StopMailbox>(this->executor, 1);
  Acceptor callers;
  Acceptor own_callers;  ///< Null where the own interface is not served.
  Acceptor readiness;
  Acceptor admin;
  Node node_task;
  std::shared_ptr<PeerLinks> peers;
  std::optional<ControlTask> control_task;
};

HostRuntime::HostRuntime(std::shared_ptr<Tasks> tasks)
    : tasks(std::move(tasks)) {}
HostRuntime::~HostRuntime() = default;

Result<std::unique_ptr<HostRuntime>> HostRuntime::Start(
    asio::io_context& context,
    const HostSettings& settings,
    std::shared_ptr<OutputBuffer> output) {
  auto tasks = std::make_shared<Tasks>(context, settings, std::move(output));
  const Result<Done> opened = tasks->Open();
  if (!IsOk(opened)) {
    return ErrorOf(opened);
  }
  tasks->Start();
  return std::unique_ptr<HostRuntime>(new HostRuntime(std::move(tasks)));
}

asio::awaitable<void> HostRuntime::Stop() {
  return this->tasks->Stop();
}

}  // namespace cicadaloft
