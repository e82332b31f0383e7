#include "cicadaloft/responses/response_rules.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <ranges>
#include <system_error>

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

bool IsValidFieldName(std::string_view name) {
  return !name.empty() && std::ranges::all_of(name, IsTokenCharacter);
}

// Also for reason phrases. Bytes above 127 are valid.
bool IsValidFieldValue(std::string_view value) {
  return std::ranges::none_of(
      value, [](char c) { return IsControlCharacter(c) && c != '\t'; });
}

std::string_view TrimBlanks(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t start = text.find_first_not_of(kBlanks);
  return start == std::string_view::npos
             ? std::string_view()
             : text.substr(start, text.find_last_not_of(kBlanks) + 1 - start);
}

/// The list that all fields of a name make up.
struct FieldList {
  bool is_present = false;
  std::vector<std::string_view> elements;  ///< Empty ones are left out.
};

FieldList ListOf(const std::vector<HeaderField>& fields,
                 std::string_view name) {
  const auto has_name = [&](const HeaderField& field) {
    return EqualsIgnoreCase(field.name, name);
  };
  const auto trim = [](const auto& element) {
    return TrimBlanks({element.begin(), element.end()});
  };
  FieldList list;
  for (const HeaderField& field : fields | std::views::filter(has_name)) {
    list.is_present = true;
    std::ranges::copy_if(
        field.value | std::views::split(',') | std::views::transform(trim),
        std::back_inserter(list.elements),
        [](std::string_view element) { return !element.empty(); });
  }
  return list;
}

std::optional<std::uint64_t> ParseLength(std::string_view text) {
  std::uint64_t length = 0;
  const auto [parse_end, error] =
      std::from_chars(text.data(), text.data() + text.size(), length);
  const bool is_valid =
      error == std::errc() && parse_end == text.data() + text.size();
  return is_valid ? std::optional(length) : std::nullopt;
}

// Equal lengths are one length.
bool IsOneLength(const FieldList& lengths) {
  if (lengths.elements.empty()) {
    return false;
  }
  const auto first = ParseLength(lengths.elements.front());
  return first && std::ranges::all_of(lengths.elements, [&](const auto& text) {
           return ParseLength(text) == first;
         });
}

bool MayHaveBody(const ReceivedHead& head) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return head.request != RequestKind::kHead && !IsInformational(head) &&
         head.status != kNoContent && head.status != kNotModified;
}

std::optional<HeadDefect> FindFramingDefect(const ReceivedHead& head) {
  const FieldList lengths = ListOf(head.fields, "Content-Length");
  if (lengths.is_present && !IsOneLength(lengths)) {
    return HeadDefect::kContentLength;
  }
  const FieldList encodings = ListOf(head.fields, "Transfer-Encoding");
  if (!encodings.is_present || !MayHaveBody(head)) {
    return std::nullopt;
  }
  const bool is_chunked =
      encodings.elements.size() == 1 &&
      EqualsIgnoreCase(encodings.elements.front(), "chunked");
  const bool is_understood =
      is_chunked && !head.is_http_1_0 && !lengths.is_present;
  return is_understood ? std::nullopt
                       : std::optional(HeadDefect::kTransferEncoding);
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
    case HeadDefect::kContentLength:
      return "invalid_content_length";
    case HeadDefect::kTransferEncoding:
      return "invalid_transfer_encoding";
  }
  return "unknown";
}

std::optional<HeadDefect> FindDefect(const ReceivedHead& head) {
  if (head.status < kMinStatus || head.status > kMaxStatus) {
    return HeadDefect::kStatus;
  }
  if (head.status == kSwitchingProtocols &&
      head.request != RequestKind::kUpgrade) {
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
  return FindFramingDefect(head);
}

bool IsInformational(const ReceivedHead& head) {
  return head.status >= kMinStatus && head.status < kMinFinalStatus;
}

}  // namespace cicadaloft
