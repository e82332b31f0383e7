#include "reports.h"

#include <algorithm>
#include <sstream>

#include "cicadaloft/codec/json.h"
#include "cicadaloft/tickets/item_json.h"
#include "cicadaloft/tickets/ticket_codec.h"
#include "status_json.h"

namespace cicadaloft {
namespace {

constexpr JsonLimits kAnswerLimits{.max_bytes = std::size_t{64} << 20,
                                   .max_depth = 32,
                                   .max_values = 4'000'000};
constexpr int kHttpOk = 200;
constexpr int kIndent = 2;  ///< Spaces a level.

Result<Json> ParseAnswer(std::string_view body) {
  return ParseJson(body, kAnswerLimits, JsonComments::kRefused);
}

/// @return the value as it reads in a line: texts without quotes.
std::string TextOf(const Json& value) {
  return value.is_string()
             ? value.get<std::string>()
             : value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// @return the field as text, or nothing where there is none.
std::string FieldOf(const Json& object, const char* name) {
  const auto found = object.find(name);
  return found == object.end() ? "" : TextOf(*found);
}

/// @return the object's fields as "name=value", parted by spaces.
std::string LineOf(const Json& object) {
  if (!object.is_object()) {
    return TextOf(object);
  }
  std::string line;
  for (const auto& [name, value] : object.items()) {
    line += (line.empty() ? "" : " ") + name + "=" + TextOf(value);
  }
  return line;
}

CommandResult Misread(const std::string& why) {
  return Unanswered(
      Fail(ErrorKind::kInternal, "the answer is not understood: " + why));
}

std::string YesOrNo(bool value) {
  return value ? "yes" : "no";
}

}  // namespace

Result<std::string> BodyOf(const HttpAnswer& answer) {
  if (answer.status == kHttpOk) {
    return answer.body;
  }
  const Result<Json> problem = ParseAnswer(answer.body);
  if (!IsOk(problem) || !ValueOf(problem).is_object()) {
    return Fail(ErrorKind::kInternal,
                "the server answered status " + std::to_string(answer.status));
  }
  const Json& fields = ValueOf(problem);
  const std::string token = FieldOf(fields, "kind");
  return Fail(ErrorKindFromToken(token).value_or(ErrorKind::kInternal),
              FieldOf(fields, "message") + " (" + token + ", " +
                  FieldOf(fields, "run_state") + "). " +
                  FieldOf(fields, "advice"));
}

Result<StatusReport> ParseStatus(std::string_view body) {
  const Result<Json> json = ParseAnswer(body);
  if (!IsOk(json)) {
    return ErrorOf(json);
  }
  // Stewards of later releases may say more.
  JsonReader reader(UnknownFields::kIgnored);
  return reader.Finish(FromJson<StatusReport>(ValueOf(json), reader),
                       ErrorKind::kMalformedRequest);
}

CommandResult BadInput(const Error& error) {
  return CommandResult{.code = ExitCode::kBadInput,
                       .error = error.message + "\n"};
}

CommandResult Refused(const Error& error) {
  return CommandResult{.code = ExitCode::kRefused,
                       .error = error.message + "\n"};
}

CommandResult Unanswered(const Error& error) {
  return CommandResult{.code = ExitCode::kUnanswered,
                       .error = "no usable answer: " + error.message + "\n"};
}

CommandResult ReportOutcome(const std::string& body, bool as_json) {
  const Result<TicketOutcome> outcome = ParseOutcome(body);
  if (!IsOk(outcome)) {
    return Misread(ErrorOf(outcome).message);
  }
  const TicketOutcome& value = ValueOf(outcome);
  std::ostringstream text;
  text << "ticket " << value.number.value() << ": ";
  if (value.accepted()) {
    text << "accepted at offset " << value.offset.value() << "\n";
  } else {
    text << "refused: " << value.refusal->message << " ("
         << AnswerFor(value.refusal->kind).token << ")\n";
  }
  if (value.overtaken_by.has_value()) {
    text << "overtaken by ticket " << value.overtaken_by->value() << "\n";
  }
  return CommandResult{
      .code = value.accepted() ? ExitCode::kOk : ExitCode::kRefused,
      .output = as_json ? body : text.str()};
}

CommandResult ReportConfig(const std::string& body, bool as_json) {
  const Result<Json> config = ParseAnswer(body);
  if (!IsOk(config) || !ValueOf(config).is_object()) {
    return Misread("expected an object");
  }
  std::ostringstream text;
  for (const auto& [list, items] : ValueOf(config).items()) {
    text << list << ":\n";
    std::ranges::for_each(
        items, [&](const Json& item) { text << "  " << LineOf(item) << "\n"; });
  }
  return CommandResult{.output = as_json ? body : text.str()};
}

CommandResult ReportStatus(const std::string& body, bool as_json) {
  const Result<StatusReport> parsed = ParseStatus(body);
  if (!IsOk(parsed)) {
    return Misread(ErrorOf(parsed).message);
  }
  const StatusReport& status = ValueOf(parsed);
  std::ostringstream text;
  text << "host " << status.host.value() << " in " << status.data_centre.value()
       << ": member " << YesOrNo(status.is_member) << ", log reachable "
       << YesOrNo(status.log_reachable) << ", rights usable "
       << YesOrNo(status.may_use_rights) << ", next offset "
       << status.next.value() << ", peers up " << status.peers_up.size()
       << "\nmembers:\n";
  std::ranges::for_each(status.members, [&](const MemberReport& member) {
    text << "  " << member.host.value() << " in " << member.data_centre.value()
         << ": incarnation " << member.incarnation.value() << ", applied "
         << member.applied.value() << ", last renewal "
         << member.last_renewal.value() << ", share " << member.share << "\n";
  });
  text << "targets:\n";
  std::ranges::for_each(status.targets, [&](const TargetMemoryReport& target) {
    text << "  " << target.target.value() << ": instance "
         << target.instance.value() << ", reserved " << target.reserved_mib
         << " MiB";
    std::ranges::for_each(target.models, [&](const ReservationReport& model) {
      text << ", " << model.model.value() << " " << model.state;
    });
    text << "\n";
  });
  return CommandResult{.output = as_json ? body : text.str()};
}

bool HasDecisions(const std::string& body) {
  const Result<Json> json = ParseAnswer(body);
  return IsOk(json) && ValueOf(json).is_object() &&
         ValueOf(json).contains("decisions") &&
         !ValueOf(json).at("decisions").empty();
}

CommandResult ReportDecisions(const std::string& body, bool as_json) {
  if (!HasDecisions(body)) {
    return Refused(
        Fail(ErrorKind::kNotFound, "no decision for this request is known"));
  }
  const Json answer = TakeValue(ParseAnswer(body));
  std::ostringstream text;
  std::ranges::for_each(answer.at("decisions"), [&](const Json& decision) {
    if (decision.is_object()) {
      text << FieldOf(decision, "time") << " " << FieldOf(decision, "reason")
           << " " << FieldOf(decision, "detail") << "\n";
    }
  });
  return CommandResult{.output = as_json ? body : text.str()};
}

CommandResult ReportKey(const IssuedKey& key, bool as_json) {
  const Json item = Json::object({{"keys", Json::array({ToJson(key.item)})}});
  if (as_json) {
    Json both = item;
    both["credential"] = key.credential;
    return CommandResult{.output = both.dump(kIndent) + "\n"};
  }
  return CommandResult{.output = "key, shown only now: " + key.credential +
                                 "\nfor the ticket:\n" + item.dump(kIndent) +
                                 "\n"};
}

CommandResult ReportRollout(const CommandResult& result,
                            const std::vector<HostId>& lagging,
                            bool as_json) {
  if (lagging.empty()) {
    return CommandResult{
        .code = result.code,
        .output = result.output + (as_json ? "" : "in force on every host\n")};
  }
  std::string hosts;
  std::ranges::for_each(lagging, [&](const HostId& host) {
    hosts += (hosts.empty() ? "" : ", ") + host.value();
  });
  return CommandResult{.code = ExitCode::kLagging,
                       .output = result.output,
                       .error = "not yet in force on: " + hosts + "\n"};
}

}  // namespace cicadaloft
