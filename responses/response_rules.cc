#include "cicadaloft/responses/response_rules.h"

#include <algorithm>

namespace cicadaloft {
namespace {

constexpr int kMinStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 599;

// Doesn't depend on the locale.
bool IsAlphanumeric(char c) {
  return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
         (c >= 'a' && c <= 'z');
}

bool IsTokenCharacter(char c) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return IsAlphanumeric(c) || kSymbols.find(c) != std::string_view::npos;
}

bool IsControlCharacter(char c) {
  constexpr unsigned char kSpace = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(c);
  return byte < kSpace || byte == kDelete;
}

}  // namespace

std::string_view ToString(HeadDefect defect) {
  switch (defect) {
    case HeadDefect::kStatus:
      return "invalid_status";
    case HeadDefect::kProtocolSwitch:
      return "protocol_switch";
    case HeadDefect::kReasonPhrase:
      return "invalid_reason_phrase";
    case HeadDefect::kFieldName:
      return "invalid_field_name";
    case HeadDefect::kFieldValue:
      return "invalid_field_value";
  }
  return "unknown";
}

std::optional<HeadDefect> FindDefect(const ReceivedHead& head) {
  if (head.status < kMinStatus || head.status > kMaxStatus) {
    return HeadDefect::kStatus;
  }
  if (head.status == kSwitchingProtocols) {
    return HeadDefect::kProtocolSwitch;
  }
  if (!IsValidFieldValue(head.reason_phrase)) {
    return HeadDefect::kReasonPhrase;
  }
  if (!std::ranges::all_of(head.fields, IsValidFieldName, &HeaderField::name)) {
    return HeadDefect::kFieldName;
  }
  if (!std::ranges::all_of(head.fields, IsValidFieldValue,
                           &HeaderField::value)) {
    return HeadDefect::kFieldValue;
  }
  return std::nullopt;
}

bool IsInformational(const ReceivedHead& head) {
  return head.status >= kMinStatus && head.status < kMinFinalStatus;
}

bool IsValidFieldName(std::string_view name) {
  return !name.empty() && std::ranges::all_of(name, IsTokenCharacter);
}

bool IsValidFieldValue(std::string_view value) {
  return std::ranges::none_of(
      value, [](char c) { return IsControlCharacter(c) && c != '\t'; });
}

}  // namespace cicadaloft
