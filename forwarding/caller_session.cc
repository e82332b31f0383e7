#include "cicadaloft/forwarding/caller_session.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <exception>
#include <optional>
#include <tuple>
#include <utility>
#include <variant>

#include "cicadaloft/core/result.h"
#include "cicadaloft/forwarding/caller_connection.h"
#include "cicadaloft/forwarding/with_timeout.h"
#include "cicadaloft/settings/socket_options.h"
#include "problem_response.h"
#include "response_writer.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// How long a connection of a stopping host may be idle. Requests follow the
/// opening of a connection, or one another, more quickly in most cases.
constexpr Duration kStoppingIdleTimeout = std::chrono::seconds(1);

/// Time for the caller to close the connection after the last response.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);

// Progress of a session on one request.
enum class Progress {
  kWaiting,  ///< Nothing of the response has been written.
  kResponding,
  kServed,   ///< Responded; the connection may serve another request.
  kClosing,  ///< Responded; the connection is closed gracefully.
  kBroken,   ///< The connection is closed immediately.
};

class CallerSession {
 public:
  CallerSession(std::shared_ptr<CallerConnection> connection,
                std::shared_ptr<EntryTaskMailbox> entry_inbox,
                CallerLimits limits)
      : connection(std::move(connection)),
        entry_inbox(std::move(entry_inbox)),
        limits(limits),
        idle_timer(this->connection->socket.get_executor()) {}

  asio::awaitable<void> Run() {
    Progress progress = Progress::kServed;
    while (progress == Progress::kServed) {
      const auto message = co_await this->NextRequest();
      if (message == nullptr || std::holds_alternative<InputEnded>(*message)) {
        progress = Progress::kBroken;
      } else if (std::holds_alternative<InputPaused>(*message)) {
        progress = Progress::kClosing;
      } else if (const auto* read = std::get_if<RequestRead>(message.get())) {
        progress = co_await this->Serve(*read);
      } else {
        progress = co_await this->Reject(std::get<RequestRejected>(*message));
      }
      ++this->served_count;
      TrySend(this->connection->to_reader, RequestServed{});
    }
    if (progress == Progress::kClosing) {
      co_await this->Linger();
    }
    this->Close();
  }

  // Ends the session after an exception, so that its request doesn't stay open
  // in the entry.
  asio::awaitable<void> Abandon() {
    if (this->request != RequestId()) {
      co_await this->HandleDisconnect();
      const auto finished = RequestFinished{.request = this->request};
      co_await Send(*this->entry_inbox, finished);
    }
    this->Close();
  }

 private:
  // @return a RequestRead or RequestRejected; an InputPaused if the connection
  // was idle for too long; an InputEnded or null if it has ended.
  asio::awaitable<std::shared_ptr<const SessionMessage>> NextRequest() {
    this->idle_since = std::chrono::steady_clock::now();
    this->StartIdleTimer();
    while (this->next_input == nullptr) {
      if (this->is_continue_expected) {
        this->is_continue_expected = false;
        co_await this->Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      const auto message = co_await Receive(*this->connection->to_session);
      if (message == nullptr || std::holds_alternative<InputEnded>(*message) ||
          std::holds_alternative<InputPaused>(*message)) {
        co_return message;
      }
      this->RecordInput(message);
      if (std::holds_alternative<HostStopping>(*message)) {
        this->StartIdleTimer();
      } else if (const auto* expired =
                     std::get_if<IdleExpired>(message.get())) {
        this->HandleIdleExpired(*expired);
      }
    }
    co_return std::exchange(this->next_input, nullptr);
  }

  // Once a request has begun, the reader applies its read timeout.
  void StartIdleTimer() {
    const Duration limit =
        this->is_host_stopping
            ? std::min(kStoppingIdleTimeout, this->limits.idle_timeout)
            : this->limits.idle_timeout;
    this->idle_timer.expires_at(this->idle_since + limit);
    this->idle_timer.async_wait(
        [inbox = this->connection->to_session,
         expired = IdleExpired{.served_count = this->served_count}](
            const error_code& error) {
          if (!error) {
            Post(*inbox, expired);
          }
        });
  }

  // Only the reader knows whether the next request has arrived.
  void HandleIdleExpired(const IdleExpired& expired) {
    if (this->has_request_begun || expired.served_count != this->served_count) {
      return;
    }
    TrySend(this->connection->to_reader,
            ConfirmIdle{.served_count = this->served_count});
    error_code ignored;
    std::ignore = this->connection->socket.cancel(ignored);
  }

  void RecordInput(const std::shared_ptr<const SessionMessage>& message) {
    if (std::holds_alternative<RequestBegun>(*message)) {
      this->has_request_begun = true;
    } else if (std::holds_alternative<HostStopping>(*message)) {
      this->is_host_stopping = true;
    } else if (std::holds_alternative<ContinueExpected>(*message)) {
      this->is_continue_expected = true;
    } else if (std::holds_alternative<RequestRead>(*message) ||
               std::holds_alternative<RequestRejected>(*message)) {
      this->has_request_begun = false;
      this->next_input = message;
    }
  }

  asio::awaitable<Progress> Reject(const RequestRejected& rejected) {
    const auto rejection = CallerRejected{.request = rejected.request,
                                          .kind = rejected.error.kind};
    co_await Send(*this->entry_inbox, rejection);
    const bool keep_alive = rejected.response_format.keep_alive;
    const bool is_written = co_await this->Write(
        FormatProblem(MakeRefusal(rejected.request, rejected.error),
                      rejected.response_format, keep_alive));
    if (!is_written) {
      co_return Progress::kBroken;
    }
    co_return keep_alive ? Progress::kServed : Progress::kClosing;
  }

  asio::awaitable<Progress> Serve(const RequestRead& read) {
    const RequestId id = read.request->arrival.request;
    this->request = id;
    this->response_format.emplace(read.response_format);
    this->head.reset();
    const auto received = RequestReceived{
        .request = read.request, .session = this->connection->to_session};
    co_await Send(*this->entry_inbox, received);
    Progress progress = Progress::kWaiting;
    while (progress == Progress::kWaiting ||
           progress == Progress::kResponding) {
      const auto message = co_await Receive(*this->connection->to_session);
      if (message == nullptr) {
        co_return Progress::kBroken;
      }
      progress = co_await this->Handle(message, progress);
    }
    const auto finished = RequestFinished{.request = id};
    co_await Send(*this->entry_inbox, finished);
    this->request = RequestId();
    if (progress != Progress::kBroken) {
      this->head.reset();
    }
    co_return progress;
  }

  asio::awaitable<Progress> Handle(
      const std::shared_ptr<const SessionMessage>& message,
      Progress progress) {
    if (const auto* refusal = std::get_if<Refuse>(message.get())) {
      co_return co_await this->HandleRefusal(*refusal, progress);
    }
    if (const auto* response_head = std::get_if<ResponseHead>(message.get())) {
      co_return co_await this->HandleHead(*response_head, progress);
    }
    if (const auto* data = std::get_if<ResponseData>(message.get())) {
      if (!this->IsCurrentAttempt(data->request, data->attempt)) {
        co_return progress;
      }
      co_return co_await this->HandleData(*data);
    }
    if (const auto* end = std::get_if<ResponseEnd>(message.get())) {
      if (!this->IsCurrentAttempt(end->request, end->attempt)) {
        co_return progress;
      }
      co_return co_await this->HandleEnd();
    }
    if (const auto* aborted = std::get_if<ResponseAborted>(message.get())) {
      const bool is_current =
          this->IsCurrentAttempt(aborted->request, aborted->attempt);
      co_return is_current ? Progress::kBroken : progress;
    }
    if (std::holds_alternative<InputEnded>(*message)) {
      co_return co_await this->HandleDisconnect();
    }
    this->RecordInput(message);
    co_return progress;
  }

  asio::awaitable<Progress> HandleRefusal(const Refuse& refusal,
                                          Progress progress) {
    if (refusal.request != this->request) {
      co_return progress;
    }
    // Part of the response has been sent: only closing the connection can
    // signal the error.
    if (progress == Progress::kResponding) {
      co_return Progress::kBroken;
    }
    const bool keep_alive =
        this->response_format->keep_alive &&
        (refusal.error.kind != ErrorKind::kStopping || this->HasNextRequest());
    const bool is_written = co_await this->Write(
        FormatProblem(refusal, *this->response_format, keep_alive));
    if (!is_written) {
      co_return Progress::kBroken;
    }
    co_return keep_alive ? Progress::kServed : Progress::kClosing;
  }

  asio::awaitable<Progress> HandleHead(const ResponseHead& response_head,
                                       Progress progress) {
    if (response_head.request != this->request ||
        progress != Progress::kWaiting) {
      co_return progress;
    }
    this->head.emplace(response_head);
    this->keeps_alive = this->CanKeepAlive();
    if (this->IsEndedByClose()) {
      EnableResetOnClose(this->connection->socket);
    }
    const bool is_written = co_await this->Write(FormatResponseHead(
        response_head, *this->response_format, this->keeps_alive));
    if (!is_written) {
      co_return co_await this->HandleDisconnect();
    }
    co_return Progress::kResponding;
  }

  asio::awaitable<Progress> HandleData(const ResponseData& data) {
    const bool is_written = co_await this->Write(FormatPiece(
        data.bytes, FramingFor(*this->head, *this->response_format)));
    if (!is_written) {
      co_return co_await this->HandleDisconnect();
    }
    co_return Progress::kResponding;
  }

  asio::awaitable<Progress> HandleEnd() {
    const bool is_written = co_await this->Write(
        FormatBodyEnd(FramingFor(*this->head, *this->response_format)));
    if (!is_written) {
      co_return co_await this->HandleDisconnect();
    }
    if (this->IsEndedByClose()) {
      DisableResetOnClose(this->connection->socket);
    }
    co_return this->keeps_alive ? Progress::kServed : Progress::kClosing;
  }

  asio::awaitable<Progress> HandleDisconnect() {
    const auto event = EntryEvent(CallerDisconnected{.request = this->request});
    co_await Send(*this->entry_inbox, event);
    co_return Progress::kBroken;
  }

  bool IsCurrentAttempt(const RequestId& id, AttemptNumber attempt) const {
    return this->head && this->head->request == id &&
           this->head->attempt == attempt;
  }

  // A connection of a stopping host is closed by a response after which no
  // further request has been sent yet.
  bool CanKeepAlive() const {
    const bool is_stopping =
        this->head->closes_connection || this->is_host_stopping;
    return this->response_format->keep_alive &&
           (!is_stopping || this->HasNextRequest()) && !this->IsEndedByClose();
  }

  // Whether the end of the connection marks the end of the body. Until the body
  // is complete, only a reset shows the caller that it isn't, and the kernel
  // sends one also if this process is killed.
  bool IsEndedByClose() const {
    return FramingFor(*this->head, *this->response_format) ==
           BodyFraming::kUntilClose;
  }

  bool HasNextRequest() const {
    return this->has_request_begun || this->next_input != nullptr;
  }

  asio::awaitable<bool> Write(std::string bytes) {
    return WriteAll(this->connection->socket, std::move(bytes),
                    this->limits.write_stall_timeout);
  }

  // Lets the caller read the last response before the connection is closed.
  asio::awaitable<void> Linger() {
    error_code ignored;
    std::ignore =
        this->connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
    co_await WithTimeout(kLingerTimeout, this->WaitForInputEnd());
  }

  asio::awaitable<bool> WaitForInputEnd() {
    auto message = co_await Receive(*this->connection->to_session);
    while (message != nullptr &&
           !std::holds_alternative<InputEnded>(*message)) {
      message = co_await Receive(*this->connection->to_session);
    }
    co_return true;
  }

  void Close() {
    error_code ignored;
    std::ignore = this->connection->socket.close(ignored);
    this->connection->to_session->Close();
    this->connection->to_reader.Close();
  }

  const std::shared_ptr<CallerConnection> connection;
  const std::shared_ptr<EntryTaskMailbox> entry_inbox;
  const CallerLimits limits;
  RequestId request;  // The request being served; empty if none.
  std::optional<ResponseFormat> response_format;
  std::optional<ResponseHead> head;  // Of the response being written.
  // The next request, if already read.
  std::shared_ptr<const SessionMessage> next_input;
  std::uint64_t served_count = 0;
  asio::steady_timer idle_timer;
  std::chrono::steady_clock::time_point idle_since;
  bool keeps_alive = false;  // As the response's head has announced.
  bool has_request_begun = false;
  bool is_host_stopping = false;
  bool is_continue_expected = false;
};

// A socket that is closed with unread input resets the connection, which can
// take the response from the caller.
asio::awaitable<bool> DiscardInput(tcp::socket& socket) {
  std::array<char, 1024> input{};
  error_code error;
  while (!error) {
    std::tie(error, std::ignore) = co_await socket.async_read_some(
        asio::buffer(input), asio::as_tuple(asio::use_awaitable));
  }
  co_return true;
}

}  // namespace

asio::awaitable<void> RunCallerSession(
    std::shared_ptr<CallerConnection> connection,
    std::shared_ptr<EntryTaskMailbox> entry_inbox,
    CallerLimits limits) {
  const auto session = std::make_unique<CallerSession>(
      connection, std::move(entry_inbox), limits);
  std::exception_ptr failure;
  try {
    co_await session->Run();
  } catch (...) {
    failure = std::current_exception();
  }
  if (failure) {
    co_await session->Abandon();
    std::rethrow_exception(failure);
  }
}

asio::awaitable<void> RejectConnection(
    tcp::socket socket,
    std::string id_prefix,
    std::shared_ptr<EntryTaskMailbox> entry_inbox,
    CallerLimits limits,
    ResponseFormat response_format) {
  const RequestId id(id_prefix + "-1");
  constexpr ErrorKind kKind = ErrorKind::kTooManyConnections;
  const auto rejection = CallerRejected{.request = id, .kind = kKind};
  co_await Send(*entry_inbox, rejection);
  const Error error =
      MakeError(kKind, "connection: the host's connection limit is reached");
  const std::string problem =
      FormatProblem(MakeRefusal(id, error), response_format, false);
  if (!co_await WriteAll(socket, problem, limits.write_stall_timeout)) {
    co_return;
  }
  error_code ignored;
  std::ignore = socket.shutdown(tcp::socket::shutdown_send, ignored);
  co_await WithTimeout(kLingerTimeout, DiscardInput(socket));
}

}  // namespace cicadaloft
