#include "cicadaloft/codec/json.h"

#include <boost/locale/utf.hpp>
#include <exception>
#include <optional>
#include <utility>

#include "json_builder.h"

namespace cicadaloft {
namespace {

Error Malformed(std::string reason) {
  return MakeError(ErrorKind::kMalformedRequest, std::move(reason));
}

Error TooLong(const JsonLimits& limits) {
  return Malformed("expected at most " + std::to_string(limits.max_bytes) +
                   " bytes");
}

/// Runs the library's parser and converts its failures, including exceptions,
/// to errors.
template <typename Input>
Result<Json> Build(const Input& input,
                   const JsonLimits& limits,
                   Json::input_format_t format,
                   JsonComments comments) {
  JsonBuilder builder(limits);
  try {
    const bool is_complete =
        Json::sax_parse(input.begin(), input.end(), &builder, format,
                        /*strict=*/true, comments == JsonComments::kAllowed);
    if (is_complete) {
      return builder.TakeRoot();
    }
  } catch (const std::exception& error) {
    return Malformed(error.what());
  }
  return Malformed(builder.failure().value_or("expected one complete value"));
}

/// Iterates over the heads of CBOR items, nested ones included.
class CborHeads {
 public:
  explicit CborHeads(std::span<const std::uint8_t> bytes) : remaining(bytes) {}

  bool AtEnd() const { return this->remaining.empty(); }

  /// Skips one head and, for a text string, its bytes.
  /// @return false if the item isn't of JSON's types or has no definite length.
  bool Skip() {
    constexpr unsigned kMajorShift = 5;
    constexpr unsigned kInfoMask = 0x1f;
    const unsigned major = this->remaining.front() >> kMajorShift;
    const unsigned info = this->remaining.front() & kInfoMask;
    this->remaining = this->remaining.subspan(1);
    const std::optional<std::uint64_t> argument = this->ReadArgument(info);
    if (!argument.has_value()) {
      return false;
    }
    return this->SkipContent(major, info, *argument);
  }

 private:
  static constexpr unsigned kOneByteInfo = 24;
  static constexpr unsigned kTwoByteInfo = 25;
  static constexpr unsigned kEightByteInfo = 27;

  std::optional<std::uint64_t> ReadArgument(unsigned info) {
    constexpr unsigned kByteBits = 8;
    if (info < kOneByteInfo) {
      return info;
    }
    const std::size_t size = std::size_t{1} << (info - kOneByteInfo);
    if (info > kEightByteInfo || size > this->remaining.size()) {
      return std::nullopt;
    }
    std::uint64_t argument = 0;
    for (const std::uint8_t byte : this->remaining.first(size)) {
      argument = (argument << kByteBits) | byte;
    }
    this->remaining = this->remaining.subspan(size);
    return argument;
  }

  bool SkipContent(unsigned major, unsigned info, std::uint64_t argument) {
    constexpr unsigned kFalseInfo = 20;
    constexpr unsigned kNullInfo = 22;
    enum Major : unsigned {
      kUnsigned,
      kNegative,
      kBytes,
      kText,
      kArray,
      kMap,
      kTag,
      kSimple,
    };
    switch (major) {
      case kUnsigned:
      case kNegative:
        return true;
      case kText:
        if (argument > this->remaining.size()) {
          return false;
        }
        this->remaining = this->remaining.subspan(argument);
        return true;
      case kArray:
      case kMap:
        return argument <= this->remaining.size();
      case kSimple:
        return (info >= kFalseInfo && info <= kNullInfo) ||
               (info >= kTwoByteInfo && info <= kEightByteInfo);
      default:
        return false;
    }
  }

  std::span<const std::uint8_t> remaining;
};

/// The library recurses for each chunk of a text string of indefinite length
/// without an event that could stop it, so such items are rejected beforehand.
bool HasOnlyJsonItems(std::span<const std::uint8_t> bytes) {
  CborHeads heads(bytes);
  while (!heads.AtEnd()) {
    if (!heads.Skip()) {
      return false;
    }
  }
  return true;
}

}  // namespace

Result<Json> ParseJson(std::string_view text,
                       const JsonLimits& limits,
                       JsonComments comments) {
  if (text.size() > limits.max_bytes) {
    return TooLong(limits);
  }
  return Build(text, limits, Json::input_format_t::json, comments);
}

Result<Json> ParseCbor(std::span<const std::uint8_t> bytes,
                       const JsonLimits& limits) {
  if (bytes.size() > limits.max_bytes) {
    return TooLong(limits);
  }
  if (!HasOnlyJsonItems(bytes)) {
    return Malformed("expected CBOR of JSON's types with definite lengths");
  }
  return Build(bytes, limits, Json::input_format_t::cbor,
               JsonComments::kRefused);
}

bool IsUtf8(std::string_view text) {
  using Traits = boost::locale::utf::utf_traits<char>;
  const auto* position = text.begin();
  while (position != text.end()) {
    const auto code_point = Traits::decode(position, text.end());
    if (code_point == boost::locale::utf::illegal ||
        code_point == boost::locale::utf::incomplete) {
      return false;
    }
  }
  return true;
}

}  // namespace cicadaloft
