#ifndef CICADALOFT_DAEMONS_STEWARD_OPERATOR_DESK_H_
#define CICADALOFT_DAEMONS_STEWARD_OPERATOR_DESK_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <concepts>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>

#include "admin_server.h"
#include "cicadaloft/ledger/ledger.h"
#include "cicadaloft/steward/steward_node.h"
#include "cicadaloft/telemetry/decision_log.h"
#include "cicadaloft/telemetry/metrics.h"
#include "cicadaloft/tickets/ticket_codec.h"
#include "status_json.h"
#include "ticket_calls.h"

namespace cicadaloft {

/// What an operator is shown of a node.
template <typename T>
concept OperatorView = requires(const T& view) {
  { view.ledger() } -> std::convertible_to<const Ledger&>;
  { view.Status() } -> std::same_as<StewardStatus>;
};

/// Replies to operators' requests.
/// @tparam Node gives the node's state as an OperatorView by state().
template <typename Node>
  requires OperatorView<
      std::remove_cvref_t<decltype(std::declval<const Node&>().state())>>
class OperatorDesk {
 public:
  /// How long an operator waits for a ticket to be decided.
  static constexpr std::chrono::seconds kTicketLimit{20};

  /// Everything handed in must outlive the desk.
  OperatorDesk(const StewardSettings& settings,
               const Node& node,
               TicketCalls& calls,
               const DecisionLog& decisions,
               const Metrics& metrics)
      : settings(settings),
        node(node),
        calls(calls),
        decisions(decisions),
        metrics(metrics) {}

  boost::asio::awaitable<AdminReply> Answer(AdminRequest request) {
    const bool is_ticket = request.path == "/v1/tickets";
    if (request.method != (is_ticket ? "POST" : "GET")) {
      co_return MakeProblem(
          Fail(ErrorKind::kMethodNotAllowed, "the path has no such method"));
    }
    if (is_ticket) {
      co_return co_await this->TakeTicket(std::move(request));
    }
    co_return this->Show(request.path);
  }

 private:
  boost::asio::awaitable<AdminReply> TakeTicket(AdminRequest request) {
    const Result<Ticket> ticket = ParseTicket(request.body);
    if (!IsOk(ticket)) {
      co_return MakeProblem(ErrorOf(ticket));
    }
    const Result<TicketOutcome> outcome =
        co_await this->calls.Submit(ValueOf(ticket), kTicketLimit);
    if (!IsOk(outcome)) {
      co_return MakeProblem(ErrorOf(outcome));
    }
    co_return MakeJsonReply(FormatOutcome(ValueOf(outcome)));
  }

  AdminReply Show(const std::string& path) const {
    constexpr std::string_view kTicket = "/v1/tickets/";
    constexpr std::string_view kExplain = "/v1/explain/";
    if (path == "/v1/config") {
      return MakeJsonReply(FormatConfig(this->ledger().config()));
    }
    if (path == "/v1/status") {
      return MakeJsonReply(FormatStatus(
          this->settings, this->node.state().Status(), this->ledger()));
    }
    if (path == "/ready") {
      return this->node.state().Status().is_member
                 ? MakeTextReply("ready\n")
                 : MakeProblem(Fail(ErrorKind::kNotConfigured,
                                    "the steward is not a member yet"));
    }
    if (path == "/metrics") {
      return MakeTextReply(this->metrics.Render());
    }
    if (path.starts_with(kTicket)) {
      return this->ShowTicket(path.substr(kTicket.size()));
    }
    if (path.starts_with(kExplain)) {
      return this->Explain(path.substr(kExplain.size()));
    }
    return MakeProblem(Fail(ErrorKind::kNotFound, "no such path: " + path));
  }

  AdminReply ShowTicket(const std::string& text) const {
    constexpr int kDecimal = 10;
    char* end = nullptr;
    const std::uint64_t number = std::strtoull(text.c_str(), &end, kDecimal);
    const TicketOutcome* const outcome =
        text.empty() || *end != '\0'
            ? nullptr
            : this->ledger().config().FindOutcome(TicketNumber(number));
    if (outcome == nullptr) {
      return MakeProblem(
          Fail(ErrorKind::kNotFound, "no outcome is known of ticket " + text));
    }
    return MakeJsonReply(FormatOutcome(*outcome));
  }

  AdminReply Explain(const std::string& request) const {
    const auto lines = this->decisions.LinesOf(RequestId(request));
    if (lines.empty()) {
      return MakeProblem(Fail(ErrorKind::kNotFound,
                              "no decision is kept of request " + request));
    }
    return MakeJsonReply(FormatExplanation(lines));
  }

  const Ledger& ledger() const { return this->node.state().ledger(); }

  const StewardSettings& settings;
  const Node& node;
  TicketCalls& calls;
  const DecisionLog& decisions;
  const Metrics& metrics;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_DAEMONS_STEWARD_OPERATOR_DESK_H_
