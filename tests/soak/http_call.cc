#include "http_call.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

namespace cicadaloft::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;

asio::awaitable<int> CallOnce(Address address,
                              std::string method,
                              std::string path,
                              std::string body,
                              Millis timeout) {
  constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
  boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(std::chrono::milliseconds(timeout));
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(address.ip),
      static_cast<unsigned short>(address.port));
  const auto [not_connected] =
      co_await stream.async_connect(endpoint, kNoThrow);
  if (not_connected) {
    co_return 0;
  }
  http::request<http::string_body> request(http::string_to_verb(method), path,
                                           11);
  request.set(http::field::host, address.Text());
  request.body() = std::move(body);
  request.prepare_payload();
  const auto [not_sent, sent] =
      co_await http::async_write(stream, request, kNoThrow);
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  const auto [not_read, size] =
      co_await http::async_read(stream, buffer, response, kNoThrow);
  co_return not_sent || not_read ? 0 : static_cast<int>(response.result_int());
}

}  // namespace cicadaloft::soak
