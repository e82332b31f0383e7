#ifndef CICADALOFT_FORWARDING_TARGET_RESPONSE_READER_H_
#define CICADALOFT_FORWARDING_TARGET_RESPONSE_READER_H_

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/core/memory_budget.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/forwarding/event_stream_end.h"
#include "cicadaloft/forwarding/messages.h"
#include "cicadaloft/forwarding/target_connection.h"
#include "cicadaloft/responses/response_rules.h"

namespace cicadaloft {

/// Reads the responses on one target connection, one after the other. Part of
/// the exchange that owns the connection.
class TargetResponseReader {
 public:
  /// A piece of a body, or the attempt's outcome if reading it failed.
  using Piece = std::variant<std::string, AttemptOutcome>;

  /// @param is_head whether the request's method is HEAD, so that the response
  /// has no body.
  /// @param memory budget for long heads.
  TargetResponseReader(std::shared_ptr<TargetConnection> connection,
                       bool is_head,
                       std::shared_ptr<MemoryBudget> memory);

  /// Reads the next head; informational responses (status 1xx) before it are
  /// skipped. A head with a defect ends the attempt.
  /// @return the attempt's outcome if no valid head arrives within `timeout`,
  /// else none.
  boost::asio::awaitable<std::optional<AttemptOutcome>> ReadHead(
      Duration timeout);

  /// Returns the body bytes of one read; empty if only framing arrived.
  boost::asio::awaitable<Piece> ReadPiece(Duration timeout);

  /// Reads and drops the rest of the body, unless that takes so long or is so
  /// large that a new connection costs less.
  /// @return whether it arrived completely within `timeout` and these limits.
  boost::asio::awaitable<bool> SkipBody(Duration timeout);

  bool IsDone() const { return this->parser->is_done(); }
  /// @return whether the body was an event stream that broke off, although its
  /// framing does not show it.
  bool IsEventMissing() const;
  /// @return whether the last head begins a stream of events.
  bool IsEventStream() const { return this->is_event_stream; }
  /// @return the complete events so far; 0 if the body is no event stream.
  std::uint64_t EventCount() const {
    return this->is_event_stream ? this->event_stream_end.event_count() : 0;
  }
  /// @return whether the connection stays open and nothing on it can be
  /// mistaken for the response to the next request.
  bool IsConnectionReusable() const;
  /// @return the status of the last head; 0 if it is not a response.
  int status() const { return this->head.status; }
  const std::vector<HeaderField>& fields() const { return this->head.fields; }
  /// @return why the last head is not a response; none if it is one.
  std::optional<HeadDefect> defect() const { return this->head_defect; }
  const std::string& ReasonPhrase() const { return this->head.reason_phrase; }
  BodyFraming Framing() const;
  std::optional<std::uint64_t> ContentLength() const;

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  /// Reads one head, final or informational, and checks it.
  /// @return the attempt's outcome if there is no valid head, else none.
  boost::asio::awaitable<std::optional<AttemptOutcome>> ParseHead(
      Duration timeout);
  /// Reads a head into `parser`, with memory from the budget.
  boost::asio::awaitable<boost::system::error_code> ReadIntoParser();
  /// @return whether there is memory for it.
  bool TakeHead();

  static constexpr std::uint32_t kMaxHeadBytes = 16 * 1024;
  /// Of a head: the buffer's, the parser's, the reader's, the session's, and
  /// the text for the caller.
  static constexpr std::size_t kHeadCopies = 5;
  static constexpr std::size_t kPieceBytes = std::size_t{4} * 1024;

  const std::shared_ptr<TargetConnection> connection;
  const bool is_head;
  MemoryHold memory;
  std::optional<Parser> parser;
  ReceivedHead head;
  std::optional<HeadDefect> head_defect;
  bool is_event_stream = false;
  EventStreamEnd event_stream_end;
  std::array<char, kPieceBytes> piece{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_TARGET_RESPONSE_READER_H_
