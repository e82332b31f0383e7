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

/// Objects keep their keys sorted, so equal values are written alike.
using Json = nlohmann::json;

/// What a text may ask of its reader.
struct JsonLimits {
  std::size_t max_bytes = 0;
  std::size_t max_depth = 0;   ///< Of arrays and objects in each other.
  std::size_t max_values = 0;  ///< Over all depths together.
};

enum class JsonComments { kRefused, kAllowed };

/// Reads one JSON text. Keys that stand twice in an object are errors.
/// @return the value, or kMalformedRequest saying where and why it is none.
Result<Json> ParseJson(std::string_view text,
                       const JsonLimits& limits,
                       JsonComments comments);

/// Reads one CBOR item of JSON's types, all lengths definite.
/// @return the value, or kMalformedRequest.
Result<Json> ParseCbor(std::span<const std::uint8_t> bytes,
                       const JsonLimits& limits);

/// @return whether the text is valid UTF-8, as JSON's strings must be.
bool IsUtf8(std::string_view text);

}  // namespace cicadaloft

#endif  // CICADALOFT_CODEC_JSON_H_
