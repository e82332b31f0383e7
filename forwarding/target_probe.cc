#include "cicadaloft/forwarding/target_probe.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <tuple>

#include "cicadaloft/forwarding/exchange_params.h"
#include "cicadaloft/forwarding/with_timeout.h"
#include "cicadaloft/settings/socket_options.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

asio::awaitable<bool> ReceiveFirstByte(tcp::socket& socket,
                                       const tcp::endpoint& endpoint,
                                       const std::string& request) {
  OpenForConnect(socket, endpoint);
  error_code error;
  std::tie(error) = co_await socket.async_connect(endpoint, kAsTuple);
  if (error) {
    co_return false;
  }
  std::tie(error, std::ignore) =
      co_await asio::async_write(socket, asio::buffer(request), kAsTuple);
  if (error) {
    co_return false;
  }
  std::array<char, 1> byte{};
  std::tie(error, std::ignore) =
      co_await socket.async_read_some(asio::buffer(byte), kAsTuple);
  co_return !error;
}

}  // namespace

asio::awaitable<bool> IsTargetReached(std::string address,
                                      std::string request,
                                      Duration timeout) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    co_return false;
  }
  tcp::socket socket(co_await asio::this_coro::executor);
  const auto result = co_await WithTimeout(
      timeout, ReceiveFirstByte(socket, *endpoint, request));
  AbortConnection(socket);
  co_return result.value_or(false);
}

}  // namespace cicadaloft
