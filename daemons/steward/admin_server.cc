#include "admin_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <utility>

#include "cicadaloft/settings/socket_address.h"
#include "status_json.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds kIdleTimeout{30};
constexpr std::chrono::milliseconds kAcceptPause{100};
constexpr std::size_t kMaxConnections = 64;
constexpr std::size_t kMaxBodyBytes = std::size_t{4} << 20;
constexpr std::uint32_t kMaxHeaderBytes = 16384;
constexpr int kOk = 200;

using Parser = http::request_parser<http::string_body>;
using Response = http::response<http::string_body>;

AdminRequest MakeRequest(const Parser& parser) {
  return AdminRequest{.method = std::string(parser.get().method_string()),
                      .path = std::string(parser.get().target()),
                      .body = parser.get().body()};
}

Response MakeResponse(const AdminReply& reply, bool keeps_alive) {
  Response response;
  response.result(static_cast<unsigned>(reply.status));
  response.set(http::field::content_type, reply.content_type);
  response.keep_alive(keeps_alive);
  response.body() = reply.body;
  response.prepare_payload();
  return response;
}

}  // namespace

AdminReply MakeProblem(const Error& error) {
  return AdminReply{.status = AnswerFor(error.kind).http_status,
                    .content_type = "application/problem+json",
                    .body = FormatProblem(error)};
}

AdminReply MakeJsonReply(std::string body) {
  return AdminReply{.status = kOk,
                    .content_type = "application/json",
                    .body = std::move(body)};
}

AdminReply MakeTextReply(std::string body) {
  return AdminReply{
      .status = kOk, .content_type = "text/plain", .body = std::move(body)};
}

Result<AdminServer> AdminServer::Open(const asio::any_io_executor& executor,
                                      const std::string& address) {
  const Result<SocketAddress> parsed = ParseSocketAddress(address);
  if (!IsOk(parsed)) {
    return ErrorOf(parsed);
  }
  const tcp::endpoint endpoint(asio::ip::make_address(ValueOf(parsed).ip),
                               ValueOf(parsed).port);
  try {
    return AdminServer(tcp::acceptor(executor, endpoint));
  } catch (const boost::system::system_error& error) {
    return Fail(ErrorKind::kSettingsInvalid,
                "can't listen on " + address + ": " + error.what());
  }
}

std::uint16_t AdminServer::port() const {
  return this->acceptor.local_endpoint().port();
}

asio::awaitable<void> AdminServer::Run(Handler handler) {
  asio::steady_timer timer(this->acceptor.get_executor());
  for (;;) {
    auto [error, socket] = co_await this->acceptor.async_accept(kNoThrow);
    if (error) {
      timer.expires_after(kAcceptPause);
      co_await timer.async_wait(kNoThrow);
      continue;
    }
    if (this->connections < kMaxConnections) {
      asio::co_spawn(
          this->acceptor.get_executor(),
          this->Serve(boost::beast::tcp_stream(std::move(socket)), handler),
          asio::detached);
    }
  }
}

asio::awaitable<void> AdminServer::Serve(boost::beast::tcp_stream stream,
                                         Handler handler) {
  ++this->connections;
  boost::beast::flat_buffer buffer;
  for (bool keeps_alive = true; keeps_alive;) {
    Parser parser;
    parser.body_limit(kMaxBodyBytes);
    parser.header_limit(kMaxHeaderBytes);
    stream.expires_after(kIdleTimeout);
    const auto [read_error, read] =
        co_await http::async_read(stream, buffer, parser, kNoThrow);
    if (read_error) {
      break;
    }
    keeps_alive = parser.keep_alive();
    AdminRequest request = MakeRequest(parser);
    const AdminReply reply = co_await handler(std::move(request));
    const Response response = MakeResponse(reply, keeps_alive);
    stream.expires_after(kIdleTimeout);
    const auto [write_error, written] =
        co_await http::async_write(stream, response, kNoThrow);
    if (write_error) {
      break;
    }
  }
  --this->connections;
}

}  // namespace cicadaloft
