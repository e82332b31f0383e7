#include "http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace cicadaloft {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t kMaxAnswerBytes = std::uint64_t{64} << 20;
constexpr unsigned kHttp11 = 11;

using Request = http::request<http::string_body>;

Request MakeRequest(const HttpUrl& server, const HttpCall& call) {
  Request request(
      call.method == HttpMethod::kPost ? http::verb::post : http::verb::get,
      call.path, kHttp11);
  request.set(http::field::host, server.Text().substr(sizeof("http://") - 1));
  request.set(http::field::connection, "close");
  if (!call.body.empty()) {
    request.set(http::field::content_type, "application/json");
  }
  request.body() = call.body;
  request.prepare_payload();
  return request;
}

Error Unreachable(const HttpUrl& server, const beast::error_code& error) {
  return Fail(ErrorKind::kTargetUnreachable,
              server.Text() + ": " + error.message());
}

Awaitable<Result<HttpAnswer>> SendTo(const HttpUrl& server,
                                     const HttpCall& call) {
  const auto executor = co_await asio::this_coro::executor;
  asio::ip::tcp::resolver resolver(executor);
  const auto [resolve_error, endpoints] =
      co_await resolver.async_resolve(server.host, server.port, kNoThrow);
  if (resolve_error) {
    co_return Unreachable(server, resolve_error);
  }
  beast::tcp_stream stream(executor);
  stream.expires_after(HttpClient::kConnectTimeout);
  const auto [connect_error, endpoint] =
      co_await stream.async_connect(endpoints, kNoThrow);
  if (connect_error) {
    co_return Unreachable(server, connect_error);
  }
  stream.expires_after(HttpClient::kAnswerTimeout);
  Request request = MakeRequest(server, call);
  const auto [write_error, written] =
      co_await http::async_write(stream, request, kNoThrow);
  if (write_error) {
    co_return Unreachable(server, write_error);
  }
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxAnswerBytes);
  const auto [read_error, read] =
      co_await http::async_read(stream, buffer, parser, kNoThrow);
  if (read_error) {
    co_return Unreachable(server, read_error);
  }
  co_return HttpAnswer{.status = static_cast<int>(parser.get().result_int()),
                       .body = std::move(parser.get().body())};
}

}  // namespace

Awaitable<Result<HttpAnswer>> HttpClient::Send(const HttpCall& call) {
  std::string reasons;
  for (std::size_t tried = 0; tried < this->servers.size(); ++tried) {
    const std::size_t index = (this->preferred + tried) % this->servers.size();
    Result<HttpAnswer> answer = co_await SendTo(this->servers[index], call);
    if (IsOk(answer)) {
      this->preferred = index;
      co_return answer;
    }
    reasons += (reasons.empty() ? "" : "; ") + ErrorOf(answer).message;
  }
  co_return Fail(ErrorKind::kTargetUnreachable, reasons);
}

}  // namespace cicadaloft
