#include "request_reader.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "call_reader.h"
#include "deadline.h"
#include "header_rules.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Parser = http::request_parser<http::string_body>;

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadBytes = 4096;
constexpr unsigned kHttp10 = 10;
constexpr unsigned kHttp11 = 11;

Error ErrorFrom(const error_code& error) {
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return Fail(ErrorKind::kHeaderTooLarge, "header: over the limit");
  }
  if (error == http::error::body_limit) {
    return Fail(ErrorKind::kBodyTooLarge, "body: over the limit");
  }
  return Fail(ErrorKind::kMalformedRequest, "HTTP: " + error.message());
}

std::vector<HeaderField> FieldsOf(const Parser& parser) {
  std::vector<HeaderField> fields;
  for (const auto& field : parser.get()) {
    fields.push_back(HeaderField{.name = std::string(field.name_string()),
                                 .value = std::string(field.value())});
  }
  return fields;
}

// What the parser lets pass, but two readers could take differently.
std::optional<Error> CheckFraming(const Parser& parser) {
  const auto& request = parser.get();
  const auto fail = [](std::string message) {
    return Fail(ErrorKind::kMalformedRequest, std::move(message));
  };
  if (request.version() != kHttp10 && request.version() != kHttp11) {
    return fail("HTTP version: expected 1.0 or 1.1");
  }
  if (request.version() == kHttp11 && request.count(http::field::host) != 1) {
    return fail("Host: expected one field");
  }
  const auto coding = request.find(http::field::transfer_encoding);
  if (coding != request.end() && !IsSameName(coding->value(), "chunked")) {
    return fail("Transfer-Encoding: expected chunked");
  }
  return std::nullopt;
}

class RequestReader {
 public:
  RequestReader(std::shared_ptr<CallerConnection> connection,
                CallerLimits limits)
      : connection(std::move(connection)), limits(limits) {}

  asio::awaitable<void> Run() {
    bool goes_on = co_await this->WaitForRequest();
    while (goes_on) {
      goes_on = co_await this->TakeOne();
      if (goes_on) {
        goes_on = co_await this->WaitForRequest();
      }
    }
    co_await this->Drain();
    const auto message = CallerLeft{};
    co_await Send(*this->connection->to_session, message);
  }

 private:
  // @return whether another request may follow.
  asio::awaitable<bool> TakeOne() {
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
  asio::awaitable<bool> WaitForRequest() {
    bool has_input = this->buffer.size() != 0;
    if (!has_input && this->sent != 0) {
      has_input = co_await this->ReadSome();
    } else if (!has_input) {
      const auto read =
          co_await Within(this->limits.read_time, this->ReadSome());
      has_input = read.value_or(false);
    }
    if (!has_input) {
      co_return false;
    }
    const auto message = RequestBegun{};
    co_return co_await Send(*this->connection->to_session, message);
  }

  // @return whether there is input.
  asio::awaitable<bool> ReadSome() {
    const auto [error, size] =
        co_await this->connection->socket.async_read_some(
            this->buffer.prepare(kReadBytes), kAsTuple);
    this->buffer.commit(size);
    this->has_ended = error.failed();
    co_return !error;
  }

  // Reads into `parser`.
  // @return what is wrong with the input, or none.
  asio::awaitable<std::optional<Error>> ReadOne() {
    this->parser.emplace();
    this->parser->header_limit(
        static_cast<std::uint32_t>(this->limits.header_bytes));
    this->parser->body_limit(this->limits.body_bytes);
    const auto header = co_await Within(
        this->limits.read_time,
        http::async_read_header(this->connection->socket, this->buffer,
                                *this->parser, kAsTuple));
    if (const auto error = this->Check(header)) {
      co_return error;
    }
    if (auto error = CheckFraming(*this->parser)) {
      co_return error;
    }
    if (IsSameName(this->parser->get()[http::field::expect], "100-continue") &&
        !this->parser->is_done()) {
      const auto message = ContinueAwaited{};
      co_await Send(*this->connection->to_session, message);
    }
    const auto body =
        co_await Within(this->limits.read_time,
                        http::async_read(this->connection->socket, this->buffer,
                                         *this->parser, kAsTuple));
    co_return this->Check(body);
  }

  std::optional<Error> Check(
      const std::optional<std::tuple<error_code, std::size_t>>& result) {
    if (!result) {
      return Fail(ErrorKind::kSlowCaller, "request: not whole in time");
    }
    const error_code error = std::get<0>(*result);
    if (!error) {
      return std::nullopt;
    }
    this->has_ended = error == http::error::partial_message ||
                      error == http::error::end_of_stream ||
                      error.category() == boost::system::system_category() ||
                      error.category() == asio::error::get_misc_category();
    return ErrorFrom(error);
  }

  // @return whether another request may follow.
  asio::awaitable<bool> HandOver() {
    auto& request = this->parser->get();
    this->framing.emplace(
        CallerFraming{.keep_alive = request.keep_alive(),
                      .is_http_1_0 = request.version() == kHttp10,
                      .is_head = request.method() == http::verb::head});
    const RequestId id = this->NextId();
    Result<CallerRequest> call =
        ReadCall(id, RawRequest{.method = std::string(request.method_string()),
                                .path = std::string(request.target()),
                                .fields = FieldsOf(*this->parser),
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
  asio::awaitable<bool> WaitForTurn() {
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
  asio::awaitable<void> Drain() {
    std::array<char, kReadBytes> ignored{};
    error_code error;
    while (!error && !this->has_ended) {
      std::tie(error, std::ignore) =
          co_await this->connection->socket.async_read_some(
              asio::buffer(ignored), kAsTuple);
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
  std::optional<CallerFraming> framing;
  bool has_ended = false;  // Nothing more can be read.
  std::uint64_t last_id = 0;
  std::uint64_t sent = 0;
  std::uint64_t served = 0;
};

}  // namespace

asio::awaitable<void> ReadRequests(std::shared_ptr<CallerConnection> connection,
                                   CallerLimits limits) {
  const auto reader =
      std::make_unique<RequestReader>(std::move(connection), limits);
  co_await reader->Run();
}

}  // namespace cicadaloft
