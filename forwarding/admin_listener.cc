#include "cicadaloft/forwarding/admin_listener.h"

#include <boost/asio/as_tuple.hpp>
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
#include "cicadaloft/core/spawn.h"
#include "cicadaloft/forwarding/with_timeout.h"
#include "cicadaloft/telemetry/log_task_failure.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr Duration kIdleTimeout = std::chrono::seconds(30);
constexpr Duration kWriteTimeout = std::chrono::seconds(10);
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);
constexpr std::size_t kMaxBodyBytes = 1024;
/// Also bounds the framing of a body.
constexpr std::size_t kMaxHeaderBytes = std::size_t{8} * 1024;
constexpr std::string_view kExplainPath = "/v1/explain/";

std::optional<AdminRequest> ParseAdminRequest(std::string_view path,
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

Response MakeResponse(http::status status,
                      std::string_view type,
                      std::string body) {
  Response response(status, 11);
  response.set(http::field::content_type, type);
  response.body() = std::move(body);
  return response;
}

Response MakeResponse(const AdminReply& reply,
                      std::string_view path,
                      const AdminSettings& settings) {
  constexpr std::string_view kJson = "application/json";
  if (const auto* metrics = std::get_if<MetricsReply>(&reply)) {
    return MakeResponse(http::status::ok, "text/plain; version=0.0.4",
                        metrics->text);
  }
  if (const auto* explanation = std::get_if<ExplanationReply>(&reply)) {
    return MakeResponse(http::status::ok, kJson,
                        FormatExplanation(*explanation));
  }
  const auto& status = std::get<StatusReply>(reply);
  const bool is_unready = path == settings.ready_path && !status.is_ready;
  return MakeResponse(
      is_unready ? http::status::service_unavailable : http::status::ok, kJson,
      FormatStatus(status, settings.host));
}

asio::awaitable<Response> Respond(const Request& request,
                                  const AdminSettings& settings,
                                  EntryTaskMailbox& entry_inbox) {
  const std::string path(request.target());
  const auto admin_request = ParseAdminRequest(path, settings.ready_path);
  if (!admin_request) {
    co_return MakeResponse(http::status::not_found, "text/plain",
                           "not found\n");
  }
  if (request.method() != http::verb::get) {
    co_return MakeResponse(http::status::method_not_allowed, "text/plain",
                           "expected GET\n");
  }
  const auto reply_to =
      std::make_shared<AdminMailbox>(co_await asio::this_coro::executor, 1);
  const auto call = AdminCall{.request = *admin_request, .reply_to = reply_to};
  const bool is_sent = co_await Send(entry_inbox, call);
  if (!is_sent) {
    co_return MakeResponse(http::status::service_unavailable, "text/plain",
                           "stopped\n");
  }
  const auto reply = co_await Receive(*reply_to);
  co_return MakeResponse(*reply, path, settings);
}

asio::awaitable<void> ServeConnection(
    tcp::socket socket,
    AdminSettings settings,
    std::shared_ptr<EntryTaskMailbox> entry_inbox) {
  boost::beast::flat_buffer buffer(kMaxHeaderBytes);
  bool is_open = true;
  while (is_open) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    const auto read = co_await WithTimeout(
        kIdleTimeout, http::async_read(socket, buffer, parser, kAsTuple));
    if (!read || std::get<0>(*read)) {
      co_return;
    }
    const Request request = parser.release();
    Response response = co_await Respond(request, settings, *entry_inbox);
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    const auto written = co_await WithTimeout(
        kWriteTimeout, http::async_write(socket, response, kAsTuple));
    is_open = written && !std::get<0>(*written) && response.keep_alive();
  }
}

}  // namespace

asio::awaitable<void> RunAdminListener(
    std::shared_ptr<tcp::acceptor> acceptor,
    AdminSettings settings,
    std::shared_ptr<EntryTaskMailbox> entry_inbox) {
  const auto executor = co_await asio::this_coro::executor;
  while (acceptor->is_open()) {
    auto [error, socket] = co_await acceptor->async_accept(kAsTuple);
    if (error) {
      asio::steady_timer pause(executor, kAcceptRetryDelay);
      co_await pause.async_wait(asio::use_awaitable);
      continue;
    }
    Spawn(executor, "admin connection",
          ServeConnection(std::move(socket), settings, entry_inbox),
          LogTaskFailure{});
  }
}

}  // namespace cicadaloft
