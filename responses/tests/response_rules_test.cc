#define BOOST_TEST_MODULE response_rules
#include "cicadaloft/responses/response_rules.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

namespace cicadaloft {
namespace {

using enum HeadDefect;
using Defect = std::optional<HeadDefect>;

ReceivedHead HeadWithStatus(int status) {
  return {.status = status, .reason_phrase = "OK"};
}

ReceivedHead HeadWithField(std::string name, std::string value) {
  return {.status = 200,
          .reason_phrase = "OK",
          .fields = {{.name = "Server-Stamp", .value = "1"},
                     {.name = std::move(name), .value = std::move(value)}}};
}

// Guards against heads that a parser has read, and that are no responses:
// callers got them as responses with statuses such as "0".
BOOST_AUTO_TEST_CASE(StatusIsFrom100To599) {
  for (const int status : {0, 1, 7, 99, 600, 999, -1, 1000}) {
    BOOST_TEST_CONTEXT("status " << status) {
      BOOST_TEST((FindDefect(HeadWithStatus(status)) == Defect(kStatus)));
    }
  }
  for (const int status : {100, 102, 103, 199, 200, 299, 304, 421, 599}) {
    BOOST_TEST_CONTEXT("status " << status) {
      BOOST_TEST((FindDefect(HeadWithStatus(status)) == Defect()));
    }
  }
}

BOOST_AUTO_TEST_CASE(ProtocolSwitchAnswersUpgradeRequestsOnly) {
  for (const auto request : {RequestKind::kOther, RequestKind::kHead}) {
    BOOST_TEST((FindDefect({.status = 101, .request = request}) ==
                Defect(kProtocolSwitch)));
  }
  BOOST_TEST((FindDefect({.status = 101, .request = RequestKind::kUpgrade}) ==
              Defect()));
}

// Guards against informational heads that count as the response, because the
// library has no name for their status.
BOOST_AUTO_TEST_CASE(StatusesFrom100To199AreInformational) {
  for (const int status : {100, 102, 103, 110, 199}) {
    BOOST_TEST(IsInformational(HeadWithStatus(status)));
  }
  for (const int status : {0, 99, 200, 204, 304, 599}) {
    BOOST_TEST(!IsInformational(HeadWithStatus(status)));
  }
}

// Guards against a field that another reader takes for a different one, or
// for a part of the body.
BOOST_AUTO_TEST_CASE(FieldNameIsAToken) {
  for (const std::string invalid :
       {" ", "\t", "\n", "\r", "\x01", "\x7f", "\x80", "\"", "(", ",", "/",
        ":", ";",  "<",  "=",  "@",    "[",    "\\",   "]",  "{", "}"}) {
    for (const std::string& name :
         {invalid, invalid + "Name", "Na" + invalid + "me", "Name" + invalid,
          "Content-Length" + invalid, "Transfer-Encoding" + invalid}) {
      BOOST_TEST_CONTEXT("name '" << name << "'") {
        BOOST_TEST(
            (FindDefect(HeadWithField(name, "1")) == Defect(kFieldName)));
      }
    }
  }
  BOOST_TEST((FindDefect(HeadWithField(std::string(1, '\0'), "1")) ==
              Defect(kFieldName)));
  BOOST_TEST((FindDefect(HeadWithField("", "1")) == Defect(kFieldName)));
  for (const std::string name :
       {"A", "x-1", "!#$%&'*+-.^_`|~", "0123456789", "Zz"}) {
    BOOST_TEST((FindDefect(HeadWithField(name, "1")) == Defect()));
  }
}

BOOST_AUTO_TEST_CASE(ValuesAndReasonPhrasesHaveNoControlCharacters) {
  for (const int byte : std::views::iota(0, 256)) {
    const std::string value =
        "a" + std::string(1, static_cast<char>(byte)) + "b";
    const bool is_valid = byte == '\t' || (byte >= 0x20 && byte != 0x7f);
    BOOST_TEST_CONTEXT("byte " << byte) {
      BOOST_TEST((FindDefect(HeadWithField("Name", value)) ==
                  (is_valid ? Defect() : Defect(kFieldValue))));
      BOOST_TEST((FindDefect({.status = 200, .reason_phrase = value}) ==
                  (is_valid ? Defect() : Defect(kReasonPhrase))));
    }
  }
}

ReceivedHead HeadWithFields(std::vector<HeaderField> fields) {
  return {.status = 200, .fields = std::move(fields)};
}

// Guards against a body that reaches the caller in a coding that the caller
// can't know, framed as whole.
BOOST_AUTO_TEST_CASE(OnlyTransferEncodingIsChunked) {
  for (const std::string value :
       {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked",
        "identity", "identity, chunked", "chunked;q=1", "chunked x", "xchunked",
        "chunke", "\"chunked\"", "", ",", " "}) {
    BOOST_TEST_CONTEXT("value '" << value << "'") {
      BOOST_TEST((FindDefect(HeadWithField("Transfer-Encoding", value)) ==
                  Defect(kTransferEncoding)));
      BOOST_TEST((FindDefect(HeadWithField("transfer-encoding", value)) ==
                  Defect(kTransferEncoding)));
      // No body follows, so that there is nothing to decode.
      for (const int status : {100, 204, 304}) {
        BOOST_TEST((FindDefect({.status = status,
                                .fields = {{.name = "Transfer-Encoding",
                                            .value = value}}}) == Defect()));
      }
      BOOST_TEST((
          FindDefect({.status = 200,
                      .fields = {{.name = "Transfer-Encoding", .value = value}},
                      .request = RequestKind::kHead}) == Defect()));
    }
  }
  for (const std::string value : {"chunked", "CHUNKED", ", chunked\t,"}) {
    BOOST_TEST(
        (FindDefect(HeadWithField("Transfer-Encoding", value)) == Defect()));
    ReceivedHead old = HeadWithField("Transfer-Encoding", value);
    old.is_http_1_0 = true;
    BOOST_TEST((FindDefect(old) == Defect(kTransferEncoding)));
  }
}

BOOST_AUTO_TEST_CASE(EncodingsOfAllFieldsMakeUpOneList) {
  const HeaderField chunked{.name = "Transfer-Encoding", .value = "chunked"};
  for (const std::string value : {"gzip", "chunked", "identity"}) {
    const HeaderField other{.name = "transfer-encoding", .value = value};
    BOOST_TEST((FindDefect(HeadWithFields({chunked, other})) ==
                Defect(kTransferEncoding)));
    BOOST_TEST((FindDefect(HeadWithFields({other, chunked})) ==
                Defect(kTransferEncoding)));
  }
  BOOST_TEST((FindDefect(HeadWithFields(
                  {chunked, {.name = "Content-Length", .value = "5"}})) ==
              Defect(kTransferEncoding)));
}

BOOST_AUTO_TEST_CASE(ContentLengthIsOneNumber) {
  for (const std::string value : {"", "x", "-1", "+1", "1x", "0x1", "1 2",
                                  "1, 2", "1.0", ",", "18446744073709551616"}) {
    BOOST_TEST_CONTEXT("value '" << value << "'") {
      BOOST_TEST((FindDefect(HeadWithField("Content-Length", value)) ==
                  Defect(kContentLength)));
    }
  }
  for (const std::string value :
       {"0", "5", "005", "5, 5", "18446744073709551615"}) {
    BOOST_TEST(
        (FindDefect(HeadWithField("content-length", value)) == Defect()));
  }
  const HeaderField five{.name = "Content-Length", .value = "5"};
  const HeaderField six{.name = "Content-Length", .value = "6"};
  BOOST_TEST((FindDefect(HeadWithFields({five, five})) == Defect()));
  BOOST_TEST(
      (FindDefect(HeadWithFields({five, six})) == Defect(kContentLength)));
}

// Guards against refusing what a sound server may send.
BOOST_AUTO_TEST_CASE(RareValidHeadsAreResponses) {
  BOOST_TEST((FindDefect({.status = 200}) == Defect()));
  BOOST_TEST((FindDefect(HeadWithField("Empty", "")) == Defect()));
  BOOST_TEST((FindDefect(HeadWithField("Server-Stamp", "1")) == Defect()));
  BOOST_TEST(
      (FindDefect(HeadWithField("Name", "caf\xc3\xa9 \xff")) == Defect()));
  BOOST_TEST(
      (FindDefect(HeadWithField("Long", std::string(8192, 'x'))) == Defect()));
}

BOOST_AUTO_TEST_CASE(EachDefectHasATokenOfItsOwn) {
  std::vector<std::string_view> tokens;
  for (const HeadDefect defect :
       {kStatus, kProtocolSwitch, kReasonPhrase, kFieldName, kFieldValue}) {
    tokens.push_back(ToString(defect));
  }
  std::ranges::sort(tokens);
  BOOST_TEST((std::ranges::adjacent_find(tokens) == tokens.end()));
  BOOST_TEST((std::ranges::find(tokens, "unknown") == tokens.end()));
}

}  // namespace
}  // namespace cicadaloft
