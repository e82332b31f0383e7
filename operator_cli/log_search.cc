#include "cicadaloft/operator_cli/log_search.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace cicadaloft {
namespace {

using nlohmann::json;

// Parses the JSON object of a line, after any prefix that a log collector
// added.
std::optional<json> ParseLine(const std::string& line) {
  const std::size_t start = line.find("{\"unix_ms\"");
  if (start == std::string::npos) {
    return std::nullopt;
  }
  json record = json::parse(line.substr(start), nullptr, false);
  return record.is_object() ? std::optional(std::move(record)) : std::nullopt;
}

std::string FormatValue(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

LogLine MakeLine(const json& record) {
  LogLine line{.unix_ms = record.value("unix_ms", std::int64_t{0}),
               .event = record.value("event", std::string())};
  for (const auto& [name, value] : record.items()) {
    const bool is_common_field = name == "unix_ms" || name == "level" ||
                                 name == "component" || name == "event" ||
                                 name == "request";
    if (!is_common_field) {
      line.fields +=
          (line.fields.empty() ? "" : " ") + name + "=" + FormatValue(value);
    }
  }
  return line;
}

// Lines with equal timestamps keep the order in which they were read.
void InsertByTime(std::vector<LogLine>& lines, LogLine line) {
  const auto position =
      std::ranges::upper_bound(lines, line.unix_ms, {}, &LogLine::unix_ms);
  lines.insert(position, std::move(line));
}

}  // namespace

Explanation Explain(std::istream& logs, const std::string& request) {
  Explanation explanation;
  std::vector<std::pair<std::string, LogLine>> placement_lines;
  std::string model;
  std::string text;
  while (std::getline(logs, text)) {
    const auto record = ParseLine(text);
    if (!record) {
      explanation.unreadable += text.empty() ? 0 : 1;
      continue;
    }
    if (record->value("request", std::string()) == request) {
      InsertByTime(explanation.lines, MakeLine(*record));
      model = record->value("model", model);
    } else if (record->value("event", std::string()).starts_with("place.")) {
      placement_lines.emplace_back(record->value("path", std::string()),
                                   MakeLine(*record));
    }
  }
  if (explanation.lines.empty()) {
    return explanation;
  }
  for (auto& [path, line] : placement_lines) {
    const bool is_while_open =
        line.unix_ms >= explanation.lines.front().unix_ms &&
        line.unix_ms <= explanation.lines.back().unix_ms;
    const bool concerns_model =
        !path.empty() && (path == model || model.starts_with(path + "/"));
    if (is_while_open && concerns_model) {
      InsertByTime(explanation.context, std::move(line));
    }
  }
  return explanation;
}

}  // namespace cicadaloft
