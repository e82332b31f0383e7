#ifndef CICADALOFT_OPERATOR_CLI_COMMAND_H_
#define CICADALOFT_OPERATOR_CLI_COMMAND_H_

#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/core/id.h"

namespace cicadaloft {

/// Reads a ticket file and checks it by itself.
struct CheckTicketFile {
  const std::string file;

  friend auto operator<=>(const CheckTicketFile&,
                          const CheckTicketFile&) = default;
  friend bool operator==(const CheckTicketFile&,
                         const CheckTicketFile&) = default;
};

/// Hands a ticket to a steward.
struct ApplyTicketFile {
  const std::string file;
  /// How long to wait until the ticket is in force on every host; none: not.
  const std::optional<std::chrono::seconds> wait;

  friend auto operator<=>(const ApplyTicketFile&,
                          const ApplyTicketFile&) = default;
  friend bool operator==(const ApplyTicketFile&,
                         const ApplyTicketFile&) = default;
};

struct ShowTicket {
  const TicketNumber number;

  friend auto operator<=>(const ShowTicket&, const ShowTicket&) = default;
  friend bool operator==(const ShowTicket&, const ShowTicket&) = default;
};

/// Makes a key for a customer.
struct NewKey {
  const CustomerId customer;

  friend auto operator<=>(const NewKey&, const NewKey&) = default;
  friend bool operator==(const NewKey&, const NewKey&) = default;
};

struct ShowConfig {
  friend auto operator<=>(const ShowConfig&, const ShowConfig&) = default;
  friend bool operator==(const ShowConfig&, const ShowConfig&) = default;
};

struct ShowStatus {
  friend auto operator<=>(const ShowStatus&, const ShowStatus&) = default;
  friend bool operator==(const ShowStatus&, const ShowStatus&) = default;
};

/// Shows the decisions that were made for a request.
struct ExplainRequest {
  const RequestId request;

  friend auto operator<=>(const ExplainRequest&,
                          const ExplainRequest&) = default;
  friend bool operator==(const ExplainRequest&,
                         const ExplainRequest&) = default;
};

/// Prints a text, such as the help.
struct PrintText {
  const std::string text;

  friend auto operator<=>(const PrintText&, const PrintText&) = default;
  friend bool operator==(const PrintText&, const PrintText&) = default;
};

using Command = std::variant<CheckTicketFile,
                             ApplyTicketFile,
                             ShowTicket,
                             NewKey,
                             ShowConfig,
                             ShowStatus,
                             ExplainRequest,
                             PrintText>;

/// What the command line asks for.
struct Invocation {
  const Command command;
  const std::vector<std::string> stewards;  ///< URLs, in the order of trying.
  const std::vector<std::string> entries;   ///< URLs, in the order of trying.
  const bool as_json = false;

  friend auto operator<=>(const Invocation&, const Invocation&) = default;
  friend bool operator==(const Invocation&, const Invocation&) = default;
};

enum class ExitCode : int {
  kOk = 0,
  kRefused = 1,
  kBadInput = 2,
  kUnanswered = 3,
  kLagging = 4,  ///< Accepted, but not yet in force on every host.
};

/// What a command prints and how the program ends.
struct CommandResult {
  const ExitCode code = ExitCode::kOk;
  const std::string output;
  const std::string error;

  friend auto operator<=>(const CommandResult&, const CommandResult&) = default;
  friend bool operator==(const CommandResult&, const CommandResult&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_OPERATOR_CLI_COMMAND_H_
