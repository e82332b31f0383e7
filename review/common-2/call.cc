// A caller of one request. Prints the body if asked to, and how the response
// ended: "status=200", "status=200 broken" if it is incomplete, "status=000" if
// there is none.

#include <docopt/docopt.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include "registry.h"

namespace cicadaloft::stand_ins {
namespace {

namespace asio = boost::asio;

constexpr char kUsage[] = R"(Sends a request and prints how it was answered.

Usage:
  call --to ADDRESS [--post] [--body TEXT] [--file FILE] [--print]
       [--timeout-ms N] PATH [FIELD ...]

Options:
  --to ADDRESS    "IP:port".
  --post          POST in place of GET.
  --body TEXT     Body of the request.
  --file FILE     File with the body.
  --print         Prints the body of the response first.
  --timeout-ms N  Time for the whole response [default: 5000].

Each FIELD is "Name: value". Exit codes: 0 a whole response with a status of
2xx, 1 any other end.
)";

struct Call {
  std::string address;
  Request request;
  std::chrono::milliseconds timeout{};
};

struct Outcome {
  unsigned status = 0;
  std::string body;
  bool is_whole = false;
};

asio::awaitable<void> Send(Call call, Outcome& outcome) {
  constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
  boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(call.timeout);
  const auto [connect_error] =
      co_await stream.async_connect(ParseAddress(call.address), kNoThrow);
  if (connect_error) {
    co_return;
  }
  const auto [write_error, written] =
      co_await http::async_write(stream, call.request, kNoThrow);
  if (write_error) {
    co_return;
  }
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  const auto [error, size] =
      co_await http::async_read(stream, buffer, parser, kNoThrow);
  outcome.status = parser.is_header_done() ? parser.get().result_int() : 0;
  outcome.body = parser.get().body();
  outcome.is_whole = !error;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace
}  // namespace cicadaloft::stand_ins

int main(int argc, char** argv) {
  using namespace cicadaloft::stand_ins;
  auto options = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  Call call{
      .address = options["--to"].asString(),
      .request = {},
      .timeout = std::chrono::milliseconds(options["--timeout-ms"].asLong())};
  call.request.method(options["--post"].asBool() ? http::verb::post
                                                 : http::verb::get);
  call.request.target(options["PATH"].asString());
  call.request.version(11);
  call.request.set(http::field::host, call.address);
  for (const std::string& field : options["FIELD"].asStringList()) {
    const std::size_t colon = field.find(": ");
    call.request.set(field.substr(0, colon), field.substr(colon + 2));
  }
  if (options["--file"].isString()) {
    call.request.body() = ReadFile(options["--file"].asString());
  } else if (options["--body"].isString()) {
    call.request.body() = options["--body"].asString();
  }
  call.request.prepare_payload();
  boost::asio::io_context context(1);
  Outcome outcome;
  boost::asio::co_spawn(context, Send(call, outcome), boost::asio::detached);
  context.run();
  if (options["--print"].asBool()) {
    std::cout << outcome.body << " ";
  }
  const bool has_status = outcome.status != 0;
  std::cout << "status="
            << (has_status ? std::to_string(outcome.status) : "000")
            << (has_status && !outcome.is_whole ? " broken" : "") << "\n";
  constexpr unsigned kOk = 200;
  constexpr unsigned kRedirection = 300;
  return outcome.is_whole && outcome.status >= kOk &&
                 outcome.status < kRedirection
             ? 0
             : 1;
}
