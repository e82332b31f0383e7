#define BOOST_TEST_MODULE native_protocol
#include "cicadaloft/own_interface/native_protocol.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/forwarding/header_rules.h"

namespace cicadaloft {
namespace {

RawRequest ChatPost(const std::string& body,
                    const std::vector<HeaderField>& fields = {}) {
  return RawRequest{.method = "POST",
                    .path = "/v1/chat/completions",
                    .fields = fields,
                    .body = body};
}

RawRequest ServiceGet(const std::string& path,
                      const std::vector<HeaderField>& fields = {}) {
  return RawRequest{
      .method = "GET", .path = path, .fields = fields, .body = ""};
}

ErrorKind ErrorKindOf(const RawRequest& raw) {
  const auto parsed = NativeProtocol::ParseRequest(RequestId("r"), raw);
  BOOST_REQUIRE(!IsOk(parsed));
  return ErrorOf(parsed).kind;
}

CallerRequest ParseValid(const RawRequest& raw) {
  const auto parsed = NativeProtocol::ParseRequest(RequestId("r"), raw);
  BOOST_REQUIRE(IsOk(parsed));
  return ValueOf(parsed);
}

const std::string kChatBody =
    R"({"model":"m","max_tokens":10,"messages":[{"content":"12345678"}]})";

BOOST_AUTO_TEST_CASE(ChatRequestYieldsModelPromptKeyAndTokens) {
  const CallerRequest request = ParseValid(ChatPost(kChatBody));
  BOOST_REQUIRE(request.arrival.model.has_value());
  BOOST_TEST(request.arrival.model->model.value() == "m");
  BOOST_TEST(request.arrival.prompt_prefix_key == StableHash("12345678"));
  BOOST_TEST(request.arrival.tokens.value() == 12);
  BOOST_TEST(request.body == kChatBody);
  BOOST_TEST(request.path == "/v1/chat/completions");
}

BOOST_AUTO_TEST_CASE(ChatContentPartsAreConcatenated) {
  const CallerRequest request = ParseValid(ChatPost(
      R"({"model":"m","messages":[{"content":[{"text":"ab"},{"text":"cd"}]}]})"));
  BOOST_TEST(request.arrival.prompt_prefix_key == StableHash("abcd"));
  BOOST_TEST(request.arrival.tokens.value() == 257);
}

BOOST_AUTO_TEST_CASE(DeeplyNestedChatBodyIsAnError) {
  const std::string body = R"({"model":"m","messages":)" +
                           std::string(200'000, '[') +
                           std::string(200'000, ']') + "}";
  BOOST_TEST((ErrorKindOf(ChatPost(body)) == ErrorKind::kMalformedRequest));
}

BOOST_AUTO_TEST_CASE(AdapterIsParsedFromTheModelField) {
  const CallerRequest request =
      ParseValid(ChatPost(R"({"model":"m/a1","messages":[{"content":"x"}]})"));
  BOOST_TEST(request.arrival.model->model.value() == "m");
  BOOST_TEST(request.arrival.model->adapter.value() == "a1");
}

BOOST_AUTO_TEST_CASE(InvalidChatBodiesAreMalformedRequests) {
  for (const char* body :
       {"", "{", "[]", R"({"model":"m"})", R"({"model":1,"messages":[{}]})",
        R"({"model":"m","messages":[]})", R"({"model":"m","messages":["x"]})",
        R"({"model":"m","messages":[{}],"max_tokens":-1})",
        R"({"model":"m","messages":[{}],"max_tokens":100000001})",
        R"({"model":"m","messages":[{}],"max_tokens":18446744073709551615})",
        R"({"model":"m","messages":[{}],"stream":1})", "\xff\xfe"}) {
    BOOST_TEST_CONTEXT(body) {
      BOOST_TEST((ErrorKindOf(ChatPost(body)) == ErrorKind::kMalformedRequest));
    }
  }
}

BOOST_AUTO_TEST_CASE(ServicePrefixIsRemovedFromThePath) {
  BOOST_TEST(ParseValid(ServiceGet("/services/c/a/b?q=1")).path == "/a/b?q=1");
  BOOST_TEST(ParseValid(ServiceGet("/services/c?q=1")).path == "/?q=1");
  BOOST_TEST(ParseValid(ServiceGet("/services/c")).path == "/");
  const auto destination =
      ParseValid(ServiceGet("/services/c/a")).arrival.destination;
  BOOST_TEST(std::get<ByRoute>(destination).route.value() == "c");
}

BOOST_AUTO_TEST_CASE(UnknownPathsAndMethodsAreRejected) {
  BOOST_TEST((ErrorKindOf(ServiceGet("/other")) == ErrorKind::kUnknownRoute));
  BOOST_TEST(
      (ErrorKindOf(ServiceGet("/services/")) == ErrorKind::kUnknownRoute));
  BOOST_TEST((ErrorKindOf(ServiceGet("/v1/chat/completions")) ==
              ErrorKind::kMethodNotAllowed));
}

BOOST_AUTO_TEST_CASE(HeaderFieldsAreParsedAndValidated) {
  const CallerRequest request = ParseValid(
      ServiceGet("/services/c", {{"authorization", "bearer  k1.secret"},
                                 {"X-Request-Timeout-Ms", "250"},
                                 {"X-Request-Class", "batch"},
                                 {"Idempotency-Key", "order-7"}}));
  BOOST_TEST(request.arrival.credential == "k1.secret");
  BOOST_TEST((request.arrival.timeout == std::chrono::milliseconds(250)));
  BOOST_TEST(request.arrival.is_batch);
  const std::vector<HeaderField> broken = {
      {"X-Request-Timeout-Ms", "99"},
      {"X-Request-Timeout-Ms", "600001"},
      {"X-Request-Timeout-Ms", "1e3"},
      {"X-Request-Class", "urgent"},
      {"Idempotency-Key", ""},
      {"Idempotency-Key", "a b"},
      {"Idempotency-Key", std::string(201, 'x')}};
  for (const HeaderField& field : broken) {
    BOOST_TEST((ErrorKindOf(ServiceGet("/services/c", {field})) ==
                ErrorKind::kMalformedRequest));
  }
  BOOST_TEST((
      ErrorKindOf(ServiceGet("/services/c", {{"Authorization", "Bearer a"},
                                             {"authorization", "Bearer b"}})) ==
      ErrorKind::kMalformedRequest));
}

// Guards against a stream that goes on at a target of another software version,
// as it was taken for a new one or its first request was not named.
BOOST_AUTO_TEST_CASE(StreamIsTakenUpWithItsLastEventAndFirstRequest) {
  const auto resumption_of = [](const std::vector<HeaderField>& fields) {
    return ParseValid(ServiceGet("/services/c", fields)).arrival.resumption;
  };
  const auto named =
      resumption_of({{"last-event-id", "7"}, {"X-Resumed-Request-Id", "h-1"}});
  BOOST_TEST(named.value().first_request.value() == "h-1");
  BOOST_TEST(
      resumption_of({{"Last-Event-ID", "7"}}).value().first_request.empty());
  BOOST_TEST(
      resumption_of({{"Last-Event-ID", "7"}, {"X-Resumed-Request-Id", ""}})
          .value()
          .first_request.empty());
  BOOST_TEST(!resumption_of({}).has_value());
  BOOST_TEST(!resumption_of({{"Last-Event-ID", ""}}).has_value());
  BOOST_TEST(!resumption_of({{"X-Resumed-Request-Id", "h-1"}}).has_value());
  for (const std::string& odd :
       {std::string("0"), std::string("\xff\x01"), std::string(16'000, 'x')}) {
    const auto taken_up =
        resumption_of({{"Last-Event-ID", odd}, {"X-Resumed-Request-Id", odd}});
    BOOST_TEST((taken_up.value().first_request.value() == odd));
  }
  for (const std::string name : {"Last-Event-ID", "X-Resumed-Request-Id"}) {
    BOOST_TEST((ErrorKindOf(ServiceGet(
                    "/services/c",
                    {{"Last-Event-ID", "7"}, {name, "a"}, {name, "b"}})) ==
                ErrorKind::kMalformedRequest));
  }
}

// Guards against a take-up whose target begins the stream from its start.
BOOST_AUTO_TEST_CASE(LastEventIdReachesTheTarget) {
  const CallerRequest request =
      ParseValid(ServiceGet("/services/c", {{"Last-Event-ID", "7"}}));
  const std::vector<HeaderField> expected = {{"Last-Event-ID", "7"}};
  BOOST_TEST((request.fields == expected));
}

BOOST_AUTO_TEST_CASE(FingerprintDependsOnThePathAndNotOnHeaderFields) {
  const auto fingerprint_of = [](const RawRequest& raw) {
    return ParseValid(raw).arrival.fingerprint;
  };
  BOOST_TEST(fingerprint_of(ServiceGet("/services/c/1")) ==
             fingerprint_of(ServiceGet("/services/c/1", {{"Accept", "x"}})));
  BOOST_TEST(fingerprint_of(ServiceGet("/services/c/1")) !=
             fingerprint_of(ServiceGet("/services/c/2")));
}

BOOST_AUTO_TEST_CASE(CredentialsAndHopByHopFieldsAreRemovedForTargets) {
  const std::vector<HeaderField> fields = {
      {"Accept", "text/plain"},
      {"AUTHORIZATION", "Bearer k1.secret"},
      {"Cookie", "a=b"},
      {"Connection", "close, X-Hop"},
      {"x-hop", "1"},
      {"Proxy-Authorization", "Basic x"},
      {"X-Forwarded-For", "10.0.0.1"},
      {"Forwarded", "for=x"},
      {"X-Cicadaloft-Target", "t"},
      {"X-Request-Id", "mine"},
      {"X-Copy", "key=k1.secret;"},
      {"Idempotency-Key", "i"},
      {"Transfer-Encoding", "chunked"},
      {"Content-Length", "3"}};
  const std::vector<HeaderField> expected = {{"Accept", "text/plain"},
                                             {"Idempotency-Key", "i"}};
  BOOST_TEST((FieldsForTarget(fields, "k1.secret") == expected));
}

}  // namespace
}  // namespace cicadaloft
