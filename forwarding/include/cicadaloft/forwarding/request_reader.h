#ifndef CICADALOFT_FORWARDING_REQUEST_READER_H_
#define CICADALOFT_FORWARDING_REQUEST_READER_H_

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
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "cicadaloft/core/result.h"
#include "cicadaloft/forwarding/caller_connection.h"
#include "cicadaloft/forwarding/forwarding_settings.h"
#include "cicadaloft/forwarding/header_rules.h"
#include "cicadaloft/forwarding/protocols.h"
#include "cicadaloft/forwarding/with_timeout.h"

namespace cicadaloft {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// @return what is wrong with input that gave this error.
Error HttpError(const boost::system::error_code& error);

std::vector<HeaderField> FieldsOf(const HttpRequest& head);

/// @return an error for what the parser lets pass, but two readers could take
/// differently.
std::optional<Error> CheckFraming(const HttpRequest& head);

/// Task that reads the requests of one connection.
template <CallerProtocol Wire>
class RequestReader {
 public:
  RequestReader(std::shared_ptr<CallerConnection> connection,
                CallerLimits limits)
      : connection(std::move(connection)), limits(limits) {}

  boost::asio::awaitable<void> Run() {
    bool goes_on = co_await this->WaitForRequest();
    while (goes_on) {
      goes_on = co_await this->TakeOne();
      if (goes_on) {
        goes_on = co_await this->WaitForRequest();
      }
    }
    co_await this->Drain();
    const auto message = InputEnded{};
    co_await Send(*this->connection->to_session, message);
  }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  static constexpr auto kAsTuple =
      boost::asio::as_tuple(boost::asio::use_awaitable);
  static constexpr std::size_t kReadBytes = 4096;
  static constexpr unsigned kHttp10 = 10;

  // @return whether another request may follow.
  boost::asio::awaitable<bool> TakeOne() {
    this->framing.emplace();
    const auto error = co_await this->ReadOne();
    if (!error) {
      co_return co_await this->HandOver();
    }
    const auto message = RequestRejected{
        .request = this->NextId(), .error = *error, .framing = *this->framing};
    co_await Send(*this->connection->to_session, message);
    co_return false;
  }

  // The wait between requests has no limit here: while a request is served it
  // watches for the caller's leaving, and else the session ends it.
  boost::asio::awaitable<bool> WaitForRequest() {
    bool has_input = this->buffer.size() != 0;
    if (!has_input && this->sent != 0) {
      has_input = co_await this->ReadSome();
    } else if (!has_input) {
      const auto read =
          co_await WithTimeout(this->limits.read_timeout, this->ReadSome());
      has_input = read.value_or(false);
    }
    if (!has_input) {
      co_return false;
    }
    const auto message = RequestBegun{};
    co_return co_await Send(*this->connection->to_session, message);
  }

  // @return whether there is input.
  boost::asio::awaitable<bool> ReadSome() {
    const auto [error, size] =
        co_await this->connection->socket.async_read_some(
            this->buffer.prepare(kReadBytes), kAsTuple);
    this->buffer.commit(size);
    this->has_ended = error.failed();
    co_return !error;
  }

  // Reads into `parser`.
  // @return what is wrong with the input, or none.
  boost::asio::awaitable<std::optional<Error>> ReadOne() {
    this->parser.emplace();
    this->parser->header_limit(
        static_cast<std::uint32_t>(this->limits.max_header_bytes));
    this->parser->body_limit(this->limits.max_body_bytes);
    const auto header = co_await WithTimeout(
        this->limits.read_timeout,
        boost::beast::http::async_read_header(
            this->connection->socket, this->buffer, *this->parser, kAsTuple));
    if (const auto error = this->Check(header)) {
      co_return error;
    }
    if (auto error = CheckFraming(this->parser->get())) {
      co_return error;
    }
    if (EqualsIgnoreCase(this->parser->get()[boost::beast::http::field::expect],
                         "100-continue") &&
        !this->parser->is_done()) {
      const auto message = ContinueExpected{};
      co_await Send(*this->connection->to_session, message);
    }
    const auto body = co_await WithTimeout(
        this->limits.read_timeout,
        boost::beast::http::async_read(this->connection->socket, this->buffer,
                                       *this->parser, kAsTuple));
    co_return this->Check(body);
  }

  std::optional<Error> Check(
      const std::optional<std::tuple<boost::system::error_code, std::size_t>>&
          result) {
    if (!result) {
      return MakeError(ErrorKind::kSlowCaller, "request: not whole in time");
    }
    const boost::system::error_code error = std::get<0>(*result);
    if (!error) {
      return std::nullopt;
    }
    this->has_ended =
        error == boost::beast::http::error::partial_message ||
        error == boost::beast::http::error::end_of_stream ||
        error.category() == boost::system::system_category() ||
        error.category() == boost::asio::error::get_misc_category();
    return HttpError(error);
  }

  // @return whether another request may follow.
  boost::asio::awaitable<bool> HandOver() {
    auto& request = this->parser->get();
    this->framing.emplace(ResponseFormat{
        .keep_alive = request.keep_alive(),
        .is_http_1_0 = request.version() == kHttp10,
        .is_head = request.method() == boost::beast::http::verb::head,
        .has_fractional_retry_after = Wire::kHasFractionalRetryAfter});
    const RequestId id = this->NextId();
    Result<CallerRequest> call = Wire::ParseRequest(
        id, RawRequest{.method = std::string(request.method_string()),
                       .path = std::string(request.target()),
                       .fields = FieldsOf(this->parser->get()),
                       .body = std::move(request.body())});
    bool taken = false;
    if (IsOk(call)) {
      const auto message = RequestRead{
          .request =
              std::make_shared<const CallerRequest>(TakeValue(std::move(call))),
          .framing = *this->framing};
      taken = co_await Send(*this->connection->to_session, message);
    } else {
      const auto message = RequestRejected{
          .request = id, .error = ErrorOf(call), .framing = *this->framing};
      taken = co_await Send(*this->connection->to_session, message);
    }
    if (!taken || !this->framing->keep_alive) {
      co_return false;
    }
    ++this->sent;
    co_return co_await this->WaitForTurn();
  }

  // Keeps a pipelining caller from being read further ahead than one request.
  boost::asio::awaitable<bool> WaitForTurn() {
    bool is_open = true;
    while (is_open && this->served + 1 < this->sent) {
      const auto served = co_await Receive(this->connection->to_reader);
      is_open = served != nullptr;
      ++this->served;
    }
    co_return is_open;
  }

  // A connection closed with input unread would take the answer with it. After
  // its end has been read once, a read would wait for ever.
  boost::asio::awaitable<void> Drain() {
    std::array<char, kReadBytes> ignored{};
    boost::system::error_code error;
    while (!error && !this->has_ended) {
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
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  std::optional<ResponseFormat> framing;
  bool has_ended = false;  // Nothing more can be read.
  std::uint64_t last_id = 0;
  std::uint64_t sent = 0;
  std::uint64_t served = 0;
};

/// Reads the connection's requests until it ends.
template <CallerProtocol Wire>
boost::asio::awaitable<void> ReadRequests(
    std::shared_ptr<CallerConnection> connection,
    CallerLimits limits) {
  const auto reader =
      std::make_unique<RequestReader<Wire>>(std::move(connection), limits);
  co_await reader->Run();
}

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_REQUEST_READER_H_
