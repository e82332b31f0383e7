#ifndef CICADALOFT_HOST_CONTROL_TASK_H_
#define CICADALOFT_HOST_CONTROL_TASK_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <utility>
#include <variant>

#include "cicadaloft/control/control_state.h"
#include "cicadaloft/forwarding/boot_clock.h"
#include "cicadaloft/forwarding/mailbox.h"
#include "cicadaloft/forwarding/node_messages.h"
#include "cicadaloft/telemetry/decision_log.h"

namespace cicadaloft {

using ControlMailbox = Mailbox<ControlEvent>;

/// Messages that may wait for the control task.
inline constexpr std::size_t kControlRoom = 4096;

/// Owns what this host believes of the system: feeds the state events and
/// carries its effects.
class ControlTask {
 public:
  ControlTask(std::shared_ptr<ControlMailbox> inbox,
              std::shared_ptr<NodeMailbox> node,
              std::shared_ptr<DecisionLog> log)
      : inbox(std::move(inbox)), node(std::move(node)), log(std::move(log)) {}

  /// Runs until the inbox is closed.
  boost::asio::awaitable<void> Run() {
    auto message = co_await Receive(*this->inbox);
    while (message != nullptr) {
      this->Take(*message);
      message = co_await Receive(*this->inbox);
    }
  }

 private:
  void Take(const ControlEvent& event) {
    auto step = Decide(std::move(this->state), event, this->clock.Now());
    this->state = std::move(step.state);
    for (const ControlEffect& effect : step.effects) {
      std::visit([this](const auto& item) { this->Carry(item); }, effect);
    }
  }

  void Carry(const TellEntry& tell) { Post(*this->node, tell.event); }
  void Carry(const DecisionLine& line) { this->log->Write(line); }

  ControlState state;
  const std::shared_ptr<ControlMailbox> inbox;
  const std::shared_ptr<NodeMailbox> node;
  const std::shared_ptr<DecisionLog> log;
  const BootClock clock{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_CONTROL_TASK_H_
