#define BOOST_TEST_MODULE json_property
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "generators.h"

namespace cicadaloft {
namespace {

using Bytes = std::vector<std::uint8_t>;

constexpr JsonLimits kLimits{.max_bytes = std::size_t{1} << 20,
                             .max_depth = 16,
                             .max_values = 1000};
constexpr std::size_t kDepth = 500'000;

bool IsError(const Result<Json>& json) {
  return !IsOk(json) && !ErrorOf(json).message.empty();
}

bool IsTextError(const std::string& text) {
  return IsError(ParseJson(text, kLimits, JsonComments::kAllowed));
}

bool IsCborError(const Bytes& bytes) {
  return IsError(ParseCbor(bytes, kLimits));
}

/// @return a CBOR head that declares `length` elements or bytes.
Bytes HeadWithLength(unsigned major, std::uint64_t length) {
  Bytes bytes = {static_cast<std::uint8_t>(major << 5 | 27)};
  for (int shift = 56; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<std::uint8_t>(length >> shift));
  }
  return bytes;
}

RC_BOOST_PROP(ArbitraryBytesYieldValueOrError, (const Bytes& bytes)) {
  const Result<Json> cbor = ParseCbor(bytes, kLimits);
  RC_ASSERT(IsOk(cbor) || IsError(cbor));
  const std::string text(bytes.begin(), bytes.end());
  const Result<Json> json = ParseJson(text, kLimits, JsonComments::kAllowed);
  RC_ASSERT(IsOk(json) || IsError(json));
}

RC_BOOST_PROP(MutatedTextYieldsValueOrError, ()) {
  const std::string text = DrawMutation<std::string>(
      R"({"a": [1, -2, 3.5e7, true, null], // Why.
          "b": {"c": "\u00e7\n", "d": [[], {}]}})");
  const Result<Json> json = ParseJson(text, kLimits, JsonComments::kAllowed);
  RC_ASSERT(IsOk(json) || IsError(json));
}

BOOST_AUTO_TEST_CASE(DeeplyNestedJsonIsAnError) {
  for (const char* open : {"[", "{\"a\":", "[[],"}) {
    std::string text;
    for (std::size_t i = 0; i < kDepth / 5; ++i) {
      text += open;
    }
    BOOST_TEST(IsTextError(text));
  }
  BOOST_TEST(IsTextError(std::string(17, '[') + std::string(17, ']')));
  BOOST_TEST(!IsTextError(std::string(16, '[') + std::string(16, ']')));
}

BOOST_AUTO_TEST_CASE(DeeplyNestedCborIsAnErrorForEveryType) {
  // Heads of arrays and maps of definite and indefinite length, of text and
  // byte strings of indefinite length, and of tags.
  for (const std::uint8_t head : {0x81, 0x9f, 0xa1, 0xbf, 0x7f, 0x5f, 0xc1}) {
    BOOST_TEST(IsCborError(Bytes(kDepth, head)));
  }
  Bytes maps;
  for (std::size_t i = 0; i < kDepth / 3; ++i) {
    maps.insert(maps.end(), {0xa1, 0x61, 'a'});
  }
  BOOST_TEST(IsCborError(maps));
}

BOOST_AUTO_TEST_CASE(DeclaredLengthsBeyondInputAndOtherMalformedCborAreErrors) {
  for (const unsigned major : {2U, 3U, 4U, 5U}) {
    for (const std::uint64_t length :
         {std::uint64_t{1}, std::uint64_t{1} << 31, std::uint64_t{1} << 62,
          ~std::uint64_t{0}}) {
      BOOST_TEST(IsCborError(HeadWithLength(major, length)));
    }
  }
  BOOST_TEST(IsCborError({}));
  BOOST_TEST(IsCborError({0x01, 0x01}));
  BOOST_TEST(IsCborError({0x61, 0xff}));
}

BOOST_AUTO_TEST_CASE(InputOverValueOrByteLimitIsAnError) {
  BOOST_TEST(IsCborError(Json::to_cbor(Json(Json::array_t(2000)))));
  BOOST_TEST(!IsCborError(Json::to_cbor(Json(Json::array_t(900)))));
  BOOST_TEST(IsTextError(std::string(kLimits.max_bytes + 1, ' ')));
}

}  // namespace
}  // namespace cicadaloft
