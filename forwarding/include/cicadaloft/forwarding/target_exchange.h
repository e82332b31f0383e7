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
#include <cstdint>
#include <exception>
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
#include "cicadaloft/telemetry/log.h"

namespace cicadaloft {

/// Task of one attempt: sends the request to a target or a helping host,
/// forwards the response as it arrives, and reports the attempt's outcome to
/// the entry task exactly once.
template <TargetProtocol Protocol>
class TargetExchange {
 public:
  TargetExchange(std::shared_ptr<const ExchangeParams> params,
                 TargetLimits limits)
      : params(std::move(params)), limits(limits) {}

  boost::asio::awaitable<void> Run() {
    using boost::asio::experimental::awaitable_operators::operator||;
    const auto first =
        co_await (this->RunAttempt() || Receive(*this->params->cancel));
    if (this->failure) {
      std::rethrow_exception(this->failure);
    }
    // Cancelling breaks the attempt's connection; the outcome that follows from
    // the broken connection says nothing about the target.
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
  /// Responses to earlier requests that are skipped before the matching one.
  static constexpr int kMaxStaleResponses = 3;
  /// Longest time for which a response waits for the record of its origin. The
  /// platform takes an event for late that is held for 120 ms.
  static constexpr Duration kMaxOriginWait = std::chrono::milliseconds(100);

  // Never throws, and stores its result in `outcome` or `failure`: a
  // cancellation may arrive at the same time as the end of the attempt, and
  // operator|| would wait for the cancellation after an exception.
  boost::asio::awaitable<bool> RunAttempt() {
    try {
      this->outcome = co_await this->Exchange();
    } catch (const boost::system::system_error&) {
      // Cancelled.
    } catch (...) {
      this->failure = std::current_exception();
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
    if (const auto failure = co_await this->ReadMatchingHead()) {
      co_return *failure;
    }
    if (const auto refusal = this->RefusalOutcome()) {
      this->connection->refused.insert(
          this->params->request->arrival.caller_request_id);
      co_return co_await this->DiscardAndEnd(*refusal);
    }
    constexpr int kServerError = 500;
    const int status = this->response->status();
    if (this->params->dispatch.withholds_error_response &&
        !this->params->dispatch.via_host && status >= kServerError) {
      co_return co_await this->DiscardAndEnd(AttemptOutcome::kErrorResponse);
    }
    // A success status without the target's stamp counts as a failed attempt.
    constexpr int kRedirection = 300;
    if (status < kRedirection && !this->metadata.is_stamped) {
      co_return AttemptOutcome::kBrokenBeforeResponse;
    }
    co_return co_await this->ForwardResponse();
  }

  boost::asio::awaitable<bool> Connect() {
    if (this->params->reused_connection != nullptr) {
      this->connection = this->params->reused_connection;
      co_return true;
    }
    const auto endpoint = ParseEndpoint(this->params->dispatch.address);
    if (!endpoint) {
      co_return false;
    }
    this->connection = std::make_shared<TargetConnection>(
        co_await boost::asio::this_coro::executor);
    Tcp::socket& socket = this->connection->socket;
    OpenForConnect(socket, *endpoint);
    const Duration timeout =
        std::min(this->limits.connect_timeout, this->RemainingTime());
    const auto result = co_await WithTimeout(
        timeout, socket.async_connect(*endpoint, kAsTuple));
    if (!result || std::get<0>(*result)) {
      co_return false;
    }
    SetKeepAliveOptions(socket);
    co_return true;
  }

  std::optional<std::string> FormatHead() const {
    const CallerRequest& request = *this->params->request;
    const Dispatch& dispatch = this->params->dispatch;
    return dispatch.via_host ? Protocol::FormatForwardedHead(
                                   request, dispatch, this->params->self,
                                   this->RemainingTime())
                             : std::optional(Protocol::FormatRequestHead(
                                   request, dispatch, this->RemainingTime()));
  }

  boost::asio::awaitable<std::optional<AttemptOutcome>> WriteRequest() {
    const std::optional<std::string> header = this->FormatHead();
    if (!header) {
      co_return AttemptOutcome::kNotSent;
    }
    const auto result = co_await WithTimeout(
        this->RemainingTime(),
        this->WriteAll(*header, this->params->request->body));
    if (result && *result) {
      co_return std::nullopt;
    }
    if (this->sent_bytes == 0) {
      co_return AttemptOutcome::kNotSent;
    }
    co_return result ? AttemptOutcome::kBrokenBeforeResponse
                     : AttemptOutcome::kTimedOut;
  }

  // Counts each byte that the kernel accepts, so that kNotSent is exact.
  boost::asio::awaitable<bool> WriteAll(const std::string& header,
                                        const std::string& body) {
    std::array<boost::asio::const_buffer, 2> buffers = {
        boost::asio::buffer(header), boost::asio::buffer(body)};
    while (boost::asio::buffer_size(buffers) != 0) {
      const auto [error, size] =
          co_await this->connection->socket.async_write_some(buffers, kAsTuple);
      this->sent_bytes += size;
      if (error) {
        co_return false;
      }
      const std::size_t header_size = std::min(size, buffers[0].size());
      buffers[0] += header_size;
      buffers[1] += size - header_size;
    }
    co_return true;
  }

  // Reads the head of the response to this request, and skips responses to
  // earlier requests on the connection.
  boost::asio::awaitable<std::optional<AttemptOutcome>> ReadMatchingHead() {
    const CallerRequest& request = *this->params->request;
    this->response.emplace(this->connection, request.method == "HEAD",
                           this->limits.memory);
    for (int skipped = 0; skipped <= kMaxStaleResponses; ++skipped) {
      if (const auto failure =
              co_await this->response->ReadHead(this->RemainingTime())) {
        this->LogHeadDefect();
        co_return failure;
      }
      this->metadata = Protocol::ParseResponseMetadata(
          request, this->params->dispatch, this->response->status(),
          this->response->fields());
      if (this->metadata.matches_request) {
        co_return std::nullopt;
      }
      if (!co_await this->response->SkipBody(this->RemainingTime())) {
        co_return AttemptOutcome::kBrokenBeforeResponse;
      }
    }
    co_return AttemptOutcome::kBrokenBeforeResponse;
  }

  void LogHeadDefect() const {
    if (const auto defect = this->response->defect()) {
      Log("forwarding")
          .Warn("response.invalid_head request=" +
                this->params->request->arrival.caller_request_id.value() +
                " address=" + this->params->dispatch.address +
                " reason=" + std::string(ToString(*defect)));
    }
  }

  std::optional<AttemptOutcome> RefusalOutcome() const {
    const Dispatch& dispatch = this->params->dispatch;
    // Never passed on: it would be wrong for the caller.
    if (this->metadata.is_outdated) {
      return AttemptOutcome::kOutdatedHost;
    }
    if (dispatch.via_host && !dispatch.withholds_error_response) {
      return std::nullopt;
    }
    if (this->metadata.is_other_instance) {
      return AttemptOutcome::kOtherInstance;
    }
    if (this->metadata.is_misdirected) {
      return AttemptOutcome::kNotLoaded;
    }
    if (this->metadata.was_not_run) {
      return AttemptOutcome::kShed;
    }
    return std::nullopt;
  }

  // Reads and drops the rest of the body, so that the connection can be reused.
  boost::asio::awaitable<AttemptOutcome> DiscardAndEnd(AttemptOutcome result) {
    co_await this->response->SkipBody(this->RemainingTime());
    co_return result;
  }

  boost::asio::awaitable<AttemptOutcome> ForwardResponse() {
    const Dispatch& dispatch = this->params->dispatch;
    const auto message =
        EntryEvent(ResponseStarted{.request = dispatch.request,
                                   .attempt = dispatch.attempt,
                                   .load = this->metadata.load,
                                   .notice = this->metadata.notice,
                                   .has_run = this->metadata.is_stamped});
    co_await Send(*this->params->entry_inbox, message);
    this->has_response_started = true;
    co_await this->RecordOrigin();
    bool is_session_open =
        co_await Send(*this->params->session, this->MakeResponseHead());
    while (!this->response->IsDone()) {
      auto piece = co_await this->response->ReadPiece(this->RemainingTime());
      if (const auto* failure = std::get_if<AttemptOutcome>(&piece)) {
        co_return *failure;
      }
      this->response_bytes += std::get<0>(piece).size();
      if (is_session_open) {
        is_session_open =
            co_await this->ForwardPiece(std::move(std::get<0>(piece)));
      }
    }
    if (this->response->IsEventMissing()) {
      co_return AttemptOutcome::kBrokenDuringResponse;
    }
    const auto end =
        ResponseEnd{.request = dispatch.request, .attempt = dispatch.attempt};
    co_await Send(*this->params->session, end);
    co_return AttemptOutcome::kCompleted;
  }

  // Without an acknowledgement in time the stream goes on; other hosts can't
  // find its origin then.
  boost::asio::awaitable<void> RecordOrigin() {
    const auto& origin = this->params->dispatch.origin;
    constexpr int kRedirection = 300;
    const bool is_stream = this->response->IsEventStream() &&
                           this->response->status() < kRedirection;
    if (!origin || this->params->origins == nullptr || !is_stream) {
      co_return;
    }
    const auto reply = std::make_shared<OriginRecordedMailbox>(
        co_await boost::asio::this_coro::executor, 1);
    const auto call = OriginRecordCall{.record = *origin, .reply_to = reply};
    if (TrySend(*this->params->origins, call)) {
      co_await WithTimeout(kMaxOriginWait, Receive(*reply));
    }
  }

  boost::asio::awaitable<bool> ForwardPiece(std::string bytes) {
    if (bytes.empty()) {
      co_return true;
    }
    const Dispatch& dispatch = this->params->dispatch;
    const auto message = ResponseData{.request = dispatch.request,
                                      .attempt = dispatch.attempt,
                                      .bytes = std::move(bytes)};
    co_return co_await Send(*this->params->session, message);
  }

  // Tells a host that has forwarded the request by which configuration this one
  // has decided.
  std::vector<HeaderField> CallerFields() const {
    std::vector<HeaderField> fields = FieldsForCaller(this->response->fields());
    if (this->params->request->arrival.forwarded_by) {
      fields.push_back(
          {std::string(kConfigurationField),
           std::to_string(this->params->dispatch.configuration.value())});
    }
    return fields;
  }

  ResponseHead MakeResponseHead() const {
    return ResponseHead{
        .request = this->params->dispatch.request,
        .attempt = this->params->dispatch.attempt,
        .status = this->response->status(),
        .reason_phrase = this->response->ReasonPhrase(),
        .fields = this->CallerFields(),
        .framing = this->response->Framing(),
        .content_length = this->response->ContentLength(),
        .queue_time = this->params->queue_time,
        .target_time = std::chrono::duration_cast<Duration>(SteadyClock::now() -
                                                            this->start_time),
        .closes_connection = this->params->closes_connection,
    };
  }

  // A refusal that names no request could be written again for the next one.
  bool IsReusable(AttemptOutcome result) const {
    constexpr std::size_t kMaxRefusals = 64;
    const bool is_refusal = (result == AttemptOutcome::kShed ||
                             result == AttemptOutcome::kNotLoaded) &&
                            this->metadata.names_request &&
                            this->connection->refused.size() <= kMaxRefusals;
    const bool is_complete = is_refusal ||
                             result == AttemptOutcome::kCompleted ||
                             result == AttemptOutcome::kErrorResponse;
    return is_complete && this->response->IsConnectionReusable();
  }

  boost::asio::awaitable<void> Report(AttemptOutcome result) {
    const Dispatch& dispatch = this->params->dispatch;
    if (this->has_response_started && result != AttemptOutcome::kCompleted) {
      const auto message = ResponseAborted{.request = dispatch.request,
                                           .attempt = dispatch.attempt};
      co_await Send(*this->params->session, message);
    }
    if (this->IsReusable(result)) {
      const auto message = ConnectionReleased{
          .address = dispatch.address,
          .connection = this->connection,
          .idle_timeout =
              this->metadata.idle_timeout.value_or(this->limits.idle_timeout)};
      co_await Send(*this->params->entry_inbox, message);
    } else if (this->connection != nullptr) {
      AbortConnection(this->connection->socket);
    }
    const auto message = EntryEvent(AttemptEnded{
        .request = dispatch.request,
        .attempt = dispatch.attempt,
        .outcome = result,
        .http_status = this->response ? this->response->status() : 0,
        .response_bytes = this->response_bytes,
        .response_events = this->response ? this->response->EventCount() : 0,
        .load = this->metadata.load,
        .notice = this->metadata.notice,
        .host_configuration = this->metadata.host_configuration,
        .takes_other_requests = this->metadata.takes_other_requests});
    co_await Send(*this->params->entry_inbox, message);
  }

  Duration RemainingTime() const {
    const auto elapsed = std::chrono::duration_cast<Duration>(
        SteadyClock::now() - this->start_time);
    return std::max(Duration::zero(),
                    this->params->dispatch.response_timeout - elapsed);
  }

  const std::shared_ptr<const ExchangeParams> params;
  const TargetLimits limits;
  const SteadyClock::time_point start_time = SteadyClock::now();
  std::shared_ptr<TargetConnection> connection;
  std::optional<TargetResponseReader> response;
  ResponseMetadata metadata;
  std::size_t sent_bytes = 0;
  std::uint64_t response_bytes = 0;
  bool has_response_started = false;
  std::optional<AttemptOutcome> outcome;
  /// An exception that isn't a cancellation.
  std::exception_ptr failure;
};

/// Runs one attempt to completion.
template <TargetProtocol Protocol>
boost::asio::awaitable<void> RunExchange(
    std::shared_ptr<const ExchangeParams> params,
    TargetLimits limits) {
  const auto exchange =
      std::make_unique<TargetExchange<Protocol>>(std::move(params), limits);
  co_await exchange->Run();
}

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_TARGET_EXCHANGE_H_
