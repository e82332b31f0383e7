#define BOOST_TEST_MODULE own_wire
#include "cicadaloft/own_interface/native_protocol.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/forwarding/header_rules.h"

namespace cicadaloft {
namespace {

RawRequest Chat(const std::string& body,
                const std::vector<HeaderField>& fields = {}) {
  return RawRequest{.method = "POST",
                    .path = "/v1/chat/completions",
                    .fields = fields,
                    .body = body};
}

RawRequest Service(const std::string& path,
                   const std::vector<HeaderField>& fields = {}) {
  return RawRequest{
      .method = "GET", .path = path, .fields = fields, .body = ""};
}

ErrorKind KindOf(const RawRequest& raw) {
  const auto call = NativeProtocol::ParseRequest(RequestId("r"), raw);
  BOOST_REQUIRE(!IsOk(call));
  return ErrorOf(call).kind;
}

CallerRequest Read(const RawRequest& raw) {
  const auto call = NativeProtocol::ParseRequest(RequestId("r"), raw);
  BOOST_REQUIRE(IsOk(call));
  return ValueOf(call);
}

const std::string kChatBody =
    R"({"model":"m","max_tokens":10,"messages":[{"content":"12345678"}]})";

BOOST_AUTO_TEST_CASE(ChatGivesModelPrefixAndCost) {
  const CallerRequest request = Read(Chat(kChatBody));
  BOOST_REQUIRE(request.arrival.model.has_value());
  BOOST_TEST(request.arrival.model->model.value() == "m");
  BOOST_TEST(request.arrival.prompt_prefix_key == StableHash("12345678"));
  BOOST_TEST(request.arrival.tokens.value() == 12);
  BOOST_TEST(request.body == kChatBody);
  BOOST_TEST(request.path == "/v1/chat/completions");
}

BOOST_AUTO_TEST_CASE(ChatContentMayComeInParts) {
  const CallerRequest request = Read(Chat(
      R"({"model":"m","messages":[{"content":[{"text":"ab"},{"text":"cd"}]}]})"));
  BOOST_TEST(request.arrival.prompt_prefix_key == StableHash("abcd"));
  BOOST_TEST(request.arrival.tokens.value() == 257);
}

BOOST_AUTO_TEST_CASE(AnAdapterIsNamedAfterItsModel) {
  const CallerRequest request =
      Read(Chat(R"({"model":"m/a1","messages":[{"content":"x"}]})"));
  BOOST_TEST(request.arrival.model->model.value() == "m");
  BOOST_TEST(request.arrival.model->adapter.value() == "a1");
}

BOOST_AUTO_TEST_CASE(BrokenChatBodiesAreMalformed) {
  for (const char* body :
       {"", "{", "[]", R"({"model":"m"})", R"({"model":1,"messages":[{}]})",
        R"({"model":"m","messages":[]})", R"({"model":"m","messages":["x"]})",
        R"({"model":"m","messages":[{}],"max_tokens":-1})",
        R"({"model":"m","messages":[{}],"stream":1})", "\xff\xfe"}) {
    BOOST_TEST_CONTEXT(body) {
      BOOST_TEST((KindOf(Chat(body)) == ErrorKind::kMalformedRequest));
    }
  }
}

BOOST_AUTO_TEST_CASE(ServicePrefixIsCutOff) {
  BOOST_TEST(Read(Service("/services/c/a/b?q=1")).path == "/a/b?q=1");
  BOOST_TEST(Read(Service("/services/c?q=1")).path == "/?q=1");
  BOOST_TEST(Read(Service("/services/c")).path == "/");
  const auto to = Read(Service("/services/c/a")).arrival.destination;
  BOOST_TEST(std::get<ByRoute>(to).route.value() == "c");
}

BOOST_AUTO_TEST_CASE(OtherPathsAndMethodsAreRefused) {
  BOOST_TEST((KindOf(Service("/other")) == ErrorKind::kUnknownRoute));
  BOOST_TEST((KindOf(Service("/services/")) == ErrorKind::kUnknownRoute));
  BOOST_TEST((KindOf(Service("/v1/chat/completions")) ==
              ErrorKind::kMethodNotAllowed));
}

BOOST_AUTO_TEST_CASE(CallFieldsAreReadAndChecked) {
  const CallerRequest request =
      Read(Service("/services/c", {{"authorization", "bearer  k1.secret"},
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
    BOOST_TEST((KindOf(Service("/services/c", {field})) ==
                ErrorKind::kMalformedRequest));
  }
  BOOST_TEST((KindOf(Service("/services/c", {{"Authorization", "Bearer a"},
                                             {"authorization", "Bearer b"}})) ==
              ErrorKind::kMalformedRequest));
}

BOOST_AUTO_TEST_CASE(FingerprintCoversMethodRouteAndBody) {
  const auto print = [](const RawRequest& raw) {
    return Read(raw).arrival.fingerprint;
  };
  BOOST_TEST(print(Service("/services/c/1")) ==
             print(Service("/services/c/1", {{"Accept", "x"}})));
  BOOST_TEST(print(Service("/services/c/1")) !=
             print(Service("/services/c/2")));
}

BOOST_AUTO_TEST_CASE(TargetsSeeNoCredentialsAndNoHopByHopFields) {
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
