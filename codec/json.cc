#include "cicadaloft/codec/json.h"

#include <boost/locale/utf.hpp>
#include <exception>
#include <optional>
#include <utility>

#include "json_builder.h"

namespace cicadaloft {
namespace {

Error Malformed(std::string why) {
  return MakeError(ErrorKind::kMalformedRequest, std::move(why));
}

Error TooLong(const JsonLimits& limits) {
  return Malformed("expected at most " + std::to_string(limits.max_bytes) +
                   " bytes");
}

/// Runs the library's parser, which stands outside the project's errors.
template <typename Input>
Result<Json> Build(const Input& input,
                   const JsonLimits& limits,
                   Json::input_format_t format,
                   JsonComments comments) {
  JsonBuilder builder(limits);
  try {
    const bool is_whole =
        Json::sax_parse(input.begin(), input.end(), &builder, format,
                        /*strict=*/true, comments == JsonComments::kAllowed);
    if (is_whole) {
      return builder.TakeRoot();
    }
  } catch (const std::exception& error) {
    return Malformed(error.what());
  }
  return Malformed(builder.failure().value_or("expected one whole value"));
}

/// Reads the heads of CBOR items one after another.
class CborHeads {
 public:
  explicit CborHeads(std::span<const std::uint8_t> bytes) : rest(bytes) {}

  bool AtEnd() const { return this->rest.empty(); }

  /// Goes over one head and the text behind it.
  /// @return false where no item of JSON's types with a definite length is.
  bool Skip() {
    constexpr unsigned kMajorShift = 5;
    constexpr unsigned kInfoMask = 0x1f;
    const unsigned major = this->rest.front() >> kMajorShift;
    const unsigned info = this->rest.front() & kInfoMask;
    this->rest = this->rest.subspan(1);
    const std::optional<std::uint64_t> argument = this->TakeArgument(info);
    if (!argument.has_value()) {
      return false;
    }
    return this->SkipContent(major, info, *argument);
  }

 private:
  static constexpr unsigned kOneByteInfo = 24;
  static constexpr unsigned kTwoByteInfo = 25;
  static constexpr unsigned kEightByteInfo = 27;

  std::optional<std::uint64_t> TakeArgument(unsigned info) {
    constexpr unsigned kByteBits = 8;
    if (info < kOneByteInfo) {
      return info;
    }
    const std::size_t size = std::size_t{1} << (info - kOneByteInfo);
    if (info > kEightByteInfo || size > this->rest.size()) {
      return std::nullopt;
    }
    std::uint64_t argument = 0;
    for (const std::uint8_t byte : this->rest.first(size)) {
      argument = (argument << kByteBits) | byte;
    }
    this->rest = this->rest.subspan(size);
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
        if (argument > this->rest.size()) {
          return false;
        }
        this->rest = this->rest.subspan(argument);
        return true;
      case kArray:
      case kMap:
        return argument <= this->rest.size();
      case kSimple:
        return (info >= kFalseInfo && info <= kNullInfo) ||
               (info >= kTwoByteInfo && info <= kEightByteInfo);
      default:
        return false;
    }
  }

  std::span<const std::uint8_t> rest;
};

/// The library descends once more for each chunk of a text of indefinite
/// length, without an event that could stop it.
bool HasPlainItemsOnly(std::span<const std::uint8_t> bytes) {
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
  if (!HasPlainItemsOnly(bytes)) {
    return Malformed("expected CBOR of JSON's types with definite lengths");
  }
  return Build(bytes, limits, Json::input_format_t::cbor,
               JsonComments::kRefused);
}

bool IsUtf8(std::string_view text) {
  using Traits = boost::locale::utf::utf_traits<char>;
  const auto* at = text.begin();
  while (at != text.end()) {
    const auto point = Traits::decode(at, text.end());
    if (point == boost::locale::utf::illegal ||
        point == boost::locale::utf::incomplete) {
      return false;
    }
  }
  return true;
}

}  // namespace cicadaloft
