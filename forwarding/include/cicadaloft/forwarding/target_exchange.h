#ifndef CICADALOFT_FORWARDING_TARGET_EXCHANGE_H_
#define CICADALOFT_FORWARDING_TARGET_EXCHANGE_H_

#include <algorithm>
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/forwarding/deadline.h"
#include "cicadaloft/forwarding/exchange_order.h"
#include "cicadaloft/forwarding/forwarding_settings.h"
#include "cicadaloft/forwarding/header_rules.h"
#include "cicadaloft/forwarding/node_messages.h"
#include "cicadaloft/forwarding/target_connection.h"
#include "cicadaloft/forwarding/wires.h"
#include "cicadaloft/settings/socket_probes.h"

namespace cicadaloft {

/// Task of one attempt: sends the request, passes the answer on as it comes,
/// and tells the node exactly once how the attempt ended.
template <TargetWire Wire>
class TargetExchange {
 public:
  TargetExchange(std::shared_ptr<const ExchangeOrder> order,
                 TargetLimits limits)
      : order(std::move(order)), limits(limits) {}

  boost::asio::awaitable<void> Run() {
    using boost::asio::experimental::awaitable_operators::operator||;
    const auto first =
        co_await (this->Attempt() || Receive(*this->order->cancel));
    // What a cancelled attempt makes of its broken connection says nothing of
    // the target.
    const bool is_cancelled =
        first.index() != 0 && this->outcome != AttemptOutcome::kCompleted;
    co_await this->Report(
        is_cancelled ? AttemptOutcome::kCancelled
                     : this->outcome.value_or(AttemptOutcome::kCancelled));
  }

 private:
  using Tcp = boost::asio::ip::tcp;
  using ErrorCode = boost::system::error_code;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;
  using SteadyClock = std::chrono::steady_clock;
  template <typename T>
  using Failure = std::variant<T, AttemptOutcome>;

  static constexpr auto kAsTuple =
      boost::asio::as_tuple(boost::asio::use_awaitable);
  static constexpr std::uint32_t kHeaderLimit = 64 * 1024;
  static constexpr std::size_t kPieceBytes = std::size_t{16} * 1024;
  /// Late answers that are skipped before the one that counts.
  static constexpr int kMostStaleAnswers = 3;

  // Never throws, and leaves its result in `outcome`: a cancellation may come
  // together with the end.
  boost::asio::awaitable<bool> Attempt() {
    try {
      this->outcome = co_await this->Exchange();
    } catch (const boost::system::system_error&) {
      // Cancelled.
    }
    co_return true;
  }

  boost::asio::awaitable<AttemptOutcome> Exchange() {
    if (!co_await this->Connect()) {
      co_return AttemptOutcome::kNotSent;
    }
    if (const auto failure = co_await this->WriteRequest()) {
      co_return *failure;
    }
    if (const auto failure = co_await this->ReadOwnHead()) {
      co_return *failure;
    }
    if (const auto refusal = this->Refusal()) {
      co_return co_await this->SkipBody(*refusal);
    }
    constexpr unsigned kServerError = 500;
    if (this->order->dispatch.holds_failure && this->status >= kServerError) {
      co_return co_await this->SkipBody(AttemptOutcome::kFailedAnswer);
    }
    // A success that the target does not vouch for is none.
    constexpr unsigned kRedirection = 300;
    if (this->status < kRedirection && !this->facts.is_signed) {
      co_return AttemptOutcome::kDiedUnstarted;
    }
    co_return co_await this->PassAnswer();
  }

  boost::asio::awaitable<bool> Connect() {
    if (this->order->kept != nullptr) {
      this->connection = this->order->kept;
      co_return true;
    }
    const auto endpoint = ParseEndpoint(this->order->dispatch.address);
    if (!endpoint) {
      co_return false;
    }
    this->connection = std::make_shared<TargetConnection>(
        co_await boost::asio::this_coro::executor);
    Tcp::socket& socket = this->connection->socket;
    const Duration limit = std::min(this->limits.connect_time, this->Left());
    const auto result =
        co_await Within(limit, socket.async_connect(*endpoint, kAsTuple));
    if (!result || std::get<0>(*result)) {
      co_return false;
    }
    SetProbes(socket);
    co_return true;
  }

  boost::asio::awaitable<std::optional<AttemptOutcome>> WriteRequest() {
    const CallerRequest& request = *this->order->request;
    const std::string header =
        Wire::FormatHeader(request, this->order->dispatch, this->Left());
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
  boost::asio::awaitable<bool> WriteAll(const std::string& header,
                                        const std::string& body) {
    std::array<boost::asio::const_buffer, 2> parts = {
        boost::asio::buffer(header), boost::asio::buffer(body)};
    while (boost::asio::buffer_size(parts) != 0) {
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

  // Skips answers to earlier requests on this connection.
  boost::asio::awaitable<std::optional<AttemptOutcome>> ReadOwnHead() {
    for (int stale = 0; stale <= kMostStaleAnswers; ++stale) {
      if (const auto failure = co_await this->ReadHead()) {
        co_return failure;
      }
      if (this->facts.is_ours) {
        co_return std::nullopt;
      }
      while (!this->parser->is_done()) {
        const auto piece = co_await this->ReadPiece(this->Left());
        if (std::holds_alternative<AttemptOutcome>(piece)) {
          co_return AttemptOutcome::kDiedUnstarted;
        }
      }
    }
    co_return AttemptOutcome::kDiedUnstarted;
  }

  // Answers of status 1xx come before the one that counts.
  boost::asio::awaitable<std::optional<AttemptOutcome>> ReadHead() {
    namespace http = boost::beast::http;
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
    this->fields.clear();
    for (const auto& field : this->parser->get()) {
      this->fields.push_back(
          HeaderField{.name = std::string(field.name_string()),
                      .value = std::string(field.value())});
    }
    this->facts = Wire::ReadFacts(*this->order->request, this->order->dispatch,
                                  static_cast<int>(this->status), this->fields);
    co_return std::nullopt;
  }

  std::optional<AttemptOutcome> Refusal() const {
    if (this->facts.is_other_instance) {
      return AttemptOutcome::kOtherInstance;
    }
    if (this->facts.is_misdirected) {
      return AttemptOutcome::kNotLoaded;
    }
    if (this->facts.was_not_run) {
      return AttemptOutcome::kShed;
    }
    return std::nullopt;
  }

  // Reads a body that nobody gets, so that the connection can be kept.
  boost::asio::awaitable<AttemptOutcome> SkipBody(AttemptOutcome ended) {
    while (!this->parser->is_done()) {
      const auto piece = co_await this->ReadPiece(this->Left());
      if (std::holds_alternative<AttemptOutcome>(piece)) {
        co_return ended;
      }
    }
    co_return ended;
  }

  boost::asio::awaitable<AttemptOutcome> PassAnswer() {
    const Dispatch& dispatch = this->order->dispatch;
    const auto message = EntryEvent(AttemptStarted{.request = dispatch.request,
                                                   .attempt = dispatch.attempt,
                                                   .load = this->facts.load});
    co_await Send(*this->order->node, message);
    this->started = true;
    bool taken = co_await Send(*this->order->session, this->Head());
    while (!this->parser->is_done()) {
      auto piece = co_await this->ReadPiece(this->Left());
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

  boost::asio::awaitable<bool> PassPiece(std::string bytes) {
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
  boost::asio::awaitable<Failure<std::string>> ReadPiece(Duration limit) {
    namespace http = boost::beast::http;
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
    const ErrorCode error = std::get<0>(*result);
    if (error && error != http::error::need_buffer) {
      co_return AttemptOutcome::kDiedStarted;
    }
    co_return std::string(this->piece.data(), this->piece.size() - body.size);
  }

  AnswerHead Head() const {
    return AnswerHead{
        .request = this->order->dispatch.request,
        .attempt = this->order->dispatch.attempt,
        .status = static_cast<int>(this->status),
        .reason = std::string(this->parser->get().reason()),
        .fields = FieldsForCaller(this->fields),
        .framing = this->Framing(),
        .length = this->StatedLength(),
        .queue_time = this->order->queue_time,
        .target_time = std::chrono::duration_cast<Duration>(SteadyClock::now() -
                                                            this->begun),
        .is_last = this->order->is_last,
    };
  }

  BodyFraming Framing() const {
    if (this->parser->is_done()) {
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

  // A connection serves again only if nothing on it can be mistaken for the
  // next request's answer.
  bool IsReusable(AttemptOutcome ended) const {
    const bool is_whole = ended == AttemptOutcome::kCompleted ||
                          ended == AttemptOutcome::kShed ||
                          ended == AttemptOutcome::kNotLoaded ||
                          ended == AttemptOutcome::kFailedAnswer;
    return is_whole && this->parser->is_done() && this->parser->keep_alive() &&
           this->connection->buffer.size() == 0;
  }

  boost::asio::awaitable<void> Report(AttemptOutcome ended) {
    const Dispatch& dispatch = this->order->dispatch;
    if (this->started && ended != AttemptOutcome::kCompleted) {
      const auto message = AnswerBroken{.request = dispatch.request,
                                        .attempt = dispatch.attempt};
      co_await Send(*this->order->session, message);
    }
    if (this->IsReusable(ended)) {
      const auto message = ConnectionFreed{
          .address = dispatch.address,
          .connection = this->connection,
          .idle_time = this->facts.idle_time.value_or(this->limits.idle_time)};
      co_await Send(*this->order->node, message);
    } else if (this->connection != nullptr) {
      Abort(this->connection->socket);
    }
    const auto message =
        EntryEvent(AttemptEnded{.request = dispatch.request,
                                .attempt = dispatch.attempt,
                                .outcome = ended,
                                .http_status = static_cast<int>(this->status),
                                .load = this->facts.load});
    co_await Send(*this->order->node, message);
  }

  Duration Left() const {
    const auto passed =
        std::chrono::duration_cast<Duration>(SteadyClock::now() - this->begun);
    return std::max(Duration::zero(),
                    this->order->dispatch.work_within - passed);
  }

  const std::shared_ptr<const ExchangeOrder> order;
  const TargetLimits limits;
  const SteadyClock::time_point begun = SteadyClock::now();
  std::shared_ptr<TargetConnection> connection;
  std::optional<Parser> parser;
  std::vector<HeaderField> fields;
  AnswerFacts facts;
  std::array<char, kPieceBytes> piece{};
  std::size_t sent = 0;
  unsigned status = 0;
  bool started = false;
  std::optional<AttemptOutcome> outcome;
};

/// Runs one attempt to its end.
template <TargetWire Wire>
boost::asio::awaitable<void> RunExchange(
    std::shared_ptr<const ExchangeOrder> order,
    TargetLimits limits) {
  const auto exchange =
      std::make_unique<TargetExchange<Wire>>(std::move(order), limits);
  co_await exchange->Run();
}

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_TARGET_EXCHANGE_H_
