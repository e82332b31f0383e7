#include "cicadaloft/forwarding/caller_session.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <chrono>
#include <optional>
#include <tuple>
#include <utility>
#include <variant>

#include "answer_writer.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/forwarding/caller_connection.h"
#include "cicadaloft/forwarding/with_timeout.h"
#include "problem_answer.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// How long a caller may take to close after the last answer.
constexpr Duration kLingerTime = std::chrono::seconds(1);

// Where the session stands with one request.
enum class Progress {
  kWaiting,  ///< Nothing has been answered.
  kAnswering,
  kServed,  ///< The connection may serve the next one.
  kLast,    ///< Answered; the connection ends.
  kBroken,  ///< The connection ends at once.
};

class CallerSession {
 public:
  CallerSession(std::shared_ptr<CallerConnection> connection,
                std::shared_ptr<EntryTaskMailbox> node,
                CallerLimits limits)
      : connection(std::move(connection)),
        node(std::move(node)),
        limits(limits) {}

  asio::awaitable<void> Run() {
    Progress progress = Progress::kServed;
    while (progress == Progress::kServed) {
      const auto message = co_await this->NextRequest();
      if (message == nullptr) {
        progress = Progress::kBroken;
      } else if (const auto* read = std::get_if<RequestRead>(message.get())) {
        progress = co_await this->Serve(*read);
      } else {
        progress = co_await this->Reject(std::get<RequestRejected>(*message));
      }
      TrySend(this->connection->to_reader, RequestServed{});
    }
    if (progress == Progress::kLast) {
      co_await this->Linger();
    }
    this->Close();
  }

 private:
  // @return a RequestRead or RequestRejected, or null if the connection ends.
  asio::awaitable<std::shared_ptr<const SessionMessage>> NextRequest() {
    if (this->host_stops && !this->request_begun && this->ahead == nullptr) {
      co_return nullptr;
    }
    while (this->ahead == nullptr) {
      if (this->continue_awaited) {
        this->continue_awaited = false;
        co_await this->Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      const auto message = co_await this->ReceiveInput();
      if (message == nullptr || std::holds_alternative<InputEnded>(*message)) {
        co_return nullptr;
      }
      this->NoteInput(message);
      // A request that is on its way is still read and answered.
      if (this->host_stops && !this->request_begun && this->ahead == nullptr) {
        co_return nullptr;
      }
    }
    co_return std::exchange(this->ahead, nullptr);
  }

  // The reader limits the time of a request that has begun.
  asio::awaitable<std::shared_ptr<const SessionMessage>> ReceiveInput() {
    if (this->request_begun) {
      co_return co_await Receive(*this->connection->to_session);
    }
    auto message = co_await WithTimeout(this->limits.idle_timeout,
                                        Receive(*this->connection->to_session));
    co_return message ? std::move(*message) : nullptr;
  }

  void NoteInput(const std::shared_ptr<const SessionMessage>& message) {
    if (std::holds_alternative<RequestBegun>(*message)) {
      this->request_begun = true;
    } else if (std::holds_alternative<HostStopping>(*message)) {
      this->host_stops = true;
    } else if (std::holds_alternative<ContinueExpected>(*message)) {
      this->continue_awaited = true;
    } else if (std::holds_alternative<RequestRead>(*message) ||
               std::holds_alternative<RequestRejected>(*message)) {
      this->request_begun = false;
      this->ahead = message;
    }
  }

  asio::awaitable<Progress> Reject(const RequestRejected& rejected) {
    const auto told = CallerRejected{.request = rejected.request,
                                     .kind = rejected.error.kind};
    co_await Send(*this->node, told);
    const bool keep_alive = rejected.framing.keep_alive;
    const bool written = co_await this->Write(
        FormatProblem(RefusalOf(rejected.request, rejected.error),
                      rejected.framing, keep_alive));
    if (!written) {
      co_return Progress::kBroken;
    }
    co_return keep_alive ? Progress::kServed : Progress::kLast;
  }

  asio::awaitable<Progress> Serve(const RequestRead& read) {
    const RequestId id = read.request->arrival.request;
    this->request = id;
    this->framing.emplace(read.framing);
    this->head.reset();
    const auto arrived = RequestReceived{
        .request = read.request, .session = this->connection->to_session};
    co_await Send(*this->node, arrived);
    Progress progress = Progress::kWaiting;
    while (progress == Progress::kWaiting || progress == Progress::kAnswering) {
      const auto message = co_await Receive(*this->connection->to_session);
      if (message == nullptr) {
        co_return Progress::kBroken;
      }
      progress = co_await this->Take(message, progress);
    }
    const auto done = RequestFinished{.request = id};
    co_await Send(*this->node, done);
    this->request = RequestId();
    if (progress != Progress::kBroken) {
      this->head.reset();
    }
    co_return progress;
  }

  asio::awaitable<Progress> Take(
      const std::shared_ptr<const SessionMessage>& message,
      Progress progress) {
    if (const auto* refusal = std::get_if<Refuse>(message.get())) {
      co_return co_await this->TakeRefusal(*refusal, progress);
    }
    if (const auto* answer = std::get_if<ResponseHead>(message.get())) {
      co_return co_await this->TakeHead(*answer, progress);
    }
    if (const auto* body = std::get_if<ResponseData>(message.get())) {
      if (!this->IsOurs(body->request, body->attempt)) {
        co_return progress;
      }
      co_return co_await this->TakeBody(*body);
    }
    if (const auto* end = std::get_if<ResponseEnd>(message.get())) {
      if (!this->IsOurs(end->request, end->attempt)) {
        co_return progress;
      }
      co_return co_await this->TakeEnd();
    }
    if (const auto* broken = std::get_if<ResponseAborted>(message.get())) {
      const bool ours = this->IsOurs(broken->request, broken->attempt);
      co_return ours ? Progress::kBroken : progress;
    }
    if (std::holds_alternative<InputEnded>(*message)) {
      co_return co_await this->TakeLeaving();
    }
    this->NoteInput(message);
    co_return progress;
  }

  asio::awaitable<Progress> TakeRefusal(const Refuse& refusal,
                                        Progress progress) {
    if (refusal.request != this->request) {
      co_return progress;
    }
    // Part of an answer has gone: only a break can show the error.
    if (progress == Progress::kAnswering) {
      co_return Progress::kBroken;
    }
    const bool keep_alive =
        this->framing->keep_alive && refusal.error.kind != ErrorKind::kStopping;
    const bool written = co_await this->Write(
        FormatProblem(refusal, *this->framing, keep_alive));
    if (!written) {
      co_return Progress::kBroken;
    }
    co_return keep_alive ? Progress::kServed : Progress::kLast;
  }

  asio::awaitable<Progress> TakeHead(const ResponseHead& answer,
                                     Progress progress) {
    if (answer.request != this->request || progress != Progress::kWaiting) {
      co_return progress;
    }
    this->head.emplace(answer);
    const bool written = co_await this->Write(
        FormatAnswerHeader(answer, *this->framing, this->KeepsAlive()));
    if (!written) {
      co_return co_await this->TakeLeaving();
    }
    co_return Progress::kAnswering;
  }

  asio::awaitable<Progress> TakeBody(const ResponseData& body) {
    const bool written = co_await this->Write(
        FormatPiece(body.bytes, FramingFor(*this->head, *this->framing)));
    if (!written) {
      co_return co_await this->TakeLeaving();
    }
    co_return Progress::kAnswering;
  }

  asio::awaitable<Progress> TakeEnd() {
    const bool written = co_await this->Write(
        FormatBodyEnd(FramingFor(*this->head, *this->framing)));
    if (!written) {
      co_return co_await this->TakeLeaving();
    }
    co_return this->KeepsAlive() ? Progress::kServed : Progress::kLast;
  }

  asio::awaitable<Progress> TakeLeaving() {
    const auto gone = EntryEvent(CallerDisconnected{.request = this->request});
    co_await Send(*this->node, gone);
    co_return Progress::kBroken;
  }

  bool IsOurs(const RequestId& id, AttemptNumber attempt) const {
    return this->head && this->head->request == id &&
           this->head->attempt == attempt;
  }

  bool KeepsAlive() const {
    return this->framing->keep_alive && !this->head->closes_connection &&
           !this->host_stops &&
           FramingFor(*this->head, *this->framing) != BodyFraming::kUntilClose;
  }

  asio::awaitable<bool> Write(std::string bytes) {
    return WriteAll(this->connection->socket, std::move(bytes),
                    this->limits.write_stall_timeout);
  }

  // Lets the caller read the last answer before the connection is gone.
  asio::awaitable<void> Linger() {
    error_code ignored;
    std::ignore =
        this->connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
    co_await WithTimeout(kLingerTime, this->WaitForLeaving());
  }

  asio::awaitable<bool> WaitForLeaving() {
    auto message = co_await Receive(*this->connection->to_session);
    while (message != nullptr &&
           !std::holds_alternative<InputEnded>(*message)) {
      message = co_await Receive(*this->connection->to_session);
    }
    co_return true;
  }

  // A body that ends with the connection is cut visibly only by a reset.
  void Close() {
    error_code ignored;
    const bool is_cut = this->head && FramingFor(*this->head, *this->framing) ==
                                          BodyFraming::kUntilClose;
    if (is_cut) {
      std::ignore = this->connection->socket.set_option(
          asio::socket_base::linger(true, 0), ignored);
    }
    std::ignore = this->connection->socket.close(ignored);
    this->connection->to_session->Close();
    this->connection->to_reader.Close();
  }

  const std::shared_ptr<CallerConnection> connection;
  const std::shared_ptr<EntryTaskMailbox> node;
  const CallerLimits limits;
  RequestId request;  // Being served; empty if none is.
  std::optional<ResponseFormat> framing;
  std::optional<ResponseHead> head;  // Of the answer that goes to the caller.
  std::shared_ptr<const SessionMessage> ahead;  // Read before its turn.
  bool request_begun = false;
  bool host_stops = false;
  bool continue_awaited = false;
};

}  // namespace

asio::awaitable<void> RunCallerSession(
    std::shared_ptr<CallerConnection> connection,
    std::shared_ptr<EntryTaskMailbox> node,
    CallerLimits limits) {
  const auto session =
      std::make_unique<CallerSession>(connection, std::move(node), limits);
  co_await session->Run();
}

asio::awaitable<void> RejectConnection(tcp::socket socket,
                                       std::string id_prefix,
                                       std::shared_ptr<EntryTaskMailbox> node,
                                       CallerLimits limits) {
  const RequestId id(id_prefix + "-1");
  constexpr ErrorKind kKind = ErrorKind::kTooManyConnections;
  const auto told = CallerRejected{.request = id, .kind = kKind};
  co_await Send(*node, told);
  const Error error = MakeError(kKind, "connection: over the host's limit");
  const std::string problem =
      FormatProblem(RefusalOf(id, error), ResponseFormat{}, false);
  if (!co_await WriteAll(socket, problem, limits.write_stall_timeout)) {
    co_return;
  }
  error_code ignored;
  std::ignore = socket.shutdown(tcp::socket::shutdown_send, ignored);
  std::array<char, 1024> input{};
  co_await WithTimeout(
      kLingerTime, socket.async_read_some(asio::buffer(input),
                                          asio::as_tuple(asio::use_awaitable)));
}

}  // namespace cicadaloft
