#include "cicadaloft/forwarding/header_rules.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <cstdint>
#include <iterator>
#include <ranges>
#include <system_error>

namespace cicadaloft {
namespace {

constexpr std::array<std::string_view, 10> kHopByHop = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Transfer-Encoding",
    "TE",
    "Trailer",
    "Upgrade",
    "Proxy-Authorization",
    "Proxy-Authenticate",
    "Content-Length",
};

// Fields that identify the caller, and fields that the entry itself sets for
// the target.
constexpr std::array<std::string_view, 13> kHiddenFromTarget = {
    "Authorization",
    "Cookie",
    "Cookie2",
    "Forwarded",
    "X-Real-IP",
    "X-Client-IP",
    "True-Client-IP",
    "Via",
    "X-Api-Key",
    "Host",
    "Expect",
    "X-Request-Id",
    "X-Request-Timeout-Ms",
};

constexpr std::array<std::string_view, 2> kHiddenFromCaller = {
    "X-Request-Id",
    "Server-Timing",
};

constexpr std::string_view kForwardedPrefix = "X-Forwarded-";
constexpr std::string_view kInternalPrefix = "X-Cicadaloft-";
// A shorter credential may occur in a field value by chance.
constexpr std::size_t kMinCredentialBytes = 8;

bool IsOneOf(std::string_view name, const auto& names) {
  return std::ranges::any_of(
      names, [&](const auto& other) { return EqualsIgnoreCase(name, other); });
}

bool HasPrefix(std::string_view name, std::string_view prefix) {
  return EqualsIgnoreCase(name.substr(0, prefix.size()), prefix);
}

// @return the names listed in the Connection fields: they are hop-by-hop in
// this message.
std::vector<std::string> ConnectionFieldNames(
    const std::vector<HeaderField>& fields) {
  std::vector<std::string> names;
  for (const HeaderField& field : fields) {
    if (!EqualsIgnoreCase(field.name, "Connection")) {
      continue;
    }
    const boost::beast::http::token_list tokens(field.value);
    std::ranges::transform(
        tokens, std::back_inserter(names),
        [](const auto& token) { return std::string(token); });
  }
  return names;
}

std::vector<HeaderField> FilterEndToEnd(const std::vector<HeaderField>& fields,
                                        auto is_dropped) {
  const std::vector<std::string> connection_names =
      ConnectionFieldNames(fields);
  std::vector<HeaderField> filtered;
  std::ranges::copy_if(
      fields, std::back_inserter(filtered), [&](const HeaderField& field) {
        return !IsOneOf(field.name, kHopByHop) &&
               !IsOneOf(field.name, connection_names) && !is_dropped(field);
      });
  return filtered;
}

}  // namespace

std::optional<ConfigurationVersion> StatedConfiguration(
    const std::vector<HeaderField>& fields) {
  const std::string* text = FindField(fields, kConfigurationField);
  if (text == nullptr) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* const end = text->data() + text->size();
  const auto [parse_end, error] = std::from_chars(text->data(), end, number);
  return error == std::errc() && parse_end == end && number != 0
             ? std::optional(ConfigurationVersion(number))
             : std::nullopt;
}

bool IsHostField(std::string_view name) {
  return HasPrefix(name, kHostFieldPrefix);
}

std::vector<HeaderField> EndToEndFields(
    const std::vector<HeaderField>& fields) {
  return FilterEndToEnd(fields, [](const HeaderField&) { return false; });
}

std::vector<HeaderField> FieldsForTarget(const std::vector<HeaderField>& fields,
                                         std::string_view credential) {
  return FilterEndToEnd(fields, [&](const HeaderField& field) {
    const bool contains_credential =
        credential.size() >= kMinCredentialBytes &&
        field.value.find(credential) != std::string::npos;
    return contains_credential || HasPrefix(field.name, kInternalPrefix) ||
           IsHostField(field.name) || IsOneOf(field.name, kHiddenFromTarget) ||
           HasPrefix(field.name, kForwardedPrefix);
  });
}

std::vector<HeaderField> FieldsForCaller(
    const std::vector<HeaderField>& fields) {
  return FilterEndToEnd(fields, [](const HeaderField& field) {
    return IsOneOf(field.name, kHiddenFromCaller) || IsHostField(field.name);
  });
}

const std::string* FindField(const std::vector<HeaderField>& fields,
                             std::string_view name) {
  const auto found =
      std::ranges::find_if(fields, [&](const HeaderField& field) {
        return EqualsIgnoreCase(field.name, name);
      });
  return found == fields.end() ? nullptr : &found->value;
}

std::string BearerCredential(const std::string* authorization) {
  constexpr std::string_view kBearer = "Bearer ";
  if (authorization == nullptr ||
      !EqualsIgnoreCase(
          std::string_view(*authorization).substr(0, kBearer.size()),
          kBearer)) {
    return {};
  }
  const std::size_t start =
      authorization->find_first_not_of(' ', kBearer.size());
  return start == std::string::npos ? "" : authorization->substr(start);
}

}  // namespace cicadaloft
