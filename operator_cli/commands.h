#ifndef CICADALOFT_OPERATOR_CLI_COMMANDS_H_
#define CICADALOFT_OPERATOR_CLI_COMMANDS_H_

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "cicadaloft/operator_cli/command.h"
#include "cicadaloft/operator_cli/rollout.h"
#include "cicadaloft/tickets/ticket_codec.h"
#include "http_client.h"
#include "reports.h"

namespace cicadaloft {

inline constexpr std::chrono::milliseconds kStatusInterval{250};

/// Sends a call and reports the body of its answer.
/// @param report makes the result from the body.
template <CallSender Sender, typename Report>
Awaitable<CommandResult> Ask(Sender& sender, HttpCall call, Report report) {
  const Result<HttpAnswer> answer = co_await sender.Send(call);
  if (!IsOk(answer)) {
    co_return Unanswered(ErrorOf(answer));
  }
  const Result<std::string> body = BodyOf(ValueOf(answer));
  if (!IsOk(body)) {
    co_return Refused(ErrorOf(body));
  }
  co_return report(ValueOf(body));
}

/// @return the hosts that lag behind the record as far as a steward tells; none
/// if none answers.
template <CallSender Sender>
Awaitable<Result<std::vector<HostId>>> AskLaggingHosts(Sender& sender,
                                                       LogOffset offset) {
  const HttpCall call{.path = "/v1/status"};
  const Result<HttpAnswer> answer = co_await sender.Send(call);
  if (!IsOk(answer)) {
    co_return ErrorOf(answer);
  }
  const Result<std::string> body = BodyOf(ValueOf(answer));
  if (!IsOk(body)) {
    co_return ErrorOf(body);
  }
  const Result<StatusReport> status = ParseStatus(ValueOf(body));
  if (!IsOk(status)) {
    co_return ErrorOf(status);
  }
  co_return LaggingHosts(ValueOf(status), offset);
}

/// Asks for the status again and again until every host acts on the record.
template <CallSender Sender>
Awaitable<Result<std::vector<HostId>>>
WaitForRollout(Sender& sender, LogOffset offset, std::chrono::seconds timeout) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (true) {
    Result<std::vector<HostId>> lagging =
        co_await AskLaggingHosts(sender, offset);
    const bool is_done = IsOk(lagging) && ValueOf(lagging).empty();
    const bool is_late =
        std::chrono::steady_clock::now() + kStatusInterval > deadline;
    if (is_done || is_late) {
      co_return lagging;
    }
    timer.expires_after(kStatusInterval);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
}

/// Hands a ticket in, and waits for it to be in force if that is asked for.
template <CallSender Sender>
Awaitable<CommandResult> Apply(Sender& sender,
                               const Ticket& ticket,
                               const ApplyTicketFile& command,
                               bool as_json) {
  const HttpCall call{.method = HttpMethod::kPost,
                      .path = "/v1/tickets",
                      .body = FormatTicket(ticket)};
  std::optional<LogOffset> accepted_at;
  const CommandResult result =
      co_await Ask(sender, call, [&](const std::string& body) {
        const Result<TicketOutcome> outcome = ParseOutcome(body);
        if (IsOk(outcome) && ValueOf(outcome).accepted()) {
          accepted_at = ValueOf(outcome).offset;
        }
        return ReportOutcome(body, as_json);
      });
  if (result.code == ExitCode::kUnanswered) {
    co_return CommandResult{
        .code = result.code,
        .error = result.error + "The ticket may have been taken. " +
                 std::string(AnswerFor(ErrorKind::kLogUnavailable).advice) +
                 "\n"};
  }
  if (!accepted_at.has_value() || !command.wait.has_value()) {
    co_return result;
  }
  const Result<std::vector<HostId>> lagging =
      co_await WaitForRollout(sender, *accepted_at, *command.wait);
  if (!IsOk(lagging)) {
    co_return CommandResult{.code = ExitCode::kLagging,
                            .output = result.output,
                            .error = "whether it is in force is not known: " +
                                     ErrorOf(lagging).message + "\n"};
  }
  co_return ReportRollout(result, ValueOf(lagging), as_json);
}

/// Asks each entry until one knows the request.
template <CallSender Sender>
Awaitable<CommandResult> Explain(std::vector<Sender>& entries,
                                 const RequestId& request,
                                 bool as_json) {
  std::string unanswered;
  for (Sender& entry : entries) {
    const HttpCall call{.path = "/v1/explain/" + PathSegment(request.value())};
    const CommandResult result =
        co_await Ask(entry, call, [&](const std::string& body) {
          return ReportDecisions(body, as_json);
        });
    if (result.code == ExitCode::kOk) {
      co_return result;
    }
    unanswered += result.code == ExitCode::kUnanswered ? result.error : "";
  }
  if (!unanswered.empty()) {
    co_return CommandResult{.code = ExitCode::kUnanswered, .error = unanswered};
  }
  co_return Refused(
      Fail(ErrorKind::kNotFound, "no entry knows a decision for this request"));
}

}  // namespace cicadaloft

#endif  // CICADALOFT_OPERATOR_CLI_COMMANDS_H_
