#include "cicadaloft/forwarding/target_response_reader.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/system/errc.hpp>
#include <chrono>
#include <cstddef>
#include <numeric>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

#include "cicadaloft/forwarding/header_rules.h"
#include "cicadaloft/forwarding/parsed_head.h"
#include "cicadaloft/forwarding/with_timeout.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/// Limits on reading a body only to reuse its connection: beyond this time or
/// this many bytes, a new connection costs less.
constexpr Duration kMaxSkipTime = std::chrono::milliseconds(100);
constexpr std::size_t kMaxSkippedBytes = std::size_t{64} * 1024;

bool IsOversized(const boost::system::error_code& error) {
  return error == http::error::header_limit ||
         error == http::error::buffer_overflow;
}

constexpr std::string_view kEventStream = "text/event-stream";

}  // namespace

TargetResponseReader::TargetResponseReader(
    std::shared_ptr<TargetConnection> connection,
    bool is_head,
    std::shared_ptr<MemoryBudget> memory)
    : connection(std::move(connection)),
      is_head(is_head),
      memory(std::move(memory)) {
  this->connection->buffer.shrink_to_fit();
  this->connection->buffer.max_size(TargetConnection::kBufferBytes);
}

asio::awaitable<std::optional<AttemptOutcome>> TargetResponseReader::ReadHead(
    Duration timeout) {
  int head_count = 0;
  do {
    if (++head_count > kMaxHeadsPerResponse) {
      co_return AttemptOutcome::kBrokenBeforeResponse;
    }
    if (const auto failure = co_await this->ParseHead(timeout)) {
      co_return failure;
    }
  } while (IsInformational(this->head));
  if (!this->TakeHead()) {
    co_return AttemptOutcome::kMemoryLimit;
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<AttemptOutcome>> TargetResponseReader::ParseHead(
    Duration timeout) {
  this->head = ReceivedHead();
  this->parser.emplace();
  this->parser->header_limit(kMaxHeadBytes);
  this->parser->body_limit(boost::none);
  this->parser->skip(this->is_head);
  const auto result = co_await WithTimeout(timeout, this->ReadIntoParser());
  if (!result) {
    co_return AttemptOutcome::kTimedOut;
  }
  const boost::system::error_code error = *result;
  if (error == boost::system::errc::not_enough_memory) {
    co_return AttemptOutcome::kMemoryLimit;
  }
  if (IsOversized(error)) {
    co_return AttemptOutcome::kOversizedResponse;
  }
  if (error) {
    co_return AttemptOutcome::kBrokenBeforeResponse;
  }
  ReceivedHead received =
      ToReceivedHead(this->parser->get(),
                     this->is_head ? RequestKind::kHead : RequestKind::kOther);
  this->head_defect = FindDefect(received);
  if (this->head_defect) {
    co_return AttemptOutcome::kBrokenBeforeResponse;
  }
  this->head = std::move(received);
  co_return std::nullopt;
}

asio::awaitable<boost::system::error_code>
TargetResponseReader::ReadIntoParser() {
  const auto without_memory =
      make_error_code(boost::system::errc::not_enough_memory);
  auto& [socket, buffer, refused] = *this->connection;
  // No memory is held for a target that has not begun to respond.
  if (buffer.size() == 0) {
    co_await socket.async_wait(asio::ip::tcp::socket::wait_read, kAsTuple);
  }
  if (!this->memory.Resize(kMaxHeadBytes)) {
    co_return without_memory;
  }
  auto [error, size] =
      co_await http::async_read_header(socket, buffer, *this->parser, kAsTuple);
  const bool has_long_line = error == http::error::buffer_overflow &&
                             buffer.max_size() < kMaxHeadBytes;
  if (!has_long_line) {
    co_return error;
  }
  if (!this->memory.Resize(2 * std::size_t{kMaxHeadBytes})) {
    co_return without_memory;
  }
  buffer.max_size(kMaxHeadBytes);
  std::tie(error, size) =
      co_await http::async_read_header(socket, buffer, *this->parser, kAsTuple);
  co_return error;
}

bool TargetResponseReader::TakeHead() {
  const std::string* type = FindField(this->head.fields, "Content-Type");
  this->is_event_stream =
      type != nullptr &&
      EqualsIgnoreCase(type->substr(0, kEventStream.size()), kEventStream);
  this->event_stream_end = EventStreamEnd();
  const std::size_t bytes = std::accumulate(
      this->head.fields.begin(), this->head.fields.end(), std::size_t{0},
      [](std::size_t sum, const HeaderField& field) {
        return sum + field.name.size() + field.value.size();
      });
  return this->memory.Resize(kHeadCopies * bytes);
}

asio::awaitable<TargetResponseReader::Piece> TargetResponseReader::ReadPiece(
    Duration timeout) {
  auto& body = this->parser->get().body();
  body.data = this->piece.data();
  body.size = this->piece.size();
  body.more = true;
  const auto result = co_await WithTimeout(
      timeout,
      http::async_read_some(this->connection->socket, this->connection->buffer,
                            *this->parser, kAsTuple));
  if (!result) {
    co_return AttemptOutcome::kTimedOut;
  }
  const boost::system::error_code error = std::get<0>(*result);
  if (IsOversized(error)) {
    co_return AttemptOutcome::kOversizedResponse;
  }
  if (error && error != http::error::need_buffer) {
    co_return AttemptOutcome::kBrokenDuringResponse;
  }
  std::string bytes(this->piece.data(), this->piece.size() - body.size);
  this->event_stream_end.Add(bytes);
  co_return bytes;
}

asio::awaitable<bool> TargetResponseReader::SkipBody(Duration timeout) {
  const Duration time = std::min(timeout, kMaxSkipTime);
  const auto skip = [this, time]() -> asio::awaitable<bool> {
    std::size_t skipped = 0;
    while (!this->IsDone()) {
      const Piece skipped_piece = co_await this->ReadPiece(time);
      const auto* bytes = std::get_if<std::string>(&skipped_piece);
      if (bytes == nullptr || skipped > kMaxSkippedBytes) {
        co_return false;
      }
      skipped += bytes->size();
    }
    co_return true;
  };
  const auto is_complete = co_await WithTimeout(time, skip());
  co_return is_complete.value_or(false);
}

// A body that ends with its connection may lack its first event as well.
bool TargetResponseReader::IsEventMissing() const {
  if (!this->is_event_stream || this->is_head ||
      this->parser->content_length()) {
    return false;
  }
  return this->event_stream_end.IsEmpty()
             ? !this->parser->chunked()
             : !this->event_stream_end.IsAfterEvent();
}

bool TargetResponseReader::IsConnectionReusable() const {
  return this->parser && this->parser->is_done() &&
         this->parser->keep_alive() && this->connection->buffer.size() == 0;
}

BodyFraming TargetResponseReader::Framing() const {
  if (this->parser->is_done()) {
    return BodyFraming::kNone;
  }
  if (this->parser->chunked()) {
    return BodyFraming::kChunked;
  }
  return this->parser->content_length() ? BodyFraming::kLength
                                        : BodyFraming::kUntilClose;
}

std::optional<std::uint64_t> TargetResponseReader::ContentLength() const {
  const auto length = this->parser->content_length();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

}  // namespace cicadaloft
