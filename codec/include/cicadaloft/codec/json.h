#ifndef CICADALOFT_CODEC_JSON_H_
#define CICADALOFT_CODEC_JSON_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cicadaloft/core/result.h"

namespace cicadaloft {

/// Objects keep their keys sorted, so equal values have equal encodings.
using Json = nlohmann::json;

/// Limits on the size and nesting of parsed input.
struct JsonLimits {
  std::size_t max_bytes = 0;
  std::size_t max_depth = 0;   ///< Of nested arrays and objects.
  std::size_t max_values = 0;  ///< In total, at all depths.
};

enum class JsonComments { kRefused, kAllowed };

/// Parses one JSON text. Duplicate keys in an object are errors.
/// @return the value, or kMalformedRequest with the position and the reason.
Result<Json> ParseJson(std::string_view text,
                       const JsonLimits& limits,
                       JsonComments comments);

/// Parses one CBOR item that consists of JSON's types with definite lengths.
/// @return the value, or kMalformedRequest.
Result<Json> ParseCbor(std::span<const std::uint8_t> bytes,
                       const JsonLimits& limits);

/// @return whether the text is valid UTF-8, as JSON's strings must be.
bool IsUtf8(std::string_view text);

}  // namespace cicadaloft

#endif  // CICADALOFT_CODEC_JSON_H_
