#ifndef CICADALOFT_REVIEW_COMMON_2_REGISTRY_H_
#define CICADALOFT_REVIEW_COMMON_2_REGISTRY_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>

#include "../../tests/stand_ins/http_server.h"

namespace cicadaloft::stand_ins {

/// How often a runner writes its entry.
inline constexpr std::chrono::milliseconds kHeartbeat(1200);

/// @return milliseconds since 1970.
inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// @param address "IP:port".
inline boost::asio::ip::tcp::endpoint ParseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {boost::asio::ip::make_address(address.substr(0, colon)),
          static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

/// Writes a runner's entry to the fake store; does nothing if that is away.
inline boost::asio::awaitable<void> WriteEntry(boost::asio::io_context& context,
                                               std::string store,
                                               std::string id,
                                               std::string entry) {
  constexpr auto kNoThrow = boost::asio::as_tuple(boost::asio::use_awaitable);
  Socket socket(context);
  const auto [error] =
      co_await socket.async_connect(ParseAddress(store), kNoThrow);
  if (error) {
    co_return;
  }
  Request request(http::verb::post, "/admin/put?topic=keyed.servers&key=" + id,
                  11);
  request.set(http::field::host, store);
  request.body() = std::move(entry);
  request.prepare_payload();
  co_await http::async_write(socket, request, kNoThrow);
  boost::beast::flat_buffer buffer;
  Response response;
  co_await http::async_read(socket, buffer, response, kNoThrow);
}

/// Reads one request, if it begins and ends within the time.
/// @return whether it was read.
inline boost::asio::awaitable<bool> ReadRequest(
    Socket& socket,
    boost::beast::flat_buffer& buffer,
    http::request_parser<http::string_body>& parser,
    std::chrono::milliseconds timeout) {
  using boost::asio::experimental::awaitable_operators::operator||;
  constexpr auto kNoThrow = boost::asio::as_tuple(boost::asio::use_awaitable);
  boost::asio::steady_timer timer(socket.get_executor(), timeout);
  const auto first =
      co_await (http::async_read(socket, buffer, parser, kNoThrow) ||
                timer.async_wait(kNoThrow));
  co_return first.index() == 0 && !std::get<0>(std::get<0>(first));
}

}  // namespace cicadaloft::stand_ins

#endif  // CICADALOFT_REVIEW_COMMON_2_REGISTRY_H_
