#ifndef CICADALOFT_CODEC_JSON_CONTAINERS_H_
#define CICADALOFT_CODEC_JSON_CONTAINERS_H_

#include <algorithm>
#include <array>
#include <boost/pfr/tuple_size.hpp>
#include <concepts>
#include <cstddef>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/codec/json_codec.h"

namespace cicadaloft {

/// Describes how one field of an aggregate is encoded.
template <typename Owner, typename T>
struct JsonField {
  using Value = std::remove_const_t<T>;

  std::string_view name;
  T Owner::* member;
  bool is_optional;  ///< The aggregate's default applies if missing.
};

template <typename Owner, typename T>
constexpr JsonField<Owner, T> Required(std::string_view name,
                                       T Owner::* member) {
  return {name, member, false};
}

template <typename Owner, typename T>
constexpr JsonField<Owner, T> Defaulted(std::string_view name,
                                        T Owner::* member) {
  return {name, member, true};
}

/// All fields of the aggregate T in declaration order: a std::tuple of
/// JsonField.
template <typename T>
inline constexpr std::nullptr_t kJsonFields = nullptr;

/// Whether the aggregate is encoded as an array of its fields' values, which is
/// smaller for types that occur many times in a message.
template <typename T>
inline constexpr bool kIsJsonRow = false;

/// The tokens of an enum's enumerators, or of a variant's alternatives, in
/// declaration order.
template <typename T>
inline constexpr std::array<std::string_view, 0> kJsonTokens = {};

template <typename T>
concept HasJsonFields =
    !std::same_as<decltype(kJsonFields<T>), const std::nullptr_t>;

template <typename T>
concept HasJsonTokens = !kJsonTokens<T>.empty();

/// An enum with tokens, whose enumerators have consecutive values from 0.
template <typename T>
concept TokenEnum = std::is_enum_v<T> && HasJsonTokens<T>;

/// @return ", found ..." for an error message: the value if it is short, else
/// its type.
std::string DescribeFound(const Json& json);

/// Checks that a value is an object without unknown fields, unless the reader
/// ignores those.
bool CheckFields(const Json& json,
                 std::span<const std::string_view> known,
                 JsonReader& reader);

/// @return the index of `json` in `tokens`, or none after reporting an error.
std::optional<std::size_t> DecodeToken(const Json& json,
                                       std::span<const std::string_view> tokens,
                                       JsonReader& reader);

/// @return the names, separated by commas.
std::string JoinNames(std::span<const std::string_view> names);

template <TokenEnum T>
struct JsonCodec<T> {
  static Json Encode(T value) {
    return std::string(kJsonTokens<T>.at(static_cast<std::size_t>(value)));
  }
  static T Decode(const Json& json, JsonReader& reader) {
    return static_cast<T>(
        DecodeToken(json, kJsonTokens<T>, reader).value_or(0));
  }
};

/// Without a value it is null, and omitted from an enclosing object.
template <typename T>
struct JsonCodec<std::optional<T>> {
  static Json Encode(const std::optional<T>& value) {
    return value.has_value() ? ToJson(*value) : Json();
  }
  static std::optional<T> Decode(const Json& json, JsonReader& reader) {
    if (json.is_null()) {
      return std::nullopt;
    }
    return std::optional<T>(FromJson<T>(json, reader));
  }
};

/// Visits the elements of an array and stops at the first error.
template <typename Visit>
void ForEachElement(const Json& json, JsonReader& reader, Visit visit) {
  if (!json.is_array()) {
    reader.Fail("expected an array" + DescribeFound(json));
    return;
  }
  std::size_t index = 0;
  std::ranges::find_if(
      json.get_ref<const Json::array_t&>(), [&](const Json& element) {
        reader.InElement(index++, element, [&] { visit(element); });
        return reader.failed();
      });
}

template <typename List>
concept JsonList = std::same_as<List, std::vector<typename List::value_type>> ||
                   std::same_as<List, std::deque<typename List::value_type>>;

template <JsonList List>
struct JsonCodec<List> {
  static Json Encode(const List& values) {
    Json::array_t array;
    array.reserve(values.size());
    std::ranges::transform(values, std::back_inserter(array),
                           ToJson<typename List::value_type>);
    return array;
  }
  static List Decode(const Json& json, JsonReader& reader) {
    List values;
    if constexpr (requires { values.reserve(0); }) {
      values.reserve(json.is_array() ? json.size() : 0);
    }
    ForEachElement(json, reader, [&](const Json& element) {
      values.push_back(FromJson<typename List::value_type>(element, reader));
    });
    return values;
  }
};

/// An array of [key, value] pairs, sorted by key.
template <typename Key, typename T>
struct JsonCodec<std::map<Key, T>> {
  static Json Encode(const std::map<Key, T>& values) {
    Json::array_t array;
    array.reserve(values.size());
    std::ranges::transform(
        values, std::back_inserter(array), [](const auto& entry) {
          return Json::array({ToJson(entry.first), ToJson(entry.second)});
        });
    return array;
  }
  static std::map<Key, T> Decode(const Json& json, JsonReader& reader) {
    std::map<Key, T> values;
    ForEachElement(json, reader, [&](const Json& entry) {
      if (!entry.is_array() || entry.size() != 2) {
        reader.Fail("expected a pair of key and value");
        return;
      }
      const auto key = FromJson<Key>(entry[0], reader);
      if (!values.try_emplace(key, FromJson<T>(entry[1], reader)).second) {
        reader.Fail("expected each key once");
      }
    });
    return values;
  }
};

/// An object with one field, whose name is the token of the alternative.
template <typename... Ts>
  requires HasJsonTokens<std::variant<Ts...>>
struct JsonCodec<std::variant<Ts...>> {
  using Variant = std::variant<Ts...>;
  static constexpr auto& kNames = kJsonTokens<Variant>;
  static_assert(kNames.size() == sizeof...(Ts));

  static Json Encode(const Variant& value) {
    return Json::object(
        {{std::string(kNames.at(value.index())),
          std::visit([](const auto& v) { return ToJson(v); }, value)}});
  }
  static Variant Decode(const Json& json, JsonReader& reader) {
    if (!json.is_object() || json.size() != 1) {
      reader.Fail("expected an object with one of the fields " +
                  JoinNames(kNames) + DescribeFound(json));
      return Variant();
    }
    const auto* name = std::ranges::find(kNames, json.begin().key());
    if (name == kNames.end()) {
      reader.Fail("expected an object with one of the fields " +
                  JoinNames(kNames));
      return Variant();
    }
    return reader.InField(*name, [&] {
      return kDecoders.at(name - kNames.begin())(json.front(), reader);
    });
  }

 private:
  template <typename T>
  static Variant DecodeAs(const Json& json, JsonReader& reader) {
    return Variant(std::in_place_type<T>, FromJson<T>(json, reader));
  }
  static constexpr std::array kDecoders = {&DecodeAs<Ts>...};
};

template <typename T>
concept JsonRow = HasJsonFields<T> && kIsJsonRow<T>;

template <HasJsonFields T>
struct JsonCodec<T> {
  static_assert(
      std::tuple_size_v<std::remove_const_t<decltype(kJsonFields<T>)>> ==
          boost::pfr::tuple_size_v<T>,
      "each field of the aggregate must be described");

  static Json Encode(const T& value) {
    Json::object_t object;
    const auto add_field = [&](const auto& field) {
      Json json = ToJson(value.*field.member);
      if (!json.is_null()) {
        object.emplace(field.name, std::move(json));
      }
    };
    std::apply([&](const auto&... fields) { (add_field(fields), ...); },
               kJsonFields<T>);
    return object;
  }
  static T Decode(const Json& json, JsonReader& reader) {
    if (!CheckFields(json, kNames, reader)) {
      return T{};
    }
    return std::apply(
        [&](const auto&... fields) {
          return T{DecodeField(json, fields, reader)...};
        },
        kJsonFields<T>);
  }

 private:
  static constexpr auto kNames = std::apply(
      [](const auto&... fields) { return std::array{fields.name...}; },
      kJsonFields<T>);

  template <typename Field>
  static typename Field::Value DecodeField(const Json& json,
                                           const Field& field,
                                           JsonReader& reader) {
    using Value = typename Field::Value;
    const auto found = json.find(field.name);
    if (found != json.end()) {
      return reader.InField(field.name,
                            [&] { return FromJson<Value>(*found, reader); });
    }
    if (!field.is_optional) {
      reader.Fail("expected the field '" + std::string(field.name) + "'");
    }
    return T{}.*field.member;
  }
};

template <JsonRow T>
struct JsonCodec<T> {
  static constexpr std::size_t kWidth = boost::pfr::tuple_size_v<T>;

  static Json Encode(const T& value) {
    return std::apply(
        [&](const auto&... fields) {
          return Json::array({ToJson(value.*fields.member)...});
        },
        kJsonFields<T>);
  }
  static T Decode(const Json& json, JsonReader& reader) {
    if (!json.is_array() || json.size() != kWidth) {
      reader.Fail("expected an array of " + std::to_string(kWidth) + " values");
      return T{};
    }
    std::size_t index = 0;
    return std::apply(
        [&]<typename... Fields>(const Fields&... fields) {
          return T{reader.InField(fields.name, [&] {
            return FromJson<typename Fields::Value>(json[index++], reader);
          })...};
        },
        kJsonFields<T>);
  }
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CODEC_JSON_CONTAINERS_H_
