#ifndef CICADALOFT_FORWARDING_TARGET_EXCHANGE_H_
#define CICADALOFT_FORWARDING_TARGET_EXCHANGE_H_

#include <algorithm>
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <variant>

#include "cicadaloft/forwarding/entry_task_messages.h"
#include "cicadaloft/forwarding/exchange_params.h"
#include "cicadaloft/forwarding/forwarding_settings.h"
#include "cicadaloft/forwarding/header_rules.h"
#include "cicadaloft/forwarding/protocols.h"
#include "cicadaloft/forwarding/target_connection.h"
#include "cicadaloft/forwarding/target_response_reader.h"
#include "cicadaloft/forwarding/with_timeout.h"
#include "cicadaloft/settings/socket_options.h"

namespace cicadaloft {

/// Task of one attempt: sends the request, passes the answer on as it comes,
/// and tells the node exactly once how the attempt ended.
template <TargetProtocol Wire>
class TargetExchange {
 public:
  TargetExchange(std::shared_ptr<const ExchangeParams> order,
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
  using SteadyClock = std::chrono::steady_clock;

  static constexpr auto kAsTuple =
      boost::asio::as_tuple(boost::asio::use_awaitable);
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
      co_return co_await this->EndUnheard(*refusal);
    }
    constexpr int kServerError = 500;
    const int status = this->answer->status();
    if (this->order->dispatch.withholds_error_response &&
        status >= kServerError) {
      co_return co_await this->EndUnheard(AttemptOutcome::kErrorResponse);
    }
    // A success that the target does not vouch for is none.
    constexpr int kRedirection = 300;
    if (status < kRedirection && !this->facts.is_stamped) {
      co_return AttemptOutcome::kBrokenBeforeResponse;
    }
    co_return co_await this->PassAnswer();
  }

  boost::asio::awaitable<bool> Connect() {
    if (this->order->reused_connection != nullptr) {
      this->connection = this->order->reused_connection;
      co_return true;
    }
    const auto endpoint = ParseEndpoint(this->order->dispatch.address);
    if (!endpoint) {
      co_return false;
    }
    this->connection = std::make_shared<TargetConnection>(
        co_await boost::asio::this_coro::executor);
    Tcp::socket& socket = this->connection->socket;
    const Duration limit = std::min(this->limits.connect_timeout, this->Left());
    const auto result =
        co_await WithTimeout(limit, socket.async_connect(*endpoint, kAsTuple));
    if (!result || std::get<0>(*result)) {
      co_return false;
    }
    SetKeepAliveOptions(socket);
    co_return true;
  }

  boost::asio::awaitable<std::optional<AttemptOutcome>> WriteRequest() {
    const CallerRequest& request = *this->order->request;
    const std::string header =
        Wire::FormatRequestHead(request, this->order->dispatch, this->Left());
    const auto result = co_await WithTimeout(
        this->Left(), this->WriteAll(header, request.body));
    if (result && *result) {
      co_return std::nullopt;
    }
    if (this->sent == 0) {
      co_return AttemptOutcome::kNotSent;
    }
    co_return result ? AttemptOutcome::kBrokenBeforeResponse
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
    const CallerRequest& request = *this->order->request;
    this->answer.emplace(this->connection, request.method == "HEAD");
    for (int stale = 0; stale <= kMostStaleAnswers; ++stale) {
      if (const auto failure = co_await this->answer->ReadHead(this->Left())) {
        co_return failure;
      }
      this->facts = Wire::ParseResponseMetadata(request, this->order->dispatch,
                                                this->answer->status(),
                                                this->answer->fields());
      if (this->facts.matches_request) {
        co_return std::nullopt;
      }
      if (!co_await this->answer->SkipBody(this->Left())) {
        co_return AttemptOutcome::kBrokenBeforeResponse;
      }
    }
    co_return AttemptOutcome::kBrokenBeforeResponse;
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

  // The rest of a body that nobody gets is read so that the connection can be
  // kept.
  boost::asio::awaitable<AttemptOutcome> EndUnheard(AttemptOutcome ended) {
    co_await this->answer->SkipBody(this->Left());
    co_return ended;
  }

  boost::asio::awaitable<AttemptOutcome> PassAnswer() {
    const Dispatch& dispatch = this->order->dispatch;
    const auto message = EntryEvent(ResponseStarted{.request = dispatch.request,
                                                    .attempt = dispatch.attempt,
                                                    .load = this->facts.load});
    co_await Send(*this->order->node, message);
    this->started = true;
    bool taken = co_await Send(*this->order->session, this->Head());
    while (!this->answer->IsDone()) {
      auto piece = co_await this->answer->ReadPiece(this->Left());
      if (const auto* failure = std::get_if<AttemptOutcome>(&piece)) {
        co_return *failure;
      }
      if (taken) {
        taken = co_await this->PassPiece(std::move(std::get<0>(piece)));
      }
    }
    const auto end =
        ResponseEnd{.request = dispatch.request, .attempt = dispatch.attempt};
    co_await Send(*this->order->session, end);
    co_return AttemptOutcome::kCompleted;
  }

  boost::asio::awaitable<bool> PassPiece(std::string bytes) {
    if (bytes.empty()) {
      co_return true;
    }
    const Dispatch& dispatch = this->order->dispatch;
    const auto message = ResponseData{.request = dispatch.request,
                                      .attempt = dispatch.attempt,
                                      .bytes = std::move(bytes)};
    co_return co_await Send(*this->order->session, message);
  }

  ResponseHead Head() const {
    return ResponseHead{
        .request = this->order->dispatch.request,
        .attempt = this->order->dispatch.attempt,
        .status = this->answer->status(),
        .reason_phrase = this->answer->Reason(),
        .fields = FieldsForCaller(this->answer->fields()),
        .framing = this->answer->Framing(),
        .content_length = this->answer->StatedLength(),
        .queue_time = this->order->queue_time,
        .target_time = std::chrono::duration_cast<Duration>(SteadyClock::now() -
                                                            this->begun),
        .closes_connection = this->order->closes_connection,
    };
  }

  bool IsReusable(AttemptOutcome ended) const {
    const bool is_whole = ended == AttemptOutcome::kCompleted ||
                          ended == AttemptOutcome::kShed ||
                          ended == AttemptOutcome::kNotLoaded ||
                          ended == AttemptOutcome::kErrorResponse;
    return is_whole && this->answer->LeavesConnectionFit();
  }

  boost::asio::awaitable<void> Report(AttemptOutcome ended) {
    const Dispatch& dispatch = this->order->dispatch;
    if (this->started && ended != AttemptOutcome::kCompleted) {
      const auto message = ResponseAborted{.request = dispatch.request,
                                           .attempt = dispatch.attempt};
      co_await Send(*this->order->session, message);
    }
    if (this->IsReusable(ended)) {
      const auto message = ConnectionReleased{
          .address = dispatch.address,
          .connection = this->connection,
          .idle_timeout =
              this->facts.idle_timeout.value_or(this->limits.idle_timeout)};
      co_await Send(*this->order->node, message);
    } else if (this->connection != nullptr) {
      AbortConnection(this->connection->socket);
    }
    const auto message = EntryEvent(
        AttemptEnded{.request = dispatch.request,
                     .attempt = dispatch.attempt,
                     .outcome = ended,
                     .http_status = this->answer ? this->answer->status() : 0,
                     .load = this->facts.load});
    co_await Send(*this->order->node, message);
  }

  Duration Left() const {
    const auto passed =
        std::chrono::duration_cast<Duration>(SteadyClock::now() - this->begun);
    return std::max(Duration::zero(),
                    this->order->dispatch.response_timeout - passed);
  }

  const std::shared_ptr<const ExchangeParams> order;
  const TargetLimits limits;
  const SteadyClock::time_point begun = SteadyClock::now();
  std::shared_ptr<TargetConnection> connection;
  std::optional<TargetResponseReader> answer;
  ResponseMetadata facts;
  std::size_t sent = 0;
  bool started = false;
  std::optional<AttemptOutcome> outcome;
};

/// Runs one attempt to its end.
template <TargetProtocol Wire>
boost::asio::awaitable<void> RunExchange(
    std::shared_ptr<const ExchangeParams> order,
    TargetLimits limits) {
  const auto exchange =
      std::make_unique<TargetExchange<Wire>>(std::move(order), limits);
  co_await exchange->Run();
}

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_TARGET_EXCHANGE_H_
