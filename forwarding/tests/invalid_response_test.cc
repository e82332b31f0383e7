#define BOOST_TEST_MODULE invalid_response
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string_view>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using enum AttemptOutcome;
using After = TargetScript::After;
using Outcomes = std::vector<AttemptOutcome>;

constexpr char kBody[] = "Content-Length: 3\r\n\r\nbad";

std::string Join(std::initializer_list<std::string_view> parts) {
  std::string text;
  std::ranges::for_each(parts,
                        [&](std::string_view part) { text.append(part); });
  return text;
}

/// What the caller of one request gets for a target's response.
struct Received {
  TestCaller::Response response;
  Outcomes outcomes;
  bool has_broken_off = false;
};

Received Receive(std::vector<std::string> pieces,
                 After after = After::kKeep,
                 const std::string& request = ServiceGet("/")) {
  EntryFixture entry;
  entry.target.scripts.push_back({.pieces = std::move(pieces), .after = after});
  Received received;
  entry.Run([&]() -> boost::asio::awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(request);
    received.response = co_await caller.Read();
    received.has_broken_off = static_cast<bool>(caller.error);
    co_await entry.WaitForEndedAttempts(1);
  });
  received.outcomes = entry.Outcomes();
  return received;
}

// The request may have run, so the caller gets a 502, which promises nothing.
void CheckIsNoResponse(const std::string& head) {
  BOOST_TEST_CONTEXT("head '" << head << "'") {
    const Received received = Receive({head});
    BOOST_TEST(received.response.result_int() == 502);
    const auto problem =
        nlohmann::json::parse(received.response.body(), nullptr, false);
    BOOST_TEST((problem.is_object() && problem["run_state"] == "unknown"));
    BOOST_TEST((received.outcomes == Outcomes{kBrokenBeforeResponse}));
  }
}

// Guards against a response with a status that HTTP doesn't have: callers got
// "HTTP/1.1 0 OK".
BOOST_AUTO_TEST_CASE(StatusOutside100To599IsNoResponse) {
  for (const char* status : {"000", "001", "007", "099", "600", "999"}) {
    CheckIsNoResponse("HTTP/1.1 " + std::string(status) + " OK\r\n" + kBody);
    CheckIsNoResponse("HTTP/1.0 " + std::string(status) + " OK\r\n" + kBody);
  }
}

// Guards against fields of such a head that are believed: the request would be
// sent to another target although it may have run on this one.
BOOST_AUTO_TEST_CASE(FieldsOfAnInvalidHeadAreNotUsed) {
  for (const std::string field : {"X-Not-Run: 1", "X-Not-Loaded: 1",
                                  "X-Other-Instance: 1", "X-Stale: 1"}) {
    CheckIsNoResponse("HTTP/1.1 000 Busy\r\n" + field + "\r\n" + kBody);
  }
}

// Guards against the response to the next request being read from what follows
// an invalid head.
BOOST_AUTO_TEST_CASE(ConnectionIsNotReusedAfterAnInvalidHead) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"
                  "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"}});
  entry.Run([&]() -> boost::asio::awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/"));
    BOOST_TEST((co_await caller.Read()).result_int() == 502);
    co_await caller.Write(ServiceGet("/"));
    BOOST_TEST((co_await caller.Read()).body() == "ok");
  });
  BOOST_TEST(entry.target.connections == 2U);
}

// Guards against a reader that takes a field whose name is no token for
// another field, or passes its line on.
BOOST_AUTO_TEST_CASE(FieldNameThatIsNoTokenIsNoResponse) {
  constexpr std::array<std::string_view, 7> kInvalid = {
      " ", "\t", "\x01", "\x1f", "\x7f", "\x80", "\""};
  for (const std::string_view invalid : kInvalid) {
    for (const std::string name :
         {"N", "Name", "Content-Length", "Transfer-Encoding"}) {
      const std::string before = name.substr(0, 1);
      const std::string after = name.substr(1);
      for (const std::string& line :
           {Join({name, invalid, ": 2"}), Join({invalid, name, ": 2"}),
            Join({before, invalid, after, ": 2"})}) {
        // A line that begins with a blank continues the one before it.
        const bool is_continuation = line[0] == ' ' || line[0] == '\t';
        if (!is_continuation) {
          CheckIsNoResponse("HTTP/1.1 200 OK\r\nServer: x\r\n" + line + "\r\n" +
                            kBody);
        }
        CheckIsNoResponse("HTTP/1.1 200 OK\r\n" + line + "\r\n" + kBody);
      }
    }
  }
  const std::string nul(1, '\0');
  CheckIsNoResponse("HTTP/1.1 200 OK\r\nNa" + nul + "me: 1\r\n" + kBody);
  CheckIsNoResponse("HTTP/1.1 200 OK\r\nNa" + nul + std::string(40, 'x') +
                    "me: 1\r\n" + kBody);
  CheckIsNoResponse("HTTP/1.1 200 OK\r\n: 1\r\n" + std::string(kBody));
}

BOOST_AUTO_TEST_CASE(ControlCharacterInAHeadIsNoResponse) {
  for (const std::string invalid : {"\x01", "\x1f", "\x7f", "\r", "\n"}) {
    CheckIsNoResponse("HTTP/1.1 200 OK\r\nName: a" + invalid + "b\r\n" + kBody);
    CheckIsNoResponse("HTTP/1.1 200 O" + invalid + "K\r\n" + kBody);
  }
}

BOOST_AUTO_TEST_CASE(BytesThatAreNoHeadAreNoResponse) {
  for (const std::string text :
       {"HTTP/1.1 20 OK\r\n", "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 2x0 OK\r\n",
        "HTTP/1.1 -20 OK\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/0.9 200 OK\r\n",
        "200 OK\r\n", "http/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nNo colon\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3x\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n"}) {
    CheckIsNoResponse(text + kBody);
  }
}

// Guards against a body in a coding that the caller can't know, which was
// passed on undecoded and framed as whole.
BOOST_AUTO_TEST_CASE(TransferEncodingOtherThanChunkedIsNoResponse) {
  const std::string chunks = "\r\n3\r\nbad\r\n0\r\n\r\n";
  for (const std::string value :
       {"gzip", "gzip, chunked", "chunked, gzip", "identity",
        "identity, chunked", "chunked;q=1", "xchunked"}) {
    const std::string field = "Transfer-Encoding: " + value + "\r\n";
    CheckIsNoResponse(Join({"HTTP/1.1 200 OK\r\n", field, chunks}));
    CheckIsNoResponse("HTTP/1.1 200 OK\r\n" + field + kBody);
    CheckIsNoResponse(Join({"HTTP/1.1 200 OK\r\n", field,
                            "Transfer-Encoding: chunked\r\n", chunks}));
  }
  CheckIsNoResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n" + chunks);
  CheckIsNoResponse("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" +
                    chunks);
}

BOOST_AUTO_TEST_CASE(TransferEncodingWithoutABodyIsForwarded) {
  const std::string fields = "Transfer-Encoding: gzip, chunked\r\n\r\n";
  for (const int status : {204, 304}) {
    const Received received =
        Receive({"HTTP/1.1 " + std::to_string(status) + " OK\r\n" + fields});
    BOOST_TEST(received.response.result_int() == status);
    BOOST_TEST((received.outcomes == Outcomes{kCompleted}));
  }
}

// Guards against refusing what a sound target may send.
BOOST_AUTO_TEST_CASE(RareValidHeadsAreForwarded) {
  struct Case {
    std::string head;
    int status = 200;
    std::string body = "ok";
  };
  const std::vector<Case> cases = {
      {"HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok"},
      {"HTTP/1.1 200 All is well\r\nContent-Length: 2\r\n\r\nok"},
      {"HTTP/1.1 200 caf\xc3\xa9\r\nContent-Length: 2\r\n\r\nok"},
      {"HTTP/1.1 200 OK\r\nName: caf\xc3\xa9 \xff\r\nContent-Length: "
       "2\r\n\r\nok"},
      {"HTTP/1.1 200 OK\r\nEmpty:\r\nContent-Length: 2\r\n\r\nok"},
      {"HTTP/1.1 200 OK\r\nTab: a\tb\r\nContent-Length: 2\r\n\r\nok"},
      {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: 1\r\nContent-Length: 2\r\n\r\nok"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok"},
      {"HTTP/1.1 200 OK\r\ncontent-length: 002\r\n\r\nok"},
      {"HTTP/1.1 200 OK\r\nTwo: a\r\nTwo: b\r\nContent-Length: 2\r\n\r\nok"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "2\r\nok\r\n0\r\n\r\n"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: CHUNKED\r\n\r\n"
       "2;name=value\r\nok\r\n0\r\nTrailer: 1\r\n\r\n"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: , chunked\t,\r\n\r\n"
       "2\r\nok\r\n0\r\n\r\n"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n"
       "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
      {"HTTP/1.1 299 Other\r\nContent-Length: 2\r\n\r\nok", 299},
      {"HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
      {"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n", 304, ""},
      {"HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 2\r\n\r\nok", 302},
      {"HTTP/1.1 599 Other\r\nContent-Length: 2\r\n\r\nok", 599},
      {"HTTP/1.1 100 Continue\r\n\r\n"
       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}};
  for (const Case& sound : cases) {
    BOOST_TEST_CONTEXT("head '" << sound.head << "'") {
      const Received received = Receive({sound.head});
      BOOST_TEST(received.response.result_int() == sound.status);
      BOOST_TEST(received.response.body() == sound.body);
      BOOST_TEST(!received.has_broken_off);
      BOOST_TEST((received.outcomes == Outcomes{kCompleted}));
    }
  }
  const Received until_close =
      Receive({"HTTP/1.0 200 OK\r\n\r\nok"}, After::kClose);
  BOOST_TEST(until_close.response.body() == "ok");
  BOOST_TEST((until_close.outcomes == Outcomes{kCompleted}));
}

BOOST_AUTO_TEST_CASE(ValidHeadsAreForwardedUnchanged) {
  const Received received =
      Receive({"HTTP/1.1 599 caf\xc3\xa9\r\nName: \xff \xc3\xa9\r\nEmpty:\r\n"
               "Content-Length: 2\r\n\r\nok"});
  BOOST_TEST(received.response.reason() == "caf\xc3\xa9");
  BOOST_TEST(received.response["Name"] == "\xff \xc3\xa9");
  BOOST_TEST(received.response.count("Empty") == 1U);
}

// Guards against an informational head that the library has no name for: it
// counted as the response, and the sound response after it was lost.
BOOST_AUTO_TEST_CASE(InformationalHeadsAreSkipped) {
  const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  for (const std::string status : {"100", "102", "103", "110", "199"}) {
    const std::string head = "HTTP/1.1 " + status + " Wait\r\n";
    for (const std::string& before :
         {head + "\r\n", head + "Content-Length: 5\r\n\r\n",
          Join({head, "Link: </a>\r\n\r\n", head, "\r\n"})}) {
      BOOST_TEST_CONTEXT("before '" << before << "'") {
        for (const auto& pieces :
             {std::vector{before + sound}, std::vector{before, sound}}) {
          const Received received = Receive(pieces);
          BOOST_TEST(received.response.result_int() == 200);
          BOOST_TEST(received.response.body() == "ok");
          BOOST_TEST(received.response.count("Link") == 0U);
          BOOST_TEST((received.outcomes == Outcomes{kCompleted}));
        }
      }
    }
    BOOST_TEST_CONTEXT("alone: " << status) {
      const Received alone = Receive({head + "\r\n"}, After::kClose);
      BOOST_TEST(alone.response.result_int() == 502);
      BOOST_TEST((alone.outcomes == Outcomes{kBrokenBeforeResponse}));
    }
    CheckIsNoResponse(head + "\r\nHTTP/1.1 000 OK\r\n" + kBody);
    CheckIsNoResponse(Join({head, "Bad Name: 1\r\n\r\n", sound}));
  }
  std::string many;
  for (int i = 0; i < 8; ++i) {
    many += "HTTP/1.1 103 Early Hints\r\n\r\n";
  }
  CheckIsNoResponse(many + sound);
}

// Guards against a response that breaks off in its framing, and reaches the
// caller as a complete one.
BOOST_AUTO_TEST_CASE(InvalidTrailersAndChunksBreakOff) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n";
  for (const std::string end :
       {"0\r\nno colon\r\n\r\n", "0\r\nBad Name: 1\r\n\r\n",
        "0\r\nNa\x01me: 1\r\n\r\n", "0\r\nName: a\x01\r\n\r\n",
        "0\r\nContent-Length: 5\r\n\r\n",
        "0\r\nTransfer-Encoding: chunked\r\n\r\n", "x\r\nok\r\n0\r\n\r\n",
        "-2\r\nok\r\n0\r\n\r\n", "2\r\nokay\r\n0\r\n\r\n"}) {
    BOOST_TEST_CONTEXT("end '" << end << "'") {
      const Received received = Receive({head, end});
      BOOST_TEST(received.has_broken_off);
      BOOST_TEST((received.outcomes == Outcomes{kBrokenDuringResponse}));
    }
  }
}

}  // namespace
}  // namespace cicadaloft
