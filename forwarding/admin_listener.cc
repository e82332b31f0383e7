#include "cicadaloft/forwarding/admin_listener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>
#include <tuple>
#include <utility>

#include "admin_format.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/forwarding/with_timeout.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Request = http::request<http::string_body>;
using Answer = http::response<http::string_body>;

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr Duration kIdleTime = std::chrono::seconds(30);
constexpr Duration kWriteTime = std::chrono::seconds(10);
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);
constexpr std::size_t kBodyLimit = 1024;
constexpr std::string_view kExplainPath = "/v1/explain/";

std::optional<AdminRequest> AskFor(std::string_view path,
                                   std::string_view ready_path) {
  if (path == ready_path || path == "/v1/status") {
    return StatusRequest{};
  }
  if (path == "/metrics") {
    return MetricsRequest{};
  }
  if (path.starts_with(kExplainPath)) {
    const RequestId id(std::string(path.substr(kExplainPath.size())));
    return ExplanationRequest{.request = id};
  }
  return std::nullopt;
}

Answer MakeAnswer(http::status status,
                  std::string_view type,
                  std::string body) {
  Answer answer(status, 11);
  answer.set(http::field::content_type, type);
  answer.body() = std::move(body);
  return answer;
}

Answer MakeAnswer(const AdminReply& reply,
                  std::string_view path,
                  const AdminSettings& facts) {
  constexpr std::string_view kJson = "application/json";
  if (const auto* metrics = std::get_if<MetricsReply>(&reply)) {
    return MakeAnswer(http::status::ok, "text/plain; version=0.0.4",
                      metrics->text);
  }
  if (const auto* explanation = std::get_if<ExplainReply>(&reply)) {
    return MakeAnswer(http::status::ok, kJson, FormatExplanation(*explanation));
  }
  const auto& status = std::get<StatusReply>(reply);
  const bool is_refused = path == facts.ready_path && !status.is_ready;
  return MakeAnswer(
      is_refused ? http::status::service_unavailable : http::status::ok, kJson,
      FormatStatus(status, facts.host));
}

asio::awaitable<Answer> AnswerTo(const Request& request,
                                 const AdminSettings& facts,
                                 EntryTaskMailbox& node) {
  const std::string path(request.target());
  const auto ask = AskFor(path, facts.ready_path);
  if (!ask) {
    co_return MakeAnswer(http::status::not_found, "text/plain", "not found\n");
  }
  if (request.method() != http::verb::get) {
    co_return MakeAnswer(http::status::method_not_allowed, "text/plain",
                         "expected GET\n");
  }
  const auto reply_to =
      std::make_shared<AdminMailbox>(co_await asio::this_coro::executor, 1);
  const auto question = AdminCall{.request = *ask, .reply_to = reply_to};
  const bool is_sent = co_await Send(node, question);
  if (!is_sent) {
    co_return MakeAnswer(http::status::service_unavailable, "text/plain",
                         "stopped\n");
  }
  const auto reply = co_await Receive(*reply_to);
  co_return MakeAnswer(*reply, path, facts);
}

asio::awaitable<void> ServeAdmin(tcp::socket socket,
                                 AdminSettings facts,
                                 std::shared_ptr<EntryTaskMailbox> node) {
  boost::beast::flat_buffer buffer;
  bool goes_on = true;
  while (goes_on) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kBodyLimit);
    const auto read = co_await WithTimeout(
        kIdleTime, http::async_read(socket, buffer, parser, kAsTuple));
    if (!read || std::get<0>(*read)) {
      co_return;
    }
    const Request request = parser.release();
    Answer answer = co_await AnswerTo(request, facts, *node);
    answer.keep_alive(request.keep_alive());
    answer.prepare_payload();
    const auto written = co_await WithTimeout(
        kWriteTime, http::async_write(socket, answer, kAsTuple));
    goes_on = written && !std::get<0>(*written) && answer.keep_alive();
  }
}

}  // namespace

asio::awaitable<void> RunAdminListener(std::shared_ptr<tcp::acceptor> acceptor,
                                       AdminSettings facts,
                                       std::shared_ptr<EntryTaskMailbox> node) {
  const auto executor = co_await asio::this_coro::executor;
  while (acceptor->is_open()) {
    auto [error, socket] = co_await acceptor->async_accept(kAsTuple);
    if (error) {
      asio::steady_timer pause(executor, kAcceptRetryDelay);
      co_await pause.async_wait(asio::use_awaitable);
      continue;
    }
    asio::co_spawn(executor, ServeAdmin(std::move(socket), facts, node),
                   asio::detached);
  }
}

}  // namespace cicadaloft
