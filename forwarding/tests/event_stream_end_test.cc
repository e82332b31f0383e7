#define BOOST_TEST_MODULE event_stream_end
#include "cicadaloft/forwarding/event_stream_end.h"

#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <string>
#include <string_view>

namespace cicadaloft {
namespace {

std::uint64_t CountInPieces(std::string_view body, std::size_t piece_size) {
  EventStreamEnd end;
  for (std::size_t at = 0; at < body.size(); at += piece_size) {
    end.Add(body.substr(at, piece_size));
  }
  return end.event_count();
}

// Guards against intervals that are wrong by the way in which the body arrives.
BOOST_AUTO_TEST_CASE(EventsAreCountedHoweverTheBodyIsSplit) {
  for (const std::string line_end : {"\n", "\r\n", "\r"}) {
    std::string body;
    for (int i = 0; i < 5; ++i) {
      body.append("event: token").append(line_end);
      body.append("data: x").append(line_end).append(line_end);
    }
    for (std::size_t size = 1; size <= body.size(); ++size) {
      BOOST_TEST(CountInPieces(body, size) == 5U);
    }
  }
}

BOOST_AUTO_TEST_CASE(OnlyCompleteEventsCount) {
  BOOST_TEST(CountInPieces("", 1) == 0U);
  BOOST_TEST(CountInPieces("\n\n\n", 1) == 0U);
  BOOST_TEST(CountInPieces("data: x\n", 1) == 0U);
  BOOST_TEST(CountInPieces("data: x\n\n\n\ndata: y", 3) == 1U);
}

}  // namespace
}  // namespace cicadaloft
