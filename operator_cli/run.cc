#include "cicadaloft/operator_cli/run.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/operator_cli/new_key.h"
#include "cicadaloft/tickets/ticket_codec.h"
#include "commands.h"
#include "ticket_file.h"

namespace cicadaloft {
namespace {

/// Runs one task to its end.
CommandResult Await(Awaitable<CommandResult> task) {
  boost::asio::io_context context;
  auto result =
      boost::asio::co_spawn(context, std::move(task), boost::asio::use_future);
  context.run();
  return result.get();
}

/// Runs a command that needs stewards.
template <typename MakeTask>
CommandResult WithStewards(const Invocation& invocation, MakeTask make_task) {
  const auto servers = ParseHttpUrls(invocation.stewards);
  if (!IsOk(servers)) {
    return BadInput(ErrorOf(servers));
  }
  HttpClient stewards(ValueOf(servers));
  return Await(make_task(stewards));
}

CommandResult Check(const CheckTicketFile& command, bool as_json) {
  const Result<Ticket> ticket = ReadTicketFile(command.file);
  if (!IsOk(ticket)) {
    return BadInput(ErrorOf(ticket));
  }
  return CommandResult{
      .output = as_json ? FormatTicket(ValueOf(ticket))
                        : command.file + ": ticket " +
                              std::to_string(ValueOf(ticket).number.value()) +
                              " is well formed\n"};
}

CommandResult ApplyFile(const Invocation& invocation,
                        const ApplyTicketFile& command) {
  const Result<Ticket> ticket = ReadTicketFile(command.file);
  if (!IsOk(ticket)) {
    return BadInput(ErrorOf(ticket));
  }
  return WithStewards(invocation, [&](HttpClient& stewards) {
    return Apply(stewards, ValueOf(ticket), command, invocation.as_json);
  });
}

CommandResult MakeKey(const NewKey& command, bool as_json) {
  if (command.customer.empty()) {
    return BadInput(
        Fail(ErrorKind::kMalformedRequest, "CUSTOMER: expected a name"));
  }
  const Result<KeyMaterial> material = DrawKeyMaterial();
  if (!IsOk(material)) {
    return Refused(ErrorOf(material));
  }
  return ReportKey(IssueKey(command.customer, ValueOf(material)), as_json);
}

CommandResult ExplainAt(const Invocation& invocation,
                        const ExplainRequest& command) {
  const auto servers = ParseHttpUrls(invocation.entries);
  if (!IsOk(servers)) {
    return BadInput(ErrorOf(servers));
  }
  std::vector<HttpClient> entries;
  std::ranges::transform(ValueOf(servers), std::back_inserter(entries),
                         [](const HttpUrl& server) {
                           return HttpClient(std::vector<HttpUrl>{server});
                         });
  return Await(Explain(entries, command.request, invocation.as_json));
}

}  // namespace

CommandResult Run(const Invocation& invocation) {
  const bool as_json = invocation.as_json;
  const auto show = [&](const std::string& path, auto report) {
    return WithStewards(invocation, [&](HttpClient& stewards) {
      return Ask(stewards, HttpCall{.path = path},
                 [as_json, report](const std::string& body) {
                   return report(body, as_json);
                 });
    });
  };
  return std::visit(
      Overloaded{
          [&](const CheckTicketFile& command) {
            return Check(command, as_json);
          },
          [&](const ApplyTicketFile& command) {
            return ApplyFile(invocation, command);
          },
          [&](const ShowTicket& command) {
            return show("/v1/tickets/" + std::to_string(command.number.value()),
                        ReportOutcome);
          },
          [&](const NewKey& command) { return MakeKey(command, as_json); },
          [&](const ShowConfig&) { return show("/v1/config", ReportConfig); },
          [&](const ShowStatus&) { return show("/v1/status", ReportStatus); },
          [&](const ExplainRequest& command) {
            return ExplainAt(invocation, command);
          },
          [](const PrintText& command) {
            return CommandResult{.output = command.text};
          },
      },
      invocation.command);
}

}  // namespace cicadaloft
