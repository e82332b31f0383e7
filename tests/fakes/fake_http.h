#ifndef CICADALOFT_TESTS_FAKES_FAKE_HTTP_H_
#define CICADALOFT_TESTS_FAKES_FAKE_HTTP_H_

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <chrono>
#include <concepts>
#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace cicadaloft::fakes {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Json = nlohmann::json;
using Request = http::request<http::string_body>;

/// @return a JSON object of keys and values in turn. Coroutines use it, since
/// g++ 12 can't compile nested brace initializers inside co_await.
template <typename Value, typename... Rest>
Json Object(const std::string& key, Value&& value, Rest&&... rest) {
  Json object = Json::object();
  if constexpr (sizeof...(rest) > 0) {
    object = Object(std::forward<Rest>(rest)...);
  }
  object[key] = std::forward<Value>(value);
  return object;
}

/// One request and the means to answer it, also wrongly.
class Exchange {
 public:
  Exchange(beast::tcp_stream& stream, Request request)
      : stream(stream), request_message(std::move(request)) {}

  const Request& request() const { return this->request_message; }
  /// @return the path without its query.
  std::string Path() const {
    const std::string target(this->request_message.target());
    return target.substr(0, target.find('?'));
  }
  /// @return a number from the query, or `fallback`.
  std::uint64_t QueryNumber(const std::string& name,
                            std::uint64_t fallback) const {
    const std::string target(this->request_message.target());
    const auto at = target.find(name + "=");
    return at == std::string::npos
               ? fallback
               : std::strtoull(target.c_str() + at + name.size() + 1, nullptr,
                               10);
  }
  /// @return the body as JSON; a discarded value if it is none.
  Json Body() const {
    return Json::parse(this->request_message.body(), nullptr, false);
  }
  /// @return the request's headers as an object.
  Json Headers() const {
    Json headers = Json::object();
    std::ranges::for_each(this->request_message, [&](const auto& field) {
      headers[std::string(field.name_string())] = std::string(field.value());
    });
    return headers;
  }
  std::string Header(std::string_view name) const {
    return std::string(
        this->request_message[beast::string_view(name.data(), name.size())]);
  }

  asio::awaitable<void> Answer(int status, const Json& body) {
    const std::string text = body.is_null() ? std::string() : body.dump();
    co_await this->Write("HTTP/1.1 " + std::to_string(status) +
                         " -\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(text.size()) + "\r\n\r\n" + text);
  }
  /// Sends bytes as they are.
  asio::awaitable<void> Write(std::string bytes) {
    co_await asio::async_write(this->stream, asio::buffer(bytes),
                               asio::use_awaitable);
  }
  /// Sends one chunk of a chunked answer.
  asio::awaitable<void> WriteChunk(const std::string& data) {
    std::ostringstream size;
    size << std::hex << data.size();
    co_await this->Write(size.str() + "\r\n" + data + "\r\n");
  }
  /// Breaks the connection.
  void Abort() {
    beast::error_code ignored;
    ignored = this->stream.socket().set_option(
        asio::socket_base::linger(true, 0), ignored);
    ignored = this->stream.socket().close(ignored);
  }
  bool IsOpen() const { return this->stream.socket().is_open(); }

 private:
  beast::tcp_stream& stream;
  const Request request_message;
};

template <typename Handler>
concept ExchangeHandler = requires(Handler handler, Exchange& exchange) {
  { handler(exchange) } -> std::same_as<asio::awaitable<void>>;
};

inline asio::awaitable<void> Sleep(std::chrono::microseconds time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

template <ExchangeHandler Handler>
asio::awaitable<void> ServeConnection(asio::ip::tcp::socket socket,
                                      Handler& handler) {
  constexpr std::uint64_t kBodyLimit = 64ULL << 20;
  beast::tcp_stream stream(std::move(socket));
  stream.socket().set_option(asio::ip::tcp::no_delay(true));
  beast::flat_buffer buffer;
  try {
    while (stream.socket().is_open()) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(kBodyLimit);
      co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
      Exchange exchange(stream, parser.release());
      co_await handler(exchange);
    }
  } catch (const std::exception&) {
    // The peer has gone, or sent what is no HTTP: the connection ends.
  }
}

/// Splits "IP:port".
inline asio::ip::tcp::endpoint ParseEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  return {asio::ip::make_address(text.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

template <ExchangeHandler Handler>
asio::awaitable<void> AcceptConnections(asio::ip::tcp::acceptor& acceptor,
                                        Handler& handler) {
  while (true) {
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    asio::co_spawn(acceptor.get_executor(),
                   ServeConnection(std::move(socket), handler), asio::detached);
  }
}

/// Serves until SIGTERM or SIGINT. Prints the address that it listens on.
template <ExchangeHandler Handler>
void Serve(asio::io_context& context,
           const std::string& listen,
           Handler& handler) {
  asio::ip::tcp::acceptor acceptor(context, ParseEndpoint(listen));
  std::cout << "listening " << acceptor.local_endpoint() << std::endl;
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](auto, auto) { context.stop(); });
  asio::co_spawn(context, AcceptConnections(acceptor, handler), asio::detached);
  context.run();
}

/// Fetches one answer from another stand-in.
inline asio::awaitable<Json> Fetch(std::string address, std::string target) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  co_await stream.async_connect(ParseEndpoint(address), asio::use_awaitable);
  http::request<http::empty_body> request(http::verb::get, target, 11);
  request.set(http::field::host, address);
  co_await http::async_write(stream, request, asio::use_awaitable);
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  co_await http::async_read(stream, buffer, response, asio::use_awaitable);
  co_return Json::parse(response.body(), nullptr, false);
}

}  // namespace cicadaloft::fakes

#endif  // CICADALOFT_TESTS_FAKES_FAKE_HTTP_H_
