#include "cicadaloft/codec/json_codec.h"

#include <boost/algorithm/hex.hpp>
#include <cmath>
#include <exception>
#include <iterator>
#include <limits>
#include <optional>

#include "cicadaloft/codec/json_containers.h"

namespace cicadaloft {
namespace {

constexpr const char* kHexField = "hex";

/// @return the bytes that the hex digits encode, or none if they are invalid.
std::optional<std::string> FromHex(const std::string& digits) {
  std::string bytes;
  try {
    boost::algorithm::unhex(digits, std::back_inserter(bytes));
  } catch (const boost::algorithm::hex_decode_error&) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace

std::uint64_t DecodeUnsigned(const Json& json,
                             std::uint64_t max,
                             JsonReader& reader) {
  if (!json.is_number_unsigned() || json.get<std::uint64_t>() > max) {
    reader.Fail("expected a whole number from 0 to " + std::to_string(max) +
                DescribeFound(json));
    return 0;
  }
  return json.get<std::uint64_t>();
}

bool JsonCodec<bool>::Decode(const Json& json, JsonReader& reader) {
  if (!json.is_boolean()) {
    reader.Fail("expected true or false" + DescribeFound(json));
    return false;
  }
  return json.get<bool>();
}

int JsonCodec<int>::Decode(const Json& json, JsonReader& reader) {
  return static_cast<int>(
      DecodeUnsigned(json, std::numeric_limits<int>::max(), reader));
}

double JsonCodec<double>::Decode(const Json& json, JsonReader& reader) {
  if (!json.is_number() || !std::isfinite(json.get<double>())) {
    reader.Fail("expected a finite number" + DescribeFound(json));
    return 0;
  }
  return json.get<double>();
}

Json JsonCodec<std::string>::Encode(const std::string& value) {
  if (IsUtf8(value)) {
    return value;
  }
  return Json::object({{kHexField, boost::algorithm::hex_lower(value)}});
}

std::string JsonCodec<std::string>::Decode(const Json& json,
                                           JsonReader& reader) {
  if (json.is_string()) {
    return json.get_ref<const std::string&>();
  }
  if (json.is_object() && json.size() == 1 && json.contains(kHexField) &&
      json.at(kHexField).is_string()) {
    const auto bytes =
        FromHex(json.at(kHexField).get_ref<const std::string&>());
    if (bytes.has_value()) {
      return *bytes;
    }
  }
  reader.Fail("expected a string" + DescribeFound(json));
  return "";
}

Duration JsonCodec<Duration>::Decode(const Json& json, JsonReader& reader) {
  return Duration(DecodeUnsigned(
      json, static_cast<std::uint64_t>(kMaxDuration.count()), reader));
}

ErrorKind JsonCodec<ErrorKind>::Decode(const Json& json, JsonReader& reader) {
  const auto kind = json.is_string()
                        ? ErrorKindFromToken(json.get_ref<const std::string&>())
                        : std::nullopt;
  if (!kind.has_value()) {
    reader.Fail("expected an error kind" + DescribeFound(json));
  }
  return kind.value_or(ErrorKind::kInternal);
}

std::string DescribeFound(const Json& json) {
  constexpr std::size_t kMaxShownBytes = 60;
  if (json.is_primitive()) {
    const std::string text =
        json.dump(-1, ' ', false, Json::error_handler_t::replace);
    return ", found " + (text.size() <= kMaxShownBytes
                             ? text
                             : std::string(json.type_name()));
  }
  return std::string(", found an ") + json.type_name();
}

bool CheckFields(const Json& json,
                 std::span<const std::string_view> known,
                 JsonReader& reader) {
  if (!json.is_object()) {
    reader.Fail("expected an object" + DescribeFound(json));
    return false;
  }
  if (reader.unknown_fields() == UnknownFields::kIgnored) {
    return true;
  }
  const auto& object = json.get_ref<const Json::object_t&>();
  const auto unknown = std::ranges::find_if(object, [&](const auto& field) {
    return std::ranges::find(known, field.first) == known.end();
  });
  if (unknown == object.end()) {
    return true;
  }
  constexpr std::size_t kMaxShownBytes = 100;
  reader.Fail("unknown field '" + unknown->first.substr(0, kMaxShownBytes) +
              "'; expected only " + JoinNames(known));
  return false;
}

std::optional<std::size_t> DecodeToken(const Json& json,
                                       std::span<const std::string_view> tokens,
                                       JsonReader& reader) {
  const auto found =
      json.is_string()
          ? std::ranges::find(tokens, json.get_ref<const std::string&>())
          : tokens.end();
  if (found == tokens.end()) {
    reader.Fail("expected one of " + JoinNames(tokens) + DescribeFound(json));
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - tokens.begin());
}

std::string JoinNames(std::span<const std::string_view> names) {
  std::string list;
  std::ranges::for_each(names, [&](std::string_view name) {
    list += (list.empty() ? "" : ", ") + std::string(name);
  });
  return list;
}

}  // namespace cicadaloft
