#ifndef CICADALOFT_HOST_CONTROL_TASK_H_
#define CICADALOFT_HOST_CONTROL_TASK_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <memory>
#include <utility>
#include <variant>

#include "cicadaloft/control/control_load_monitor.h"
#include "cicadaloft/control/control_state.h"
#include "cicadaloft/forwarding/boot_clock.h"
#include "cicadaloft/forwarding/entry_task_messages.h"
#include "cicadaloft/lease/lease_log_client.h"
#include "cicadaloft/platform/runner_client.h"
#include "cicadaloft/platform/store_client.h"
#include "cicadaloft/store/keyed_follower.h"
#include "cicadaloft/telemetry/decision_log.h"
#include "control_mailbox.h"
#include "peer_links.h"

namespace cicadaloft {

/// The mailboxes and connections at the control task's borders.
struct ControlLinks {
  std::shared_ptr<ControlMailbox> inbox;
  std::shared_ptr<EntryTaskMailbox> node;
  std::shared_ptr<PeerLinks> peers;
  std::shared_ptr<Mailbox<ResyncRequest>> read_operator;
};

/// Owns what this host believes of the system: feeds the state events and
/// carries its effects. Each call to the outside is a task of its own that
/// sends its outcome back.
class ControlTask {
 public:
  ControlTask(boost::asio::any_io_executor executor,
              const LeaseSettings& settings,
              Duration limit_window,
              const std::string& store,
              ControlLinks links)
      : executor(std::move(executor)),
        state(settings, limit_window),
        links(std::move(links)),
        lease_calls(platform::StoreClient(this->executor, store)),
        runners(this->executor, settings.self) {}

  /// Runs until the inbox is closed.
  boost::asio::awaitable<void> Run() {
    auto message = co_await Receive(*this->links.inbox);
    while (message != nullptr) {
      this->Take(*message);
      message = co_await Receive(*this->links.inbox);
    }
  }

 private:
  void Take(const ControlEvent& event) {
    const TimePoint now = this->clock.Now();
    auto step = Decide(std::move(this->state), event, now);
    this->state = std::move(step.state);
    for (const ControlEffect& effect : step.effects) {
      std::visit([this](const auto& item) { this->Carry(item); }, effect);
    }
    if (const auto line = this->load.Record(event, now, this->clock.Now())) {
      this->log(*line);
    }
  }

  void Carry(const SendToEntry& tell) { Post(*this->links.node, tell.event); }
  void Carry(const RereadOperatorTopic&) {
    TrySend(*this->links.read_operator, ResyncRequest{});
  }
  void Carry(const ConnectToHolder& link) { this->links.peers->Carry(link); }
  void Carry(const SendToHolder& tell) { this->links.peers->Carry(tell); }
  void Carry(const SendToHost& tell) { this->links.peers->Carry(tell); }
  void Carry(const SendToAllHosts& tell) { this->links.peers->Carry(tell); }
  void Carry(const DecisionRecord& line) { this->log(line); }

  // The lease asks for one call at a time.
  void Carry(const ReadLeaseLog& read) {
    this->Spawn(this->CallLease(this->lease_calls.Execute(read)));
  }
  void Carry(const AppendLeaseRecord& append) {
    this->Spawn(
        this->CallLease(this->lease_calls.Execute(append, this->clock.Now())));
  }
  void Carry(const SendOrder& order) { this->Spawn(this->Order(order)); }
  void Carry(const RequestTargetReport& ask) { this->Spawn(this->Ask(ask)); }

  boost::asio::awaitable<void> CallLease(
      boost::asio::awaitable<LeaseEvent> call) {
    const ControlEvent event = co_await std::move(call);
    Post(*this->links.inbox, event);
  }

  boost::asio::awaitable<void> Order(SendOrder order) {
    const OrderOutcome outcome = co_await this->runners.SubmitOrder(order);
    Post(*this->links.inbox,
         ControlEvent(OrderEnded{.target = order.target, .outcome = outcome}));
  }

  boost::asio::awaitable<void> Ask(RequestTargetReport ask) {
    const TargetId target = ask.target;
    Result<TargetReport> report =
        co_await this->runners.FetchReport(std::move(ask));
    if (IsOk(report)) {
      Post(*this->links.inbox,
           ControlEvent(TargetReportReceived{
               .target = target, .report = TakeValue(std::move(report))}));
    } else {
      Post(*this->links.inbox,
           ControlEvent(TargetReportFailed{.target = target,
                                           .reason = ErrorOf(report).message}));
    }
  }

  void Spawn(boost::asio::awaitable<void> task) {
    boost::asio::co_spawn(this->executor, std::move(task),
                          boost::asio::detached);
  }

  const boost::asio::any_io_executor executor;
  ControlState state;
  const ControlLinks links;
  LeaseLogClient<platform::StoreClient> lease_calls;
  platform::RunnerClient runners;
  const DecisionLog log;
  ControlLoadMonitor load;
  const BootClock clock{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_CONTROL_TASK_H_
