#ifndef CICADALOFT_FORWARDING_TESTS_SCRIPTED_TARGET_H_
#define CICADALOFT_FORWARDING_TESTS_SCRIPTED_TARGET_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/core/mailbox.h"

namespace cicadaloft {

/// What the target does for one request.
struct TargetScript {
  /// What the target does with the connection after the last piece.
  enum class After { kKeep, kClose, kHang };

  std::vector<std::string> pieces;  ///< Raw bytes of the response.
  After after = After::kKeep;
  bool waits_for_allow = false;     ///< Sends one piece per call of Allow().
  bool repeats_last_piece = false;  ///< Repeats the last piece endlessly.
};

struct Permission {};

/// A minimal HTTP target that plays one script per request, in order.
class ScriptedTarget {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  explicit ScriptedTarget(boost::asio::io_context& context)
      : acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}),
        permissions(context.get_executor(), 100) {
    boost::asio::co_spawn(context, this->Accept(), boost::asio::detached);
  }

  std::string Address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }
  void Allow() { TrySend(this->permissions, Permission{}); }

  std::deque<TargetScript> scripts;
  std::vector<Request> requests;
  std::size_t connections = 0;
  std::size_t closed_by_peer = 0;
  std::size_t pieces_sent = 0;

 private:
  boost::asio::awaitable<void> Accept() {
    while (this->acceptor.is_open()) {
      auto socket =
          co_await this->acceptor.async_accept(boost::asio::use_awaitable);
      ++this->connections;
      boost::asio::co_spawn(this->acceptor.get_executor(),
                            this->Serve(std::move(socket)),
                            boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket) {
    boost::beast::flat_buffer buffer;
    bool is_open = true;
    while (is_open) {
      boost::beast::http::request_parser<boost::beast::http::string_body>
          parser;
      parser.body_limit(boost::none);
      const auto [error, size] = co_await boost::beast::http::async_read(
          socket, buffer, parser,
          boost::asio::as_tuple(boost::asio::use_awaitable));
      if (error) {
        ++this->closed_by_peer;
        co_return;
      }
      this->requests.push_back(parser.release());
      is_open = co_await this->Play(socket);
    }
  }

  boost::asio::awaitable<bool> Play(boost::asio::ip::tcp::socket& socket) {
    TargetScript script{
        .pieces = {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}};
    if (!this->scripts.empty()) {
      script = this->scripts.front();
      this->scripts.pop_front();
    }
    for (const std::string& piece : script.pieces) {
      if (script.waits_for_allow) {
        co_await Receive(this->permissions);
      }
      co_await boost::asio::async_write(
          socket, boost::asio::buffer(piece),
          boost::asio::as_tuple(boost::asio::use_awaitable));
      ++this->pieces_sent;
    }
    while (script.repeats_last_piece) {
      const auto [error, size] = co_await boost::asio::async_write(
          socket, boost::asio::buffer(script.pieces.back()),
          boost::asio::as_tuple(boost::asio::use_awaitable));
      script.repeats_last_piece = !error;
    }
    // A hanging target still reads, and so detects the end of the connection.
    co_return script.after != TargetScript::After::kClose;
  }

  boost::asio::ip::tcp::acceptor acceptor;
  Mailbox<Permission> permissions;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_TESTS_SCRIPTED_TARGET_H_
