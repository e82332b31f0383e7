#include "cicadaloft/operator_cli/arguments.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <charconv>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

namespace cicadaloft {
namespace {

constexpr const char* kUsage =
    R"(cicadaloft: checks and applies tickets, shows state and decisions.

Usage:
  cicadaloft ticket check FILE [--json]
  cicadaloft ticket apply FILE [--wait] [--timeout=SECONDS] [--steward=URLS] [--json]
  cicadaloft ticket show NUMBER [--steward=URLS] [--json]
  cicadaloft key new CUSTOMER [--json]
  cicadaloft config show [--steward=URLS] [--json]
  cicadaloft status [--steward=URLS] [--json]
  cicadaloft explain REQUEST_ID [--entry=URLS] [--json]
  cicadaloft (-h | --help)
  cicadaloft --version

Options:
  --steward=URLS     Stewards, parted by commas; the next is tried where one
                     does not answer. Default: $CICADALOFT_STEWARD.
  --entry=URLS       Entries, likewise. Default: $CICADALOFT_ENTRY.
  --wait             Wait until the ticket is in force on every host.
  --timeout=SECONDS  How long to wait for that [default: 30].
  --json             Print JSON instead of text.
  -h --help          Print this text.
  --version          Print the version.

Applying the same ticket again does no harm.

Exit codes:
  0  done
  1  refused, not accepted or not found
  2  wrong usage or input, such as a malformed ticket
  3  no steward or entry gave a usable answer
  4  accepted, but not in force on every host within the timeout
)";

constexpr const char* kVersion = "cicadaloft 0.1.0\n";
constexpr std::uint64_t kMaxTimeoutSeconds = 3600;

using Values = std::map<std::string, docopt::value>;

bool IsSet(const Values& values, const std::string& name) {
  const docopt::value& value = values.at(name);
  return value.isBool() && value.asBool();
}

std::string TextOf(const Values& values, const std::string& name) {
  const docopt::value& value = values.at(name);
  return value.isString() ? value.asString() : "";
}

/// @return the URLs that stand in `text`, parted by commas.
std::vector<std::string> SplitUrls(const std::string& text) {
  std::vector<std::string> urls;
  boost::algorithm::split(urls, text, boost::algorithm::is_any_of(","));
  std::erase(urls, "");
  return urls;
}

Result<std::uint64_t> ParseNumber(const std::string& name,
                                  const std::string& text,
                                  std::uint64_t max) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end || number == 0 || number > max) {
    return Fail(ErrorKind::kMalformedRequest,
                name + ": expected a whole number from 1 to " +
                    std::to_string(max) + ", found '" + text + "'");
  }
  return number;
}

Result<Command> TicketCommandOf(const Values& values) {
  if (IsSet(values, "check")) {
    return CheckTicketFile{.file = TextOf(values, "FILE")};
  }
  if (IsSet(values, "show")) {
    const auto number = ParseNumber("NUMBER", TextOf(values, "NUMBER"),
                                    std::numeric_limits<std::uint64_t>::max());
    if (!IsOk(number)) {
      return ErrorOf(number);
    }
    return ShowTicket{.number = TicketNumber(ValueOf(number))};
  }
  const auto timeout =
      ParseNumber("--timeout", TextOf(values, "--timeout"), kMaxTimeoutSeconds);
  if (!IsOk(timeout)) {
    return ErrorOf(timeout);
  }
  return ApplyTicketFile{
      .file = TextOf(values, "FILE"),
      .wait = IsSet(values, "--wait")
                  ? std::optional(std::chrono::seconds(ValueOf(timeout)))
                  : std::nullopt};
}

Result<Command> CommandOf(const Values& values) {
  if (IsSet(values, "ticket")) {
    return TicketCommandOf(values);
  }
  if (IsSet(values, "key")) {
    return NewKey{.customer = CustomerId(TextOf(values, "CUSTOMER"))};
  }
  if (IsSet(values, "config")) {
    return ShowConfig{};
  }
  if (IsSet(values, "status")) {
    return ShowStatus{};
  }
  return ExplainRequest{.request = RequestId(TextOf(values, "REQUEST_ID"))};
}

/// @return what is missing of the addresses that the command needs.
std::optional<Error> CheckAddresses(const Invocation& invocation) {
  const bool asks_entry =
      std::holds_alternative<ExplainRequest>(invocation.command);
  const bool is_local =
      std::holds_alternative<CheckTicketFile>(invocation.command) ||
      std::holds_alternative<NewKey>(invocation.command);
  if (is_local ||
      !(asks_entry ? invocation.entries : invocation.stewards).empty()) {
    return std::nullopt;
  }
  return Fail(ErrorKind::kMalformedRequest,
              asks_entry ? "expected --entry or $CICADALOFT_ENTRY"
                         : "expected --steward or $CICADALOFT_STEWARD");
}

Result<Invocation> Interpret(const Values& values,
                             const CliEnvironment& environment) {
  const Result<Command> command = CommandOf(values);
  if (!IsOk(command)) {
    return ErrorOf(command);
  }
  const auto urls_of = [&](const std::string& option,
                           const std::string& fallback) {
    const std::string text = TextOf(values, option);
    return SplitUrls(text.empty() ? fallback : text);
  };
  Invocation invocation{.command = ValueOf(command),
                        .stewards = urls_of("--steward", environment.stewards),
                        .entries = urls_of("--entry", environment.entries),
                        .as_json = IsSet(values, "--json")};
  if (const std::optional<Error> error = CheckAddresses(invocation)) {
    return *error;
  }
  return invocation;
}

}  // namespace

Result<Invocation> ParseArguments(const std::vector<std::string>& arguments,
                                  const CliEnvironment& environment) {
  try {
    return Interpret(docopt::docopt_parse(kUsage, arguments), environment);
  } catch (const docopt::DocoptExitHelp&) {
    return Invocation{.command = PrintText{.text = kUsage}};
  } catch (const docopt::DocoptExitVersion&) {
    return Invocation{.command = PrintText{.text = kVersion}};
  } catch (const docopt::DocoptArgumentError& error) {
    return Fail(ErrorKind::kMalformedRequest,
                std::string(error.what()) + "\n\n" + kUsage);
  }
}

}  // namespace cicadaloft
