#ifndef CICADALOFT_CODEC_TESTS_GENERATORS_H_
#define CICADALOFT_CODEC_TESTS_GENERATORS_H_

#include <rapidcheck.h>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>

#include "cicadaloft/codec/json_containers.h"

namespace cicadaloft {

/// Draws random values of T; for use inside a rapidcheck generator.
template <typename T>
struct Random;

template <typename T>
T Draw() {
  return Random<T>::Draw();
}

/// Draws from `min` inclusive to `max` exclusive.
template <typename T>
T DrawInRange(T min, T max) {
  return *rc::gen::inRange<T>(min, max);
}

template <>
struct Random<bool> {
  static bool Draw() { return *rc::gen::arbitrary<bool>(); }
};

template <std::unsigned_integral T>
struct Random<T> {
  static T Draw() {
    return *rc::gen::oneOf(
        rc::gen::arbitrary<T>(),
        rc::gen::element<T>(0, 1, std::numeric_limits<T>::max()));
  }
};

template <>
struct Random<int> {
  static int Draw() { return DrawInRange(0, 1000); }
};

template <>
struct Random<double> {
  static double Draw() {
    return *rc::gen::oneOf(rc::gen::arbitrary<double>(),
                           rc::gen::element(0.1, -0.0, 5e-324, 1e308, 1.0 / 3));
  }
};

template <>
struct Random<std::string> {
  static std::string Draw() {
    return *rc::gen::oneOf(
        rc::gen::arbitrary<std::string>(),
        rc::gen::element<std::string>("loja", "ação", "\xff\xfe", "\xc3",
                                      "\"\\\n", std::string(1, '\0')));
  }
};

template <>
struct Random<Duration> {
  static Duration Draw() {
    return Duration(DrawInRange<Duration::rep>(
        0, JsonCodec<Duration>::kMaxDuration.count() + 1));
  }
};

template <>
struct Random<ErrorKind> {
  static ErrorKind Draw() {
    return static_cast<ErrorKind>(
        DrawInRange(0, static_cast<int>(ErrorKind::kInternal) + 1));
  }
};

template <typename Tag>
struct Random<Id<Tag>> {
  static Id<Tag> Draw() { return Id<Tag>(cicadaloft::Draw<std::string>()); }
};

template <typename Tag>
struct Random<Number<Tag>> {
  static Number<Tag> Draw() {
    return Number<Tag>(cicadaloft::Draw<std::uint64_t>());
  }
};

template <TokenEnum T>
struct Random<T> {
  static T Draw() {
    return static_cast<T>(DrawInRange<std::size_t>(0, kJsonTokens<T>.size()));
  }
};

template <typename T>
struct Random<std::optional<T>> {
  static std::optional<T> Draw() {
    if (cicadaloft::Draw<bool>()) {
      return std::nullopt;
    }
    return std::optional<T>(cicadaloft::Draw<T>());
  }
};

/// Calls `add` 0 to kElementCountEnd - 1 times.
template <typename Add>
void DrawSeveral(Add add) {
  constexpr int kElementCountEnd = 4;
  for (int remaining = DrawInRange(0, kElementCountEnd); remaining > 0;
       --remaining) {
    add();
  }
}

template <JsonList List>
struct Random<List> {
  static List Draw() {
    List list;
    DrawSeveral(
        [&] { list.push_back(cicadaloft::Draw<typename List::value_type>()); });
    return list;
  }
};

template <typename Key, typename T>
struct Random<std::map<Key, T>> {
  static std::map<Key, T> Draw() {
    std::map<Key, T> map;
    DrawSeveral([&] {
      const Key key = cicadaloft::Draw<Key>();
      map.emplace(key, cicadaloft::Draw<T>());
    });
    return map;
  }
};

template <typename... Ts>
struct Random<std::variant<Ts...>> {
  using Variant = std::variant<Ts...>;

  static Variant Draw() {
    constexpr Variant (*kDraws[])() = {&DrawAs<Ts>...};
    return kDraws[DrawInRange<std::size_t>(0, sizeof...(Ts))]();
  }

 private:
  template <typename T>
  static Variant DrawAs() {
    return Variant(std::in_place_type<T>, cicadaloft::Draw<T>());
  }
};

template <HasJsonFields T>
struct Random<T> {
  static T Draw() {
    return std::apply(
        []<typename... Fields>(const Fields&...) {
          return T{cicadaloft::Draw<typename Fields::Value>()...};
        },
        kJsonFields<T>);
  }
};

/// @return a generator of T, for arguments of properties.
template <typename T>
rc::Gen<T> Any() {
  return rc::gen::exec([] { return Draw<T>(); });
}

/// Draws a copy of `bytes` with 1 to 5 mutations: a byte changed or inserted,
/// or a range erased or appended again.
template <typename Bytes>
Bytes DrawMutation(Bytes bytes) {
  const int changes = DrawInRange(1, 6);
  for (int i = 0; i < changes && !bytes.empty(); ++i) {
    const auto offset = DrawInRange<std::size_t>(0, bytes.size());
    const auto begin = bytes.begin() + static_cast<std::ptrdiff_t>(offset);
    const auto end =
        begin + static_cast<std::ptrdiff_t>(
                    DrawInRange<std::size_t>(0, bytes.size() - offset + 1));
    const auto byte =
        static_cast<typename Bytes::value_type>(DrawInRange<unsigned>(0, 256));
    switch (DrawInRange(0, 4)) {
      case 0:
        bytes[offset] = byte;
        break;
      case 1:
        bytes.insert(begin, byte);
        break;
      case 2:
        bytes.erase(begin, end);
        break;
      default: {
        const Bytes range(begin, end);
        bytes.insert(bytes.end(), range.begin(), range.end());
      }
    }
  }
  return bytes;
}

}  // namespace cicadaloft

#endif  // CICADALOFT_CODEC_TESTS_GENERATORS_H_
