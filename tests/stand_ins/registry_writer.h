#ifndef CICADALOFT_TESTS_STAND_INS_REGISTRY_WRITER_H_
#define CICADALOFT_TESTS_STAND_INS_REGISTRY_WRITER_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>

#include "http_server.h"

namespace cicadaloft::stand_ins {

/// Writes a runner's record to the registry of a fake store.
/// @param store "IP:port" of the store.
/// @return whether the store has accepted it.
inline boost::asio::awaitable<bool> WriteRegistryRecord(
    boost::asio::io_context& context,
    std::string store,
    std::string id,
    std::string record) {
  constexpr auto kAsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
  Socket socket(context);
  const auto [connect_error] =
      co_await socket.async_connect(ParseEndpoint(store), kAsTuple);
  if (connect_error) {
    co_return false;
  }
  Request request(http::verb::post, "/admin/put?topic=keyed.servers&key=" + id,
                  11);
  request.set(http::field::host, store);
  request.body() = std::move(record);
  request.prepare_payload();
  const auto [write_error, written] =
      co_await http::async_write(socket, request, kAsTuple);
  boost::beast::flat_buffer buffer;
  Response response;
  const auto [read_error, read] =
      co_await http::async_read(socket, buffer, response, kAsTuple);
  co_return !write_error && !read_error &&
      response.result() == http::status::ok;
}

}  // namespace cicadaloft::stand_ins

#endif  // CICADALOFT_TESTS_STAND_INS_REGISTRY_WRITER_H_
