#include "target_exchange.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <cstddef>
#include <limits>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <variant>

#include "deadline.h"
#include "header_rules.h"
#include "target_request.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using Parser = http::response_parser<http::buffer_body>;
using SteadyClock = std::chrono::steady_clock;
template <typename T>
using Failure = std::variant<T, AttemptOutcome>;

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t kHeaderLimit = 64 * 1024;
constexpr std::size_t kPieceBytes = std::size_t{16} * 1024;
// An engine's refusal is shorter.
constexpr std::size_t kRefusalBytes = 4096;

class TargetExchange {
 public:
  TargetExchange(std::shared_ptr<const ExchangeOrder> order,
                 TargetLimits limits)
      : order(std::move(order)), limits(limits) {}

  asio::awaitable<void> Run() {
    using asio::experimental::awaitable_operators::operator||;
    co_await (this->Attempt() || Receive(*this->order->cancel));
    co_await this->Report(this->outcome.value_or(this->BrokenOutcome()));
  }

 private:
  // Never throws, and leaves its result in `outcome`: a cancellation may come
  // together with the end.
  asio::awaitable<void> Attempt() {
    try {
      this->outcome = co_await this->Exchange();
    } catch (const boost::system::system_error&) {
      // Cancelled.
    }
  }

  asio::awaitable<AttemptOutcome> Exchange() {
    if (!co_await this->Connect()) {
      co_return AttemptOutcome::kNotSent;
    }
    if (const auto failure = co_await this->WriteRequest()) {
      co_return *failure;
    }
    if (const auto failure = co_await this->ReadHead()) {
      co_return *failure;
    }
    if (this->MayBeRefusal()) {
      if (const auto ended = co_await this->ReadRefusal()) {
        co_return *ended;
      }
    }
    co_return co_await this->PassAnswer();
  }

  asio::awaitable<bool> Connect() {
    if (this->order->kept != nullptr) {
      this->connection = this->order->kept;
      co_return true;
    }
    const auto endpoint = ParseEndpoint(this->order->dispatch.address);
    if (!endpoint) {
      co_return false;
    }
    this->connection =
        std::make_shared<TargetConnection>(co_await asio::this_coro::executor);
    tcp::socket& socket = this->connection->socket;
    const Duration limit = std::min(this->limits.connect_time, this->Left());
    const auto result =
        co_await Within(limit, socket.async_connect(*endpoint, kAsTuple));
    if (!result || std::get<0>(*result)) {
      co_return false;
    }
    error_code ignored;
    std::ignore = socket.set_option(tcp::no_delay(true), ignored);
    co_return true;
  }

  asio::awaitable<std::optional<AttemptOutcome>> WriteRequest() {
    const CallerRequest& request = *this->order->request;
    const std::string header =
        FormatTargetHeader(request, this->order->dispatch.address);
    const auto result =
        co_await Within(this->Left(), this->WriteAll(header, request.body));
    if (result && *result) {
      co_return std::nullopt;
    }
    if (this->sent == 0) {
      co_return AttemptOutcome::kNotSent;
    }
    co_return result ? AttemptOutcome::kDiedUnstarted
                     : AttemptOutcome::kTimedOut;
  }

  // Counts each byte that the system has taken, so that "not sent" is exact.
  asio::awaitable<bool> WriteAll(const std::string& header,
                                 const std::string& body) {
    std::array<asio::const_buffer, 2> parts = {asio::buffer(header),
                                               asio::buffer(body)};
    while (asio::buffer_size(parts) != 0) {
      const auto [error, size] =
          co_await this->connection->socket.async_write_some(parts, kAsTuple);
      this->sent += size;
      if (error) {
        co_return false;
      }
      const std::size_t of_first = std::min(size, parts[0].size());
      parts[0] += of_first;
      parts[1] += size - of_first;
    }
    co_return true;
  }

  // Answers of status 1xx come before the one that counts.
  asio::awaitable<std::optional<AttemptOutcome>> ReadHead() {
    do {
      this->parser.emplace();
      this->parser->header_limit(kHeaderLimit);
      this->parser->body_limit(boost::none);
      this->parser->skip(this->order->request->method == "HEAD");
      const auto result = co_await Within(
          this->Left(), http::async_read_header(this->connection->socket,
                                                this->connection->buffer,
                                                *this->parser, kAsTuple));
      if (!result) {
        co_return AttemptOutcome::kTimedOut;
      }
      const bool switches =
          this->parser->get().result() == http::status::switching_protocols;
      if (std::get<0>(*result) || switches) {
        co_return AttemptOutcome::kDiedUnstarted;
      }
    } while (http::to_status_class(this->parser->get().result()) ==
             http::status_class::informational);
    this->status = this->parser->get().result_int();
    co_return std::nullopt;
  }

  bool MayBeRefusal() const {
    const bool is_model =
        std::holds_alternative<ModelCall>(this->order->request->arrival.call);
    return is_model && (this->status == 404 || this->status == 429);
  }

  asio::awaitable<std::optional<AttemptOutcome>> ReadRefusal() {
    while (!this->parser->is_done() && this->held.size() < kRefusalBytes) {
      const auto piece = co_await this->ReadPiece(this->Left());
      if (const auto* failure = std::get_if<AttemptOutcome>(&piece)) {
        co_return *failure == AttemptOutcome::kDiedStarted
            ? AttemptOutcome::kDiedUnstarted
            : *failure;
      }
      this->held += std::get<std::string>(piece);
    }
    if (!this->parser->is_done()) {
      co_return std::nullopt;
    }
    co_return RefusalIn(static_cast<int>(this->status), this->held);
  }

  asio::awaitable<AttemptOutcome> PassAnswer() {
    const Dispatch& dispatch = this->order->dispatch;
    const auto message = EntryEvent(AttemptStarted{
        .request = dispatch.request, .attempt = dispatch.attempt});
    co_await Send(*this->order->node, message);
    this->started = true;
    bool taken = co_await Send(*this->order->session, this->Head());
    if (taken && !this->held.empty()) {
      taken = co_await this->PassPiece(std::move(this->held));
    }
    // Where the caller has left, the run's end still counts: the node cancels
    // the attempt unless the run may not be cut.
    while (!this->parser->is_done()) {
      auto piece = co_await this->ReadPiece(this->limits.answer_stall);
      if (const auto* failure = std::get_if<AttemptOutcome>(&piece)) {
        co_return *failure;
      }
      if (taken) {
        taken = co_await this->PassPiece(std::move(std::get<0>(piece)));
      }
    }
    const auto end =
        AnswerEnd{.request = dispatch.request, .attempt = dispatch.attempt};
    co_await Send(*this->order->session, end);
    co_return AttemptOutcome::kCompleted;
  }

  asio::awaitable<bool> PassPiece(std::string bytes) {
    if (bytes.empty()) {
      co_return true;
    }
    const Dispatch& dispatch = this->order->dispatch;
    const auto message = AnswerBody{.request = dispatch.request,
                                    .attempt = dispatch.attempt,
                                    .bytes = std::move(bytes)};
    co_return co_await Send(*this->order->session, message);
  }

  // Yields what one read brought: nothing where it brought framing alone.
  asio::awaitable<Failure<std::string>> ReadPiece(Duration limit) {
    auto& body = this->parser->get().body();
    body.data = this->piece.data();
    body.size = this->piece.size();
    body.more = true;
    const auto result =
        co_await Within(limit, http::async_read_some(this->connection->socket,
                                                     this->connection->buffer,
                                                     *this->parser, kAsTuple));
    if (!result) {
      co_return AttemptOutcome::kTimedOut;
    }
    const error_code error = std::get<0>(*result);
    if (error && error != http::error::need_buffer) {
      co_return AttemptOutcome::kDiedStarted;
    }
    co_return std::string(this->piece.data(), this->piece.size() - body.size);
  }

  AnswerHead Head() const {
    const auto& answer = this->parser->get();
    std::vector<HeaderField> fields;
    for (const auto& field : answer) {
      fields.push_back(HeaderField{.name = std::string(field.name_string()),
                                   .value = std::string(field.value())});
    }
    return AnswerHead{
        .request = this->order->dispatch.request,
        .attempt = this->order->dispatch.attempt,
        .status = static_cast<int>(this->status),
        .reason = std::string(answer.reason()),
        .fields = FieldsForCaller(fields),
        .framing = this->Framing(),
        .length = this->StatedLength(),
        .queue_time = this->order->queue_time,
        .target_time = std::chrono::duration_cast<Duration>(SteadyClock::now() -
                                                            this->begun),
    };
  }

  BodyFraming Framing() const {
    if (this->parser->is_done() && this->held.empty()) {
      return BodyFraming::kNone;
    }
    if (this->parser->chunked()) {
      return BodyFraming::kChunked;
    }
    return this->parser->content_length() ? BodyFraming::kLength
                                          : BodyFraming::kUntilClose;
  }

  std::optional<std::uint64_t> StatedLength() const {
    const auto length = this->parser->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
  }

  AttemptOutcome BrokenOutcome() const {
    if (this->started) {
      return AttemptOutcome::kDiedStarted;
    }
    return this->sent == 0 ? AttemptOutcome::kNotSent
                           : AttemptOutcome::kDiedUnstarted;
  }

  // A connection serves again only if nothing on it can be mistaken for the
  // next request's answer.
  bool IsReusable(AttemptOutcome ended) const {
    const bool is_whole = ended == AttemptOutcome::kCompleted ||
                          ended == AttemptOutcome::kRefused ||
                          ended == AttemptOutcome::kNotLoaded;
    return is_whole && this->parser->is_done() && this->parser->keep_alive() &&
           this->connection->buffer.size() == 0;
  }

  asio::awaitable<void> Report(AttemptOutcome ended) {
    const Dispatch& dispatch = this->order->dispatch;
    if (this->started && ended != AttemptOutcome::kCompleted) {
      const auto message = AnswerBroken{.request = dispatch.request,
                                        .attempt = dispatch.attempt};
      co_await Send(*this->order->session, message);
    }
    if (this->IsReusable(ended)) {
      const auto message = ConnectionFreed{.address = dispatch.address,
                                           .connection = this->connection};
      co_await Send(*this->order->node, message);
    } else if (this->connection != nullptr) {
      error_code ignored;
      std::ignore = this->connection->socket.close(ignored);
    }
    const auto message =
        EntryEvent(AttemptEnded{.request = dispatch.request,
                                .attempt = dispatch.attempt,
                                .outcome = ended,
                                .http_status = static_cast<int>(this->status)});
    co_await Send(*this->order->node, message);
  }

  Duration Left() const {
    const auto passed =
        std::chrono::duration_cast<Duration>(SteadyClock::now() - this->begun);
    return std::max(Duration::zero(),
                    this->order->dispatch.start_within - passed);
  }

  const std::shared_ptr<const ExchangeOrder> order;
  const TargetLimits limits;
  const SteadyClock::time_point begun = SteadyClock::now();
  std::shared_ptr<TargetConnection> connection;
  std::optional<Parser> parser;
  std::array<char, kPieceBytes> piece{};
  std::string held;  // Of an answer that may turn out to be a refusal.
  std::size_t sent = 0;
  unsigned status = 0;
  bool started = false;
  std::optional<AttemptOutcome> outcome;
};

}  // namespace

asio::awaitable<void> RunExchange(std::shared_ptr<const ExchangeOrder> order,
                                  TargetLimits limits) {
  const auto exchange =
      std::make_unique<TargetExchange>(std::move(order), limits);
  co_await exchange->Run();
}

}  // namespace cicadaloft
