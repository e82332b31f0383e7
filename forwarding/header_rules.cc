#include "cicadaloft/forwarding/header_rules.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <iterator>
#include <ranges>

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

// What tells who the caller is, and what the entry itself says to the target.
constexpr std::array<std::string_view, 13> kNotForTarget = {
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

constexpr std::array<std::string_view, 2> kNotForCaller = {
    "X-Request-Id",
    "Server-Timing",
};

constexpr std::string_view kForwardedPrefix = "X-Forwarded-";
constexpr std::string_view kOwnPrefix = "X-Cicadaloft-";
// Shorter texts stand in fields by chance.
constexpr std::size_t kShortestCredential = 8;

bool IsOneOf(std::string_view name, const auto& names) {
  return std::ranges::any_of(
      names, [&](const auto& other) { return EqualsIgnoreCase(name, other); });
}

bool HasPrefix(std::string_view name, std::string_view prefix) {
  return EqualsIgnoreCase(name.substr(0, prefix.size()), prefix);
}

// The names that the Connection fields list: hop-by-hop for this message.
std::vector<std::string> NamesInConnection(
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

std::vector<HeaderField> KeepEndToEnd(const std::vector<HeaderField>& fields,
                                      auto is_dropped) {
  const std::vector<std::string> named = NamesInConnection(fields);
  std::vector<HeaderField> kept;
  std::ranges::copy_if(
      fields, std::back_inserter(kept), [&](const HeaderField& field) {
        return !IsOneOf(field.name, kHopByHop) && !IsOneOf(field.name, named) &&
               !is_dropped(field);
      });
  return kept;
}

}  // namespace

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return boost::beast::iequals(left, right);
}

std::vector<HeaderField> EndToEndFields(
    const std::vector<HeaderField>& fields) {
  return KeepEndToEnd(fields, [](const HeaderField&) { return false; });
}

std::vector<HeaderField> FieldsForTarget(const std::vector<HeaderField>& fields,
                                         std::string_view credential) {
  return KeepEndToEnd(fields, [&](const HeaderField& field) {
    const bool holds_key = credential.size() >= kShortestCredential &&
                           field.value.find(credential) != std::string::npos;
    return holds_key || HasPrefix(field.name, kOwnPrefix) ||
           IsOneOf(field.name, kNotForTarget) ||
           HasPrefix(field.name, kForwardedPrefix);
  });
}

std::vector<HeaderField> FieldsForCaller(
    const std::vector<HeaderField>& fields) {
  return KeepEndToEnd(fields, [](const HeaderField& field) {
    return IsOneOf(field.name, kNotForCaller);
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
