#include "admin_format.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>

namespace cicadaloft {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::int64_t kMillisecondsPerSecond = 1000;

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

// Formats as 2026-01-31T12:00:00.000Z.
std::string FormatTime(std::int64_t unix_ms) {
  const std::time_t seconds = unix_ms / kMillisecondsPerSecond;
  std::tm utc_time{};
  gmtime_r(&seconds, &utc_time);
  std::array<char, 32> date{};
  const std::size_t size =
      std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &utc_time);
  std::array<char, 8> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                static_cast<int>(unix_ms % kMillisecondsPerSecond));
  return std::string(date.data(), size) + fraction.data();
}

}  // namespace

std::string FormatStatus(const StatusReply& status, const std::string& host) {
  return Dump({{"host", host},
               {"ready", status.is_ready},
               {"stopping", status.is_stopping},
               {"open_requests", status.open_requests},
               {"running_attempts", status.running_attempts}});
}

std::string FormatExplanation(const ExplanationReply& explanation) {
  Json decisions = Json::array();
  for (const TimedDecision& decision : explanation.decisions) {
    Json item = {{"time", FormatTime(decision.unix_ms)},
                 {"reason", decision.record.event},
                 {"request", decision.record.request.value()}};
    for (const LogField& field : decision.record.fields) {
      item[field.name] = field.value;
    }
    decisions.push_back(std::move(item));
  }
  return Dump({{"decisions", decisions}});
}

}  // namespace cicadaloft
