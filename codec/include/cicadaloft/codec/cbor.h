#ifndef CICADALOFT_CODEC_CBOR_H_
#define CICADALOFT_CODEC_CBOR_H_

#include <cstdint>
#include <span>
#include <vector>

#include "cicadaloft/codec/json.h"
#include "cicadaloft/codec/json_codec.h"
#include "cicadaloft/codec/json_reader.h"
#include "cicadaloft/core/result.h"

namespace cicadaloft {

/// @return the value as one CBOR item.
template <typename T>
std::vector<std::uint8_t> EncodeCbor(const T& value) {
  return Json::to_cbor(ToJson(value));
}

/// @param kind of the error if the bytes don't hold a T.
/// @return the value, or an error with the path and the reason.
template <typename T>
Result<T> DecodeCbor(std::span<const std::uint8_t> bytes,
                     const JsonLimits& limits,
                     ErrorKind kind) {
  const Result<Json> json = ParseCbor(bytes, limits);
  if (!IsOk(json)) {
    return MakeError(kind, ErrorOf(json).message);
  }
  JsonReader reader;
  return reader.Finish(FromJson<T>(ValueOf(json), reader), kind);
}

}  // namespace cicadaloft

#endif  // CICADALOFT_CODEC_CBOR_H_
