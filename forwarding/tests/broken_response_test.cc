#define BOOST_TEST_MODULE broken_response
#include <boost/test/unit_test.hpp>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using boost::asio::awaitable;
using enum AttemptOutcome;
using After = TargetScript::After;
using Outcomes = std::vector<AttemptOutcome>;

constexpr char kUnframedStream[] =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
constexpr char kChunkedStream[] =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

constexpr char kLastChunk[] = "\r\n0\r\n\r\n";

enum class HttpVersion { k10, k11 };

/// What the caller of a stream gets.
struct ReceivedStream {
  std::string text;  ///< All bytes, with the head.
  bool is_reset = false;
  AttemptOutcome outcome{};
};

std::string StreamGet(HttpVersion version) {
  std::string request = ServiceGet("/");
  if (version == HttpVersion::k10) {
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
  }
  return request;
}

ReceivedStream Receive(std::vector<std::string> pieces,
                       HttpVersion version = HttpVersion::k11) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = std::move(pieces), .after = After::kClose});
  ReceivedStream received;
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(StreamGet(version));
    received.text = co_await caller.ReadUntil(kLastChunk);
    received.is_reset = caller.error == boost::asio::error::connection_reset;
    co_await entry.WaitForEndedAttempts(1);
  });
  received.outcome = entry.Outcomes().at(0);
  return received;
}

/// Expects what shows a caller that the body isn't complete: over HTTP/1.1
/// chunks without the last one, over HTTP/1.0 a reset.
void ExpectVisiblyBroken(const ReceivedStream& received, HttpVersion version) {
  BOOST_TEST((received.outcome == kBrokenDuringResponse));
  const bool is_chunked =
      received.text.find("Transfer-Encoding: chunked") != std::string::npos;
  BOOST_TEST(is_chunked == (version == HttpVersion::k11));
  BOOST_TEST(!received.text.ends_with(kLastChunk));
  BOOST_TEST((is_chunked || received.is_reset));
}

// Guards against streams that look complete although they break off: without a
// length or chunks, only the end of an event shows that none is missing.
BOOST_AUTO_TEST_CASE(UnframedStreamThatEndsInsideAnEventIsBrokenOff) {
  const std::vector<std::vector<std::string>> bodies = {
      {"data: 1\n\ndata: 2"},
      {"data: 1\n\ndata: 2\n"},
      {"data: 1\r\n\r\ndata: 2\r\n"},
      {"data: 1\n\n", "id: 2\n", "data"},
      {}};
  for (const auto& body : bodies) {
    std::vector<std::string> pieces = {kUnframedStream};
    std::ranges::copy(body, std::back_inserter(pieces));
    for (const HttpVersion version : {HttpVersion::k10, HttpVersion::k11}) {
      ExpectVisiblyBroken(Receive(pieces, version), version);
    }
  }
}

BOOST_AUTO_TEST_CASE(UnframedStreamThatEndsAfterAnEventIsComplete) {
  for (const std::string end : {"data: 2\n\n", "data: 2\r\n\r\n", "x\r\r"}) {
    const std::vector<std::string> pieces = {kUnframedStream, "data: 1\n\n",
                                             end.substr(0, 3), end.substr(3)};
    const ReceivedStream old_caller = Receive(pieces, HttpVersion::k10);
    BOOST_TEST((old_caller.outcome == kCompleted));
    BOOST_TEST(!old_caller.is_reset);
    BOOST_TEST(old_caller.text.ends_with("data: 1\n\n" + end));
    const ReceivedStream received = Receive(pieces);
    BOOST_TEST((received.outcome == kCompleted));
    BOOST_TEST(received.text.ends_with(end.substr(3) + kLastChunk));
  }
}

// Guards against a response that ends with its connection where its caller
// reads chunks: the connection of a process that is killed ends in the same
// way.
BOOST_AUTO_TEST_CASE(UnframedResponseLeavesTheCallersConnectionOpen) {
  EntryFixture entry;
  entry.target.scripts.push_back(
      {.pieces = {kUnframedStream, "data: 1\n\n"}, .after = After::kClose});
  entry.target.scripts.push_back(
      {.pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nall"}});
  entry.Run([&]() -> awaitable<void> {
    auto caller = co_await entry.ConnectCaller();
    co_await caller.Write(ServiceGet("/1"));
    BOOST_TEST((co_await caller.Read()).body() == "data: 1\n\n");
    BOOST_TEST(!caller.error);
    co_await caller.Write(ServiceGet("/2"));
    BOOST_TEST((co_await caller.Read()).body() == "all");
    BOOST_TEST(!caller.error);
  });
}

BOOST_AUTO_TEST_CASE(ChunkedStreamThatEndsInsideAnEventIsBrokenOff) {
  const ReceivedStream received =
      Receive({kChunkedStream, "4\r\ndata\r\n", "0\r\n\r\n"});
  BOOST_TEST((received.outcome == kBrokenDuringResponse));
  BOOST_TEST(!received.text.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(UnframedResponseOfAnotherTypeEndsWithItsConnection) {
  for (const HttpVersion version : {HttpVersion::k10, HttpVersion::k11}) {
    const ReceivedStream received = Receive(
        {"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nall"}, version);
    BOOST_TEST((received.outcome == kCompleted));
    BOOST_TEST(!received.is_reset);
  }
}

// Guards against the text of an error, or the end of another response, in the
// middle of a stream that broke off.
BOOST_AUTO_TEST_CASE(NothingFollowsAStreamThatBreaksOff) {
  for (const char* head : {kUnframedStream, kChunkedStream}) {
    const bool is_chunked = head == kChunkedStream;
    const std::string event =
        is_chunked ? "9\r\ndata: 1\n\n\r\n" : "data: 1\n\n";
    const ReceivedStream received =
        Receive({head, event, is_chunked ? "9\r\nda" : "da"});
    BOOST_TEST((received.outcome == kBrokenDuringResponse));
    BOOST_TEST(received.text.find("HTTP/1.1 ", 1) == std::string::npos);
    BOOST_TEST(received.text.find("\r\n0\r\n") == std::string::npos);
    BOOST_TEST(received.text.find("problem") == std::string::npos);
  }
}

// Guards against complete responses with an empty or short body made from a
// head that breaks off.
BOOST_AUTO_TEST_CASE(HeadThatBreaksOffIsNoResponse) {
  for (const char* head :
       {"HTTP/1.1 2", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Len",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n"}) {
    EntryFixture entry;
    entry.target.scripts.push_back({.pieces = {head}, .after = After::kClose});
    const auto response = entry.ResponseTo(ServiceGet("/"));
    BOOST_TEST(response.result_int() == 502);
    BOOST_TEST((entry.Outcomes() == Outcomes{kBrokenBeforeResponse}));
  }
}

}  // namespace
}  // namespace cicadaloft
