#ifndef CICADALOFT_HOST_CONTROL_TASK_H_
#define CICADALOFT_HOST_CONTROL_TASK_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/control/control_load_monitor.h"
#include "cicadaloft/control/control_state.h"
#include "cicadaloft/core/spawn.h"
#include "cicadaloft/duties/duty_settings.h"
#include "cicadaloft/forwarding/boot_clock.h"
#include "cicadaloft/forwarding/entry_task_messages.h"
#include "cicadaloft/lease/lease_log_client.h"
#include "cicadaloft/platform/configuration_codec.h"
#include "cicadaloft/platform/duty_client.h"
#include "cicadaloft/platform/registry_codec.h"
#include "cicadaloft/platform/runner_client.h"
#include "cicadaloft/platform/store_client.h"
#include "cicadaloft/relay/relayed_store.h"
#include "cicadaloft/store/keyed_follower.h"
#include "cicadaloft/telemetry/decision_log.h"
#include "cicadaloft/telemetry/log_task_failure.h"
#include "cicadaloft/usage/usage_settings.h"
#include "cicadaloft/usage/usage_topic_client.h"
#include "control_mailbox.h"
#include "peer_links.h"
#include "target_count_gauges.h"

namespace cicadaloft {

/// The mailboxes and connections that the control task uses.
struct ControlTaskChannels {
  std::shared_ptr<ControlMailbox> inbox;
  std::shared_ptr<EntryTaskMailbox> entry;
  std::shared_ptr<PeerLinks> peers;
  std::shared_ptr<Mailbox<ResyncRequest>> operator_resync;
  std::shared_ptr<Mailbox<ResyncRequest>> registry_resync;
  std::shared_ptr<RelayMailbox> operator_relay;
  std::shared_ptr<RelayMailbox> registry_relay;
};

/// Owns the control state of this host: passes each event to it and executes
/// the effects. Each call to the store or a runner is a task of
/// its own that posts the outcome to the inbox.
class ControlTask {
 public:
  ControlTask(boost::asio::any_io_executor executor,
              const LeaseSettings& settings,
              Duration limit_window,
              Duration relay_interval,
              const std::optional<UsageSettings>& usage,
              const std::optional<DutySettings>& duties,
              std::string forward_address,
              const std::string& store,
              const std::shared_ptr<MemoryBudget>& memory,
              StoreCallSink report_store_call,
              ControlTaskChannels channels)
      : executor(std::move(executor)),
        state(settings,
              limit_window,
              relay_interval,
              usage,
              duties && duties->scaling,
              std::move(forward_address)),
        channels(std::move(channels)),
        lease_log(platform::StoreClient(this->executor,
                                        store,
                                        memory,
                                        report_store_call)),
        snapshot_store(this->executor, store, memory, report_store_call),
        runners(this->executor, settings.self, memory) {
    if (duties) {
      this->duty_client.emplace(this->executor, duties->address, settings.self,
                                memory);
    }
    if (usage) {
      this->usage_topic.emplace(
          platform::StoreClient(this->executor, store, memory,
                                std::move(report_store_call)),
          &platform::EncodeKeyedRecord);
    }
  }

  /// Runs until the inbox is closed.
  boost::asio::awaitable<void> Run() {
    auto message = co_await Receive(*this->channels.inbox);
    while (message != nullptr) {
      this->Handle(*message);
      message = co_await Receive(*this->channels.inbox);
    }
  }

 private:
  // Windows of usage reports are windows of the wall clock.
  void Handle(const ControlEvent& event) {
    if (this->usage_topic && std::holds_alternative<ControlTick>(event)) {
      this->Process(UsageEvent(WallClockRead{
          .since_1970 = std::chrono::duration_cast<Duration>(
              std::chrono::system_clock::now().time_since_epoch())}));
    }
    this->Process(event);
  }

  void Process(const ControlEvent& event) {
    const TimePoint now = this->clock.Now();
    auto step = Decide(std::move(this->state), event, now);
    this->state = std::move(step.state);
    for (const ControlEffect& effect : step.effects) {
      std::visit([this](const auto& item) { this->Execute(item); }, effect);
    }
    if (const auto record =
            this->load_monitor.Record(event, now, this->clock.Now())) {
      this->log(*record);
    }
  }

  void Execute(const SendToEntry& effect) {
    Post(*this->channels.entry, effect.event);
  }
  void Execute(const RereadOperatorTopic&) {
    TrySend(*this->channels.operator_resync, ResyncRequest{});
  }
  // Waits for a follower that doesn't read at this moment.
  void Execute(const RereadTopics& reread) {
    Post(*this->channels.operator_resync, ResyncRequest{.era = reread.era});
    Post(*this->channels.registry_resync, ResyncRequest{.era = reread.era});
  }
  void Execute(const ConnectToHolder& effect) {
    this->channels.peers->Execute(effect);
  }
  void Execute(const SendToHolder& effect) {
    this->channels.peers->Execute(effect);
  }
  void Execute(const SendToHost& effect) {
    this->channels.peers->Execute(effect);
  }
  void Execute(const SendToAllHosts& effect) {
    this->channels.peers->Execute(effect);
  }
  void Execute(const SendToHosts& effect) {
    this->channels.peers->Execute(effect);
  }
  // A follower that lags misses messages; it reads the gap from the store.
  void Execute(const RelayReceived& received) {
    TrySend(received.topic.topic == platform::kRegistryTopic
                ? *this->channels.registry_relay
                : *this->channels.operator_relay,
            RelayInput(received));
  }
  // The follower takes it instead of the store's answer.
  void Execute(const SnapshotReceived& received) {
    Post(*this->channels.operator_relay, RelayInput(received));
    TrySend(*this->channels.operator_resync, ResyncRequest{.is_relayed = true});
  }
  void Execute(const ReadSnapshot&) {
    this->Call("read of the operator's topic for other hosts",
               this->ReadOperatorTopic(), SnapshotRead{});
  }
  // Relayed records of the registry lack what the lease holder needs, so a
  // reader begins with a snapshot.
  void Execute(const RelayRole& role) {
    Post(*this->channels.operator_relay, RelayInput(role));
    Post(*this->channels.registry_relay, RelayInput(role));
    if (role.is_reader) {
      TrySend(*this->channels.operator_resync, ResyncRequest{});
      TrySend(*this->channels.registry_resync, ResyncRequest{});
    }
  }
  void Execute(const DecisionRecord& record) { this->log(record); }

  // The lease state requests the next call only after the last one has ended.
  void Execute(const ReadLeaseLog& read) {
    this->Call("read of the lease log",
               this->CallLease(this->lease_log.Execute(read)),
               LeaseEvent(LeaseReadFailed{}));
  }
  void Execute(const AppendLeaseRecord& append) {
    const TimePoint now = this->clock.Now();
    this->Call("append to the lease log",
               this->CallLease(this->lease_log.Execute(append, now)),
               LeaseEvent(LeaseAppendEnded{
                   .outcome = LeaseAppendOutcome::kUnknown, .sent_at = now}));
  }
  // The usage state requests the next call only after the last one has ended.
  void Execute(const ReadUsageTopic& read) {
    this->Call("read of the usage topic",
               this->CallUsageTopic(this->usage_topic->Execute(read)),
               UsageEvent(UsageTopicReadFailed{}));
  }
  void Execute(const AppendUsageRecord& append) {
    this->Call("append to the usage topic",
               this->CallUsageTopic(this->usage_topic->Execute(append)),
               UsageEvent(UsageAppendEnded{}));
  }
  void Execute(const SendUsageReport& report) {
    this->Call("usage report", this->SubmitUsageReport(report),
               UsageEvent(UsageReportEnded{.call = report}));
  }
  void Execute(const CountUsageWindow& count) {
    Post(*this->channels.entry,
         EntryTaskMessage(UsageWindowCounted{ToText(count.outcome)}));
  }
  void Execute(const SendOrder& order) {
    this->Call(
        "order", this->SubmitOrder(order),
        OrderEnded{.target = order.target, .outcome = OrderOutcome::kNoAnswer});
  }
  void Execute(const RequestTargetReport& request) {
    this->Call(
        "target report", this->FetchReport(request),
        TargetReportFailed{.target = request.target, .reason = "an exception"});
  }

  // The scaling state orders nothing without the settings for these calls.
  void Execute(const OrderTargetCount& order) {
    this->Call("order of a target count", this->SubmitTargetCount(order),
               TargetCountOrderEnded{.call = order,
                                     .outcome = DutyCallOutcome::kNoAnswer});
  }
  void Execute(const TargetCountsChanged& change) {
    for (const GaugeReplaced& gauge : MakeTargetCountGauges(change)) {
      Post(*this->channels.entry, gauge);
    }
  }

  void Execute(const StoreLoadLimitChanged& change) {
    std::vector<GaugeSeries> series;
    if (change.limit) {
      series.push_back(
          GaugeSeries{.value = static_cast<double>(*change.limit)});
    }
    Post(*this->channels.entry,
         GaugeReplaced{.name = "cicadaloft_placement_store_load_limit",
                       .series = std::move(series)});
  }

  boost::asio::awaitable<void> SubmitTargetCount(OrderTargetCount order) {
    const DutyCallOutcome outcome =
        co_await this->duty_client->SubmitTargetCount(order);
    Post(*this->channels.inbox, ControlEvent(TargetCountOrderEnded{
                                    .call = order, .outcome = outcome}));
  }

  boost::asio::awaitable<void> ReadOperatorTopic() {
    const Result<NewestRecords> newest =
        co_await this->snapshot_store.ReadNewest(platform::kOperatorTopic);
    SnapshotRead read;
    if (IsOk(newest)) {
      read.snapshot.emplace(RelayedSnapshot{.records = ValueOf(newest).records,
                                            .end = ValueOf(newest).end_offset,
                                            .era = ValueOf(newest).era});
    }
    Post(*this->channels.inbox, ControlEvent(std::move(read)));
  }

  boost::asio::awaitable<void> CallLease(
      boost::asio::awaitable<LeaseEvent> call) {
    const ControlEvent event = co_await std::move(call);
    Post(*this->channels.inbox, event);
  }

  boost::asio::awaitable<void> CallUsageTopic(
      boost::asio::awaitable<UsageEvent> call) {
    const ControlEvent event = co_await std::move(call);
    Post(*this->channels.inbox, event);
  }

  boost::asio::awaitable<void> SubmitUsageReport(SendUsageReport report) {
    const DutyCallOutcome outcome =
        co_await this->duty_client->SubmitUsageReport(report);
    Post(*this->channels.inbox,
         ControlEvent(UsageEvent(
             UsageReportEnded{.call = std::move(report), .outcome = outcome})));
  }

  boost::asio::awaitable<void> SubmitOrder(SendOrder order) {
    const auto reply = co_await this->runners.SubmitOrder(order);
    this->ReportIfLeaving(order.target, reply.is_target_leaving);
    Post(*this->channels.inbox,
         ControlEvent(
             OrderEnded{.target = order.target, .outcome = reply.outcome}));
  }

  boost::asio::awaitable<void> FetchReport(RequestTargetReport request) {
    const TargetId target = request.target;
    const auto reply = co_await this->runners.FetchReport(std::move(request));
    this->ReportIfLeaving(target, reply.is_target_leaving);
    if (IsOk(reply.report)) {
      Post(*this->channels.inbox,
           ControlEvent(TargetReportReceived{.target = target,
                                             .report = ValueOf(reply.report)}));
    } else {
      Post(*this->channels.inbox,
           ControlEvent(TargetReportFailed{
               .target = target, .reason = ErrorOf(reply.report).message}));
    }
  }

  void ReportIfLeaving(const TargetId& target, bool is_leaving) {
    if (is_leaving) {
      Post(*this->channels.inbox,
           ControlEvent(TargetLeavingReport{.target = target}));
    }
  }

  // The state waits for the outcome of each call.
  // @param failure the outcome if an exception ends the call.
  void Call(std::string name,
            boost::asio::awaitable<void> task,
            ControlEvent failure) {
    Spawn(this->executor, std::move(name), std::move(task),
          [inbox = this->channels.inbox,
           failure = std::move(failure)](const TaskFailure& reason) {
            LogTaskFailure{}(reason);
            Post(*inbox, failure);
          });
  }

  const boost::asio::any_io_executor executor;
  ControlState state;
  const ControlTaskChannels channels;
  LeaseLogClient<platform::StoreClient> lease_log;
  /// For the reads on behalf of other hosts.
  platform::StoreClient snapshot_store;
  platform::RunnerClient runners;
  // Absent if the platform wants no usage reports.
  std::optional<UsageTopicClient<platform::StoreClient,
                                 decltype(&platform::EncodeKeyedRecord)>>
      usage_topic;
  /// None without the settings for it.
  std::optional<platform::DutyClient> duty_client;
  const DecisionLog log;
  ControlLoadMonitor load_monitor;
  const BootClock clock{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_CONTROL_TASK_H_
