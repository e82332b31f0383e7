#ifndef CICADALOFT_CODEC_JSON_CODEC_H_
#define CICADALOFT_CODEC_JSON_CODEC_H_

#include <concepts>
#include <cstdint>
#include <string>

#include "cicadaloft/codec/json.h"
#include "cicadaloft/codec/json_reader.h"
#include "cicadaloft/core/error_kind.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Encodes and decodes values of T. Each specialization has
/// `static Json Encode(const T&)` and `static T Decode(const Json&,
/// JsonReader&)`. If the JSON doesn't hold a T, Decode reports an error to the
/// reader and returns an arbitrary value.
template <typename T>
struct JsonCodec;

template <typename T>
Json ToJson(const T& value) {
  return JsonCodec<T>::Encode(value);
}

template <typename T>
T FromJson(const Json& json, JsonReader& reader) {
  return JsonCodec<T>::Decode(json, reader);
}

template <>
struct JsonCodec<bool> {
  static Json Encode(bool value) { return value; }
  static bool Decode(const Json& json, JsonReader& reader);
};

/// Non-negative integers.
template <std::unsigned_integral T>
struct JsonCodec<T> {
  static Json Encode(T value) { return std::uint64_t{value}; }
  static T Decode(const Json& json, JsonReader& reader);
};

/// Non-negative integers, as for the unsigned types.
template <>
struct JsonCodec<int> {
  static Json Encode(int value) { return static_cast<std::uint64_t>(value); }
  static int Decode(const Json& json, JsonReader& reader);
};

/// Finite numbers only.
template <>
struct JsonCodec<double> {
  static Json Encode(double value) { return value; }
  static double Decode(const Json& json, JsonReader& reader);
};

/// Bytes that aren't valid UTF-8 are encoded as {"hex": "..."}.
template <>
struct JsonCodec<std::string> {
  static Json Encode(const std::string& value);
  static std::string Decode(const Json& json, JsonReader& reader);
};

/// Integer microseconds, from 0 to kMaxDuration.
template <>
struct JsonCodec<Duration> {
  static constexpr Duration kMaxDuration = std::chrono::years(1);

  static Json Encode(Duration value) {
    return static_cast<std::uint64_t>(value.count());
  }
  static Duration Decode(const Json& json, JsonReader& reader);
};

/// Encoded as its token.
template <>
struct JsonCodec<ErrorKind> {
  static Json Encode(ErrorKind kind) {
    return std::string(GetErrorInfo(kind).token);
  }
  static ErrorKind Decode(const Json& json, JsonReader& reader);
};

template <typename Tag>
struct JsonCodec<Id<Tag>> {
  static Json Encode(const Id<Tag>& id) { return ToJson(id.value()); }
  static Id<Tag> Decode(const Json& json, JsonReader& reader) {
    return Id<Tag>(FromJson<std::string>(json, reader));
  }
};

template <typename Tag>
struct JsonCodec<Number<Tag>> {
  static Json Encode(const Number<Tag>& number) { return number.value(); }
  static Number<Tag> Decode(const Json& json, JsonReader& reader) {
    return Number<Tag>(FromJson<std::uint64_t>(json, reader));
  }
};

/// 0, which stands for no era, is null, and omitted from an enclosing object.
template <>
struct JsonCodec<StoreEra> {
  static Json Encode(StoreEra era) {
    return era == StoreEra() ? Json() : Json(era.value());
  }
  static StoreEra Decode(const Json& json, JsonReader& reader) {
    return StoreEra(FromJson<std::uint64_t>(json, reader));
  }
};

/// Decodes an integer from 0 to `max`.
std::uint64_t DecodeUnsigned(const Json& json,
                             std::uint64_t max,
                             JsonReader& reader);

template <std::unsigned_integral T>
T JsonCodec<T>::Decode(const Json& json, JsonReader& reader) {
  return static_cast<T>(
      DecodeUnsigned(json, std::numeric_limits<T>::max(), reader));
}

}  // namespace cicadaloft

#endif  // CICADALOFT_CODEC_JSON_CODEC_H_
