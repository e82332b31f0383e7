#include "cicadaloft/operator_cli/log_search.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace cicadaloft {
namespace {

using nlohmann::json;

// A line's object, after whatever a collector has put before it.
std::optional<json> ParseLine(const std::string& line) {
  const std::size_t start = line.find("{\"unix_ms\"");
  if (start == std::string::npos) {
    return std::nullopt;
  }
  json record = json::parse(line.substr(start), nullptr, false);
  return record.is_object() ? std::optional(std::move(record)) : std::nullopt;
}

std::string TextOf(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

LogLine MakeLine(const json& record) {
  LogLine line{.unix_ms = record.value("unix_ms", std::int64_t{0}),
               .event = record.value("event", std::string())};
  for (const auto& [name, value] : record.items()) {
    const bool is_frame = name == "unix_ms" || name == "level" ||
                          name == "component" || name == "event" ||
                          name == "request";
    if (!is_frame) {
      line.fields +=
          (line.fields.empty() ? "" : " ") + name + "=" + TextOf(value);
    }
  }
  return line;
}

// Keeps the order of time, and of reading among lines of one moment.
void Insert(std::vector<LogLine>& lines, LogLine line) {
  const auto place =
      std::ranges::upper_bound(lines, line.unix_ms, {}, &LogLine::unix_ms);
  lines.insert(place, std::move(line));
}

}  // namespace

Explanation Explain(std::istream& logs, const std::string& request) {
  Explanation found;
  std::vector<std::pair<std::string, LogLine>> orders;
  std::string model;
  std::string text;
  while (std::getline(logs, text)) {
    const auto record = ParseLine(text);
    if (!record) {
      found.unreadable += text.empty() ? 0 : 1;
      continue;
    }
    if (record->value("request", std::string()) == request) {
      Insert(found.lines, MakeLine(*record));
      model = record->value("model", model);
    } else if (record->value("event", std::string()).starts_with("place.")) {
      orders.emplace_back(record->value("path", std::string()),
                          MakeLine(*record));
    }
  }
  if (found.lines.empty()) {
    return found;
  }
  for (auto& [path, line] : orders) {
    const bool is_near = line.unix_ms >= found.lines.front().unix_ms &&
                         line.unix_ms <= found.lines.back().unix_ms;
    const bool concerns_model =
        !path.empty() && (path == model || model.starts_with(path + "/"));
    if (is_near && concerns_model) {
      Insert(found.context, std::move(line));
    }
  }
  return found;
}

}  // namespace cicadaloft
