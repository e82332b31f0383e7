#ifndef CICADALOFT_TESTS_STAND_INS_HTTP_SERVER_H_
#define CICADALOFT_TESTS_STAND_INS_HTTP_SERVER_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <csignal>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "links.h"

namespace cicadaloft::stand_ins {

namespace http = boost::beast::http;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using Socket = boost::asio::ip::tcp::socket;

/// @return the query parameters of a request target.
inline std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t position = target.find('?');
  while (position != std::string::npos) {
    const std::size_t end = target.find('&', position + 1);
    const std::string pair = target.substr(position + 1, end - position - 1);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      query[pair.substr(0, equals)] = pair.substr(equals + 1);
    }
    position = end;
  }
  return query;
}

inline std::string PathOf(const std::string& target) {
  return target.substr(0, target.find('?'));
}

inline Response MakeResponse(unsigned status, std::string body = "{}") {
  Response response(http::int_to_status(status), 11);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(body);
  return response;
}

/// Serves one connection. The handler writes the response to the socket itself.
/// @tparam Handler takes a request and the socket; its awaited result is
/// whether the connection stays open.
template <typename Handler>
boost::asio::awaitable<void> ServeConnection(Socket socket,
                                             Handler handler,
                                             Links& links) {
  const Links::Entry entry(links, socket);
  boost::beast::flat_buffer buffer;
  bool is_open = true;
  while (is_open) {
    http::request_parser<http::string_body> parser;
    const auto [error, size] = co_await http::async_read(
        socket, buffer, parser,
        boost::asio::as_tuple(boost::asio::use_awaitable));
    if (error) {
      co_return;
    }
    co_await links.Pass(socket);
    const Request request = parser.release();
    is_open = co_await handler(request, socket);
  }
}

/// Writes a whole response.
/// @return whether it was written.
inline boost::asio::awaitable<bool> Write(Socket& socket, Response response) {
  response.prepare_payload();
  const auto [error, size] = co_await http::async_write(
      socket, response, boost::asio::as_tuple(boost::asio::use_awaitable));
  co_return !error;
}

/// @param address "IP:port".
inline boost::asio::ip::tcp::endpoint ParseEndpoint(
    const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {boost::asio::ip::make_address(address.substr(0, colon)),
          static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

/// Accepts connections on "IP:port" until SIGTERM or SIGINT.
template <typename Handler>
void Serve(boost::asio::io_context& context,
           const std::string& address,
           Handler handler,
           Links& links) {
  const boost::asio::ip::tcp::endpoint endpoint = ParseEndpoint(address);
  boost::asio::ip::tcp::acceptor acceptor(context, endpoint);
  links.Listen(acceptor);
  const auto accept = [&]() -> boost::asio::awaitable<void> {
    while (true) {
      auto [error, socket] = co_await acceptor.async_accept(
          boost::asio::as_tuple(boost::asio::use_awaitable));
      if (error && acceptor.is_open()) {
        throw boost::system::system_error(error);
      }
      if (error) {
        co_await links.AwaitUp();
        acceptor = boost::asio::ip::tcp::acceptor(context, endpoint);
      } else if (links.Admits(socket)) {
        boost::asio::co_spawn(
            context, ServeConnection(std::move(socket), handler, links),
            boost::asio::detached);
      }
    }
  };
  boost::asio::co_spawn(context, accept(), boost::asio::detached);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, auto) { context.stop(); });
  context.run();
}

/// Serves without faults of links.
template <typename Handler>
void Serve(boost::asio::io_context& context,
           const std::string& address,
           Handler handler) {
  const auto links = std::make_shared<Links>();
  Serve(
      context, address,
      // Connections keep the links until they have ended.
      [links, handler](const Request& request, Socket& socket) {
        return handler(request, socket);
      },
      *links);
}

}  // namespace cicadaloft::stand_ins

#endif  // CICADALOFT_TESTS_STAND_INS_HTTP_SERVER_H_
