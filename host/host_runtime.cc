#include "host_runtime.h"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
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

#include "cicadaloft/alignment/comparison_task.h"
#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/core/spawn.h"
#include "cicadaloft/entry/entry_state.h"
#include "cicadaloft/forwarding/admin_listener.h"
#include "cicadaloft/forwarding/boot_clock.h"
#include "cicadaloft/forwarding/caller_listener.h"
#include "cicadaloft/forwarding/descriptor_limits.h"
#include "cicadaloft/forwarding/entry_task.h"
#include "cicadaloft/forwarding/origin_task.h"
#include "cicadaloft/platform/configuration_codec.h"
#include "cicadaloft/platform/host_client.h"
#include "cicadaloft/platform/protocols.h"
#include "cicadaloft/platform/registry_codec.h"
#include "cicadaloft/platform/store_client.h"
#include "cicadaloft/relay/relay_intervals.h"
#include "cicadaloft/relay/relayed_store.h"
#include "cicadaloft/store/keyed_follower.h"
#include "cicadaloft/telemetry/decision_log.h"
#include "cicadaloft/telemetry/log.h"
#include "control_task.h"
#include "peer_links.h"
#include "request_listeners.h"
#include "topic_feeds.h"
#include "usage_duty.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

/// Relayed messages that may wait for a follower.
constexpr std::size_t kRelayMailboxCapacity = 64;

/// How long a stopping host still accepts connections: until callers are routed
/// to other hosts, which takes two failed readiness probes, one a second, plus
/// the network delay. Then it closes idle connections immediately and the
/// others after their responses.
constexpr Duration kConnectionCloseDelay = std::chrono::milliseconds(2400);
/// When a stopping host requests the drain: a little after it has closed the
/// connections, for requests that were sent before their caller saw the close.
constexpr Duration kDrainDelay = std::chrono::milliseconds(3500);

/// Time to log the requests that are still open when the stop time is over;
/// part of kStopMargin.
constexpr Duration kForcedDrainTimeout = std::chrono::milliseconds(100);

/// How long a stopping host waits for its connections to end after the last
/// request: at the end of the stop time, and at most otherwise. Answers arrive
/// at their callers in that time, and requests that were queued are answered.
constexpr Duration kMinCloseTime = std::chrono::milliseconds(300);
constexpr Duration kMaxCloseTime = std::chrono::milliseconds(2200);

/// Reserved at the end of the stop time, so that the last responses reach their
/// callers.
constexpr Duration kStopMargin = std::chrono::milliseconds(700);

/// @return an unguessable secret, new for each process.
std::string MakeSecret() {
  constexpr int kWords = 4;
  std::random_device device;
  std::string secret;
  for (int i = 0; i < kWords; ++i) {
    secret += std::to_string(device()) + ".";
  }
  return secret;
}

using HostStore = RelayedStore<platform::StoreClient, BootClock, StoreReadFeed>;
using HostEntryTask =
    EntryTask<EntryState, platform::RunnerProtocol, BootClock, DecisionLog>;
/// Sends the outcomes of comparisons to the entry task.
struct ComparisonReports {
  std::shared_ptr<EntryTaskMailbox> entry;

  void operator()(const ConfigurationsCompared& compared) const {
    Post(*this->entry, EntryTaskMessage(EntryEvent(compared)));
  }
};

using HostComparisonTask =
    ComparisonTask<platform::HostClient, ComparisonReports>;
using HostOriginTask =
    OriginTask<platform::StoreClient, BootClock, OriginReplies>;

}  // namespace

class HostRuntime::Tasks : public std::enable_shared_from_this<Tasks> {
 public:
  Tasks(asio::io_context& context,
        const HostSettings& settings,
        HostListeners listeners,
        std::shared_ptr<OutputBuffer> output)
      : settings(settings),
        listeners(std::move(listeners)),
        output(std::move(output)),
        executor(context.get_executor()),
        entry_mailbox(
            std::make_shared<EntryTaskMailbox>(this->executor,
                                               kEntryTaskMailboxCapacity)),
        control_mailbox(
            std::make_shared<ControlMailbox>(this->executor,
                                             kControlMailboxCapacity)),
        entry_notifications(std::make_shared<EntryNotificationMailbox>(
            this->executor,
            kControlMailboxCapacity)),
        drained(std::make_shared<DrainedMailbox>(this->executor, 1)),
        origin_mailbox(
            std::make_shared<OriginTaskMailbox>(this->executor,
                                                kOriginTaskMailboxCapacity)),
        comparison_mailbox(
            std::make_shared<ComparisonMailbox>(this->executor,
                                                kComparisonMailboxCapacity)),
        entry_task(
            this->executor,
            DetourHost{.host = settings.host,
                       .address = this->ForwardAddress()},
            EntryState(
                EntrySettings{.host = settings.host,
                              .data_centre = settings.data_centre,
                              .retry_ratio = settings.retry_ratio,
                              .retry_slack = settings.retry_slack,
                              .limit_overshoot = settings.limit_overshoot,
                              .limit_slack = settings.limit_slack,
                              .limit_window = settings.limit_window,
                              .is_first_start = settings.is_first_start,
                              .max_forwarded_requests =
                                  MaxForwardedRequests(DescriptorLimit()),
                              .counts_usage = ReportsUsage(settings)}),
            EntryTaskMailboxes{.inbox = this->entry_mailbox,
                               .notifications = this->entry_notifications,
                               .drained = this->drained,
                               .origins = this->origin_mailbox,
                               .comparisons = this->comparison_mailbox},
            TargetLimits{.memory = this->memory},
            BootClock{},
            DecisionLog()) {}

  void Open() {
    const LeaseSettings lease{
        .self = this->settings.host,
        .address = this->settings.peer_listen,
        .secret = MakeSecret(),
        .cores = this->settings.cores,
        .handover_delay = this->settings.handover_delay,
        .is_first_start = this->settings.is_first_start,
        .follows_log_while_stopping = ReportsUsage(this->settings)};
    this->peers = PeerLinks::Open(std::move(*this->listeners.peer), lease,
                                  this->control_mailbox, this->memory);
    this->control_task.emplace(
        this->executor, lease, this->settings.limit_window,
        RelayInterval(this->settings.drain_time),
        MakeUsageSettings(this->settings), this->settings.duties,
        this->ForwardAddress(), this->settings.store, this->memory,
        this->ReportStoreCalls(),
        ControlTaskChannels{.inbox = this->control_mailbox,
                            .entry = this->entry_mailbox,
                            .peers = this->peers,
                            .operator_resync = this->operator_resync,
                            .registry_resync = this->registry_resync,
                            .operator_relay = this->operator_relay,
                            .registry_relay = this->registry_relay});
    this->OpenOriginTask();
  }

  /// @return where other hosts reach the listener for forwarded requests; empty
  /// if there is none.
  std::string ForwardAddress() const {
    return this->listeners.forwarded != nullptr ? this->settings.forward_listen
                                                : std::string();
  }

  void OpenOriginTask() {
    const auto make_store = [this] {
      return platform::StoreClient(this->executor, this->settings.store,
                                   this->memory, this->ReportStoreCalls());
    };
    // Reads don't wait for appends.
    this->origin_task.emplace(this->executor, make_store(), make_store(),
                              this->origin_mailbox, BootClock{},
                              OriginReplies(this->entry_mailbox));
  }

  void Start() {
    this->Start("links", this->peers->Run());
    this->Start("entry", this->entry_task.Run());
    this->Start("entry ticks", RunTicks(this->entry_mailbox));
    this->Start("control", this->control_task->Run());
    this->Start("control ticks", this->SendControlTicks());
    this->Start("stream origins", this->origin_task->Run());
    this->Start("comparisons", this->comparison_task.Run());
    this->Start("entry notifications", this->ForwardEntryNotifications());
    this->SpawnFollowers();
    this->request_listeners.Start(this->entry_mailbox);
    this->Start(
        "readiness",
        RunAdminListener(this->listeners.readiness,
                         AdminSettings{.host = this->settings.host.value(),
                                       .ready_path = platform::kReadyPath},
                         this->entry_mailbox));
    this->Start("admin", RunAdminListener(
                             this->listeners.admin,
                             AdminSettings{.host = this->settings.host.value()},
                             this->entry_mailbox));
  }

  asio::awaitable<void> Stop() {
    const Duration grace_period = this->settings.stop_time - kStopMargin;
    const EntryEvent stop = EntryStopRequested{.grace_period = grace_period};
    const ControlEvent control_stop = ControlStop{};
    const auto start = std::chrono::steady_clock::now();
    co_await Send(*this->control_mailbox, control_stop);
    co_await Send(*this->entry_mailbox, EntryTaskMessage(stop));
    co_await this->Sleep(std::min(kConnectionCloseDelay, grace_period));
    this->request_listeners.NotifyStop();
    co_await this->Sleep(std::min(kDrainDelay, grace_period) -
                         std::min(kConnectionCloseDelay, grace_period));
    co_await Send(*this->entry_mailbox, EntryTaskMessage(DrainRequest{}));
    const Duration remaining =
        std::max(Duration::zero(), grace_period - Elapsed(start));
    const auto drained =
        co_await WithTimeout(remaining, Receive(*this->drained));
    const ListenerClosed closed = co_await CloseListeners(
        this->request_listeners.stops(),
        drained ? std::clamp(grace_period - Elapsed(start), kMinCloseTime,
                             kMaxCloseTime)
                : kMinCloseTime);
    Log("host").Event(
        R"("event":"host.listeners_closed","last_accepted":)" +
        std::to_string(closed.last_accepted) + R"(,"open_connections":)" +
        std::to_string(closed.open_connections) + R"(,"unread_bytes":)" +
        std::to_string(closed.unread_bytes));
    if (!drained || closed.open_connections != 0) {
      co_await Send(*this->entry_mailbox,
                    EntryTaskMessage(DrainRequest{.is_forced = true}));
      co_await WithTimeout(kForcedDrainTimeout, Receive(*this->drained));
    }
    const bool is_whole = drained && closed.open_connections == 0;
    Log("host").Info(is_whole  ? "stopped: all requests answered"
                     : drained ? "stopped: connections were still open"
                               : "stopped: the time to stop is over");
    this->output->Flush(STDOUT_FILENO);
  }

 private:
  // Nothing restarts one of these tasks: without it the host would live on and
  // not serve.
  void Start(std::string name, asio::awaitable<void> task) {
    Spawn(this->executor, std::move(name), std::move(task), EndProcess{});
  }

  static Duration Elapsed(std::chrono::steady_clock::time_point start) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now() - start);
  }

  void SpawnFollowers() {
    const std::uint64_t seed = StableHash(this->settings.host.value());
    const auto run = [](auto follower) -> asio::awaitable<void> {
      co_await follower->Run();
    };
    auto operator_follower = std::make_shared<KeyedFollower<
        HostStore, decltype(&platform::DecodeKeyedRecord), OperatorFeed>>(
        this->MakeStore(this->operator_relay,
                        OperatorReadSettings(this->settings.drain_time,
                                             this->settings.host)),
        FollowerSettings{.topic = platform::kOperatorTopic,
                         .jitter_seed = seed},
        this->operator_resync, &platform::DecodeKeyedRecord,
        OperatorFeed(this->control_mailbox));
    auto registry_follower = std::make_shared<KeyedFollower<
        HostStore, decltype(&platform::DecodeKeyedRecord), RegistryFeed>>(
        this->MakeStore(this->registry_relay,
                        RegistryReadSettings(this->settings.drain_time,
                                             this->settings.host)),
        FollowerSettings{.topic = platform::kRegistryTopic,
                         .jitter_seed = seed + 1},
        this->registry_resync, &platform::DecodeKeyedRecord,
        RegistryFeed(this->control_mailbox));
    this->Start("operator follower", run(operator_follower));
    this->Start("registry follower", run(registry_follower));
  }

  HostStore MakeStore(const std::shared_ptr<RelayMailbox>& relay,
                      const RelayedStoreSettings& store_settings) {
    return HostStore(
        platform::StoreClient(this->executor, this->settings.store,
                              this->memory, this->ReportStoreCalls()),
        store_settings, relay, BootClock{},
        StoreReadFeed(this->control_mailbox));
  }

  // The entry task renders the metrics; the control task and the task of the
  // stream origins follow the store's era.
  StoreCallSink ReportStoreCalls() const {
    return [entry = this->entry_mailbox, control = this->control_mailbox,
            origins = this->origin_mailbox](const StoreCallEnded& ended) {
      Post(*entry, EntryTaskMessage(ended));
      if (ended.era) {
        const StoreEraSeen seen{.era = *ended.era};
        Post(*control, ControlEvent(seen));
        Post(*origins, OriginTaskMessage(OriginEvent(seen)));
      }
    };
  }

  asio::awaitable<void> SendControlTicks() {
    while (true) {
      co_await this->Sleep(kControlTickInterval);
      const ControlEvent tick = ControlTick{};
      co_await Send(*this->control_mailbox, tick);
    }
  }

  asio::awaitable<void> ForwardEntryNotifications() {
    while (true) {
      const auto message = co_await Receive(*this->entry_notifications);
      const ControlEvent event = std::visit(
          [](const auto& item) { return ControlEvent(item); }, *message);
      co_await Send(*this->control_mailbox, event);
    }
  }

  asio::awaitable<void> Sleep(Duration time) {
    asio::steady_timer timer(this->executor, time);
    co_await timer.async_wait(kNoThrow);
  }

  const HostSettings settings;
  const HostListeners listeners;
  /// Of all connections of this host.
  const std::shared_ptr<MemoryBudget> memory = MakePeerMemoryBudget();
  const std::shared_ptr<OutputBuffer> output;
  const asio::any_io_executor executor;
  const std::shared_ptr<EntryTaskMailbox> entry_mailbox;
  const std::shared_ptr<ControlMailbox> control_mailbox;
  const std::shared_ptr<EntryNotificationMailbox> entry_notifications;
  const std::shared_ptr<DrainedMailbox> drained;
  const std::shared_ptr<OriginTaskMailbox> origin_mailbox;
  const std::shared_ptr<ComparisonMailbox> comparison_mailbox;
  const std::shared_ptr<Mailbox<ResyncRequest>> operator_resync =
      std::make_shared<Mailbox<ResyncRequest>>(this->executor, 1);
  const std::shared_ptr<Mailbox<ResyncRequest>> registry_resync =
      std::make_shared<Mailbox<ResyncRequest>>(this->executor, 1);
  const std::shared_ptr<RelayMailbox> operator_relay =
      std::make_shared<RelayMailbox>(this->executor, kRelayMailboxCapacity);
  const std::shared_ptr<RelayMailbox> registry_relay =
      std::make_shared<RelayMailbox>(this->executor, kRelayMailboxCapacity);
  RequestListeners request_listeners{this->executor, this->listeners,
                                     this->settings.host, this->memory};
  HostEntryTask entry_task;
  HostComparisonTask comparison_task{
      this->executor,
      platform::HostClient(this->executor, this->settings.host, this->memory),
      this->comparison_mailbox, ComparisonReports{this->entry_mailbox}};
  std::shared_ptr<PeerLinks> peers;
  std::optional<ControlTask> control_task;
  std::optional<HostOriginTask> origin_task;
};

HostRuntime::HostRuntime(std::shared_ptr<Tasks> tasks)
    : tasks(std::move(tasks)) {}
HostRuntime::~HostRuntime() = default;

std::unique_ptr<HostRuntime> HostRuntime::Start(
    asio::io_context& context,
    const HostSettings& settings,
    HostListeners listeners,
    std::shared_ptr<OutputBuffer> output) {
  auto tasks = std::make_shared<Tasks>(context, settings, std::move(listeners),
                                       std::move(output));
  tasks->Open();
  tasks->Start();
  return std::unique_ptr<HostRuntime>(new HostRuntime(std::move(tasks)));
}

asio::awaitable<void> HostRuntime::Stop() {
  return this->tasks->Stop();
}

}  // namespace cicadaloft
