#ifndef CICADALOFT_FORWARDING_REQUEST_READER_H_
#define CICADALOFT_FORWARDING_REQUEST_READER_H_

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/errc.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/core/memory_budget.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/forwarding/caller_connection.h"
#include "cicadaloft/forwarding/forwarding_settings.h"
#include "cicadaloft/forwarding/header_rules.h"
#include "cicadaloft/forwarding/protocols.h"
#include "cicadaloft/forwarding/with_timeout.h"

namespace cicadaloft {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// @return the error to report for input on which the HTTP parser failed with
/// `error`.
Error ErrorFromHttp(const boost::system::error_code& error);

std::vector<HeaderField> HeaderFieldsOf(const HttpRequest& head);
/// @return the bytes of the target and of the header fields.
std::size_t HeadBytesOf(const HttpRequest& head);

/// @return an error for a head that the parser accepts, but that two HTTP
/// implementations could interpret differently.
std::optional<Error> CheckRequestHead(const HttpRequest& head);

/// Task that reads the requests of one connection.
template <CallerProtocol Protocol>
class RequestReader {
 public:
  RequestReader(std::shared_ptr<CallerConnection> connection,
                CallerLimits limits)
      : connection(std::move(connection)), limits(limits) {}

  boost::asio::awaitable<void> Run() {
    bool is_open = co_await this->WaitForRequest();
    while (is_open) {
      is_open = co_await this->ReadAndSubmit();
      if (is_open) {
        is_open = co_await this->WaitForRequest();
      }
    }
    if (this->is_paused) {
      const auto paused = InputPaused{};
      co_await Send(*this->connection->to_session, paused);
    }
    co_await this->DiscardRemainingInput();
    const auto message = InputEnded{};
    co_await Send(*this->connection->to_session, message);
  }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  static constexpr auto kAsTuple =
      boost::asio::as_tuple(boost::asio::use_awaitable);
  static constexpr std::size_t kReadSizeBytes = 4096;
  static constexpr unsigned kHttp10 = 10;
  /// Of each byte of a request's head: the parser's field, the field for the
  /// target, and the identities of the parts of its prompt.
  static constexpr std::size_t kHeadCopies = 12;

  // @return whether another request may follow.
  boost::asio::awaitable<bool> ReadAndSubmit() {
    this->response_format.emplace(MakeResponseFormat<Protocol>());
    const auto error = co_await this->ReadRequest();
    if (!error) {
      co_return co_await this->SubmitRequest();
    }
    const auto message =
        RequestRejected{.request = this->NextId(),
                        .error = *error,
                        .response_format = *this->response_format};
    co_await Send(*this->connection->to_session, message);
    co_return false;
  }

  // Waiting for a further request has no timeout here: while a request is
  // served, the read detects that the caller disconnects; otherwise the session
  // applies its idle timeout.
  boost::asio::awaitable<bool> WaitForRequest() {
    while (this->buffer.size() == 0 && !this->has_input_ended) {
      this->TakeMessages();
      if (this->is_idle_asked && !this->HasUnreadInput()) {
        this->is_paused = true;
        co_return false;
      }
      this->is_idle_asked = false;
      if (this->submitted_count != 0) {
        co_await this->ReadSome();
      } else if (!co_await WithTimeout(this->limits.read_timeout,
                                       this->ReadSome()) &&
                 this->buffer.size() == 0 && !this->HasUnreadInput()) {
        this->has_input_ended = true;
      }
    }
    if (this->buffer.size() == 0) {
      co_return false;
    }
    const auto message = RequestBegun{};
    co_return co_await Send(*this->connection->to_session, message);
  }

  // Takes what the session has sent, without waiting.
  void TakeMessages() {
    while (this->connection->to_reader.channel().try_receive(
        [this](const auto&, const auto& message) {
          this->Record(message.get());
        })) {
    }
  }

  // @param message null once the session has closed the connection.
  void Record(const ReaderMessage* message) {
    if (message == nullptr) {
      this->has_input_ended = true;
    } else if (const auto* asked = std::get_if<ConfirmIdle>(message)) {
      this->is_idle_asked = asked->served_count == this->submitted_count;
    } else {
      ++this->served_count;
    }
  }

  bool HasUnreadInput() const {
    boost::system::error_code error;
    return this->connection->socket.available(error) != 0 && !error;
  }

  // Reads until input arrives, the input ends or the session asks whether the
  // connection is idle.
  // @return whether input was read.
  boost::asio::awaitable<bool> ReadSome() {
    const auto [error, size] =
        co_await this->connection->socket.async_read_some(
            this->buffer.prepare(kReadSizeBytes), kAsTuple);
    this->buffer.commit(size);
    this->has_input_ended =
        error.failed() && (error != boost::asio::error::operation_aborted ||
                           !this->connection->socket.is_open());
    co_return !error;
  }

  // Reads one request into `parser`.
  // @return an error if the input is invalid or late, else none.
  boost::asio::awaitable<std::optional<Error>> ReadRequest() {
    this->parser.emplace();
    this->memory.emplace(this->limits.memory);
    this->parser->header_limit(
        static_cast<std::uint32_t>(this->limits.max_header_bytes));
    this->parser->body_limit(this->limits.max_body_bytes);
    const auto header =
        co_await WithTimeout(this->limits.read_timeout, this->ReadHeader());
    if (const auto error = this->CheckReadResult(header)) {
      co_return error;
    }
    if (auto error = CheckRequestHead(this->parser->get())) {
      co_return error;
    }
    if (EqualsIgnoreCase(this->parser->get()[boost::beast::http::field::expect],
                         "100-continue") &&
        !this->parser->is_done()) {
      const auto message = ContinueExpected{};
      co_await Send(*this->connection->to_session, message);
    }
    const auto body =
        co_await WithTimeout(this->limits.read_timeout, this->ReadBody());
    co_return this->CheckReadResult(body);
  }

  boost::asio::awaitable<boost::system::error_code> ReadHeader() {
    const auto without_memory =
        make_error_code(boost::system::errc::not_enough_memory);
    if (!this->memory->Resize(this->limits.max_header_bytes)) {
      co_return without_memory;
    }
    this->buffer.max_size(std::max(kReadSizeBytes, this->buffer.size()));
    auto [error, size] = co_await boost::beast::http::async_read_header(
        this->connection->socket, this->buffer, *this->parser, kAsTuple);
    if (error != boost::beast::http::error::buffer_overflow) {
      co_return error;
    }
    // A line is longer than the buffer.
    if (!this->memory->Resize(2 * this->limits.max_header_bytes)) {
      co_return without_memory;
    }
    this->buffer.max_size(this->limits.max_header_bytes + kReadSizeBytes);
    std::tie(error, size) = co_await boost::beast::http::async_read_header(
        this->connection->socket, this->buffer, *this->parser, kAsTuple);
    co_return error;
  }

  boost::asio::awaitable<boost::system::error_code> ReadBody() {
    const std::size_t head_bytes = HeadBytesOf(this->parser->get());
    boost::system::error_code error;
    while (!error) {
      const std::size_t held =
          kHeadCopies * head_bytes + this->parser->get().body().size();
      if (!this->memory->Resize(held)) {
        co_return make_error_code(boost::system::errc::not_enough_memory);
      }
      if (this->parser->is_done()) {
        break;
      }
      std::tie(error, std::ignore) =
          co_await boost::beast::http::async_read_some(
              this->connection->socket, this->buffer, *this->parser, kAsTuple);
    }
    co_return error;
  }

  std::optional<Error> CheckReadResult(
      const std::optional<boost::system::error_code>& result) {
    if (!result) {
      return MakeError(ErrorKind::kSlowCaller,
                       "request: incomplete after the read timeout");
    }
    const boost::system::error_code error = *result;
    if (!error) {
      return std::nullopt;
    }
    this->has_input_ended =
        error == boost::beast::http::error::partial_message ||
        error == boost::beast::http::error::end_of_stream ||
        error.category() == boost::system::system_category() ||
        error.category() == boost::asio::error::get_misc_category();
    return ErrorFromHttp(error);
  }

  // @return whether another request may follow.
  boost::asio::awaitable<bool> SubmitRequest() {
    auto& request = this->parser->get();
    this->response_format.emplace(ResponseFormat{
        .keep_alive = request.keep_alive(),
        .is_http_1_0 = request.version() == kHttp10,
        .is_head = request.method() == boost::beast::http::verb::head,
        .has_fractional_retry_after = Protocol::kHasFractionalRetryAfter,
        .has_run_state = Protocol::kHasRunState});
    const RequestId id = this->NextId();
    Result<CallerRequest> parsed = Protocol::ParseRequest(
        id, RawRequest{.method = std::string(request.method_string()),
                       .path = std::string(request.target()),
                       .fields = HeaderFieldsOf(this->parser->get()),
                       .body = std::move(request.body())});
    bool is_sent = false;
    if (IsOk(parsed)) {
      const auto message =
          RequestRead{.request = this->ShareRequest(std::move(parsed)),
                      .response_format = *this->response_format};
      is_sent = co_await Send(*this->connection->to_session, message);
    } else {
      this->ReleaseRequest();
      const auto message =
          RequestRejected{.request = id,
                          .error = ErrorOf(parsed),
                          .response_format = *this->response_format};
      is_sent = co_await Send(*this->connection->to_session, message);
    }
    if (!is_sent || !this->response_format->keep_alive) {
      co_return false;
    }
    ++this->submitted_count;
    co_return co_await this->WaitUntilServed();
  }

  // The memory is held as long as the request.
  std::shared_ptr<const CallerRequest> ShareRequest(
      Result<CallerRequest> parsed) {
    struct HeldRequest {
      CallerRequest request;
      MemoryHold memory;
    };
    const auto held = std::make_shared<HeldRequest>(
        HeldRequest{.request = TakeValue(std::move(parsed)),
                    .memory = std::move(*this->memory)});
    this->ReleaseRequest();
    return std::shared_ptr<const CallerRequest>(held, &held->request);
  }

  void ReleaseRequest() {
    this->memory.reset();
    this->parser.reset();
    this->buffer.shrink_to_fit();
  }

  // Waits until at most one submitted request is not yet served: of pipelined
  // requests, only one is read ahead.
  boost::asio::awaitable<bool> WaitUntilServed() {
    while (!this->has_input_ended &&
           this->served_count + 1 < this->submitted_count) {
      const auto message = co_await Receive(this->connection->to_reader);
      this->Record(message.get());
    }
    co_return !this->has_input_ended;
  }

  // Reads and drops the remaining input: closing a socket with unread input
  // would discard the response. After the end of the input has been read once,
  // another read would wait forever.
  boost::asio::awaitable<void> DiscardRemainingInput() {
    std::array<char, kReadSizeBytes> ignored{};
    boost::system::error_code error;
    while (!error && !this->has_input_ended) {
      std::tie(error, std::ignore) =
          co_await this->connection->socket.async_read_some(
              boost::asio::buffer(ignored), kAsTuple);
    }
  }

  RequestId NextId() {
    ++this->last_id;
    return RequestId(this->connection->id_prefix + "-" +
                     std::to_string(this->last_id));
  }

  const std::shared_ptr<CallerConnection> connection;
  const CallerLimits limits;
  /// Holds a head, or the framing within a chunked body.
  boost::beast::flat_buffer buffer{kReadSizeBytes};
  std::optional<Parser> parser;
  std::optional<MemoryHold> memory;  // Of the request that is being read.
  std::optional<ResponseFormat> response_format;
  bool has_input_ended = false;  // Nothing more can be read.
  bool is_idle_asked = false;    // The session waits for an InputPaused.
  bool is_paused = false;        // The session was told that nothing arrived.
  std::uint64_t last_id = 0;
  std::uint64_t submitted_count = 0;
  std::uint64_t served_count = 0;
};

/// Reads the connection's requests until its input ends.
template <CallerProtocol Protocol>
boost::asio::awaitable<void> ReadRequests(
    std::shared_ptr<CallerConnection> connection,
    CallerLimits limits) {
  const auto reader =
      std::make_unique<RequestReader<Protocol>>(std::move(connection), limits);
  co_await reader->Run();
}

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_REQUEST_READER_H_
