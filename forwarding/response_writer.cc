#include "response_writer.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <tuple>

#include "cicadaloft/forwarding/with_timeout.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

std::string FormatMilliseconds(Duration duration) {
  const std::chrono::duration<double, std::milli> milliseconds = duration;
  std::array<char, 32> text{};
  const int size =
      std::snprintf(text.data(), text.size(), "%.1f", milliseconds.count());
  return {text.data(), static_cast<std::size_t>(size)};
}

bool MayHaveBody(const ResponseHead& head, const ResponseFormat& format) {
  return !format.is_head && head.status != kNoContent &&
         head.status != kNotModified;
}

std::string FormatFramingFields(const ResponseHead& head,
                                const ResponseFormat& format) {
  if (FramingFor(head, format) == BodyFraming::kChunked) {
    return "Transfer-Encoding: chunked\r\n";
  }
  if (head.content_length && head.status != kNoContent) {
    return "Content-Length: " + std::to_string(*head.content_length) + "\r\n";
  }
  const bool is_empty =
      head.framing == BodyFraming::kNone && MayHaveBody(head, format);
  return is_empty ? "Content-Length: 0\r\n" : "";
}

}  // namespace

BodyFraming FramingFor(const ResponseHead& head, const ResponseFormat& format) {
  const bool has_marked_end = head.framing == BodyFraming::kLength ||
                              head.framing == BodyFraming::kNone;
  if (has_marked_end) {
    return head.framing;
  }
  return format.is_http_1_0 ? BodyFraming::kUntilClose : BodyFraming::kChunked;
}

std::string FormatResponseHead(const ResponseHead& head,
                               const ResponseFormat& format,
                               bool keep_alive) {
  std::string text = "HTTP/1.1 " + std::to_string(head.status) + " " +
                     head.reason_phrase + "\r\n";
  for (const HeaderField& field : head.fields) {
    text += field.name + ": " + field.value + "\r\n";
  }
  text += FormatFramingFields(head, format);
  text += "X-Request-Id: " + head.request.value() + "\r\n";
  text += "Server-Timing: queue;dur=" + FormatMilliseconds(head.queue_time) +
          ", target;dur=" + FormatMilliseconds(head.target_time) + "\r\n";
  if (!keep_alive) {
    text += "Connection: close\r\n";
  } else if (format.is_http_1_0) {
    text += "Connection: keep-alive\r\n";
  }
  return text + "\r\n";
}

std::string FormatPiece(const std::string& bytes, BodyFraming framing) {
  if (framing != BodyFraming::kChunked) {
    return bytes;
  }
  std::array<char, 32> size{};
  const int length =
      std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string text(size.data(), static_cast<std::size_t>(length));
  text += bytes;
  return text + "\r\n";
}

std::string FormatBodyEnd(BodyFraming framing) {
  return framing == BodyFraming::kChunked ? "0\r\n\r\n" : "";
}

asio::awaitable<bool> WriteAll(asio::ip::tcp::socket& socket,
                               std::string bytes,
                               Duration stall_timeout) {
  asio::const_buffer remaining = asio::buffer(bytes);
  while (remaining.size() != 0) {
    const auto result = co_await WithTimeout(
        stall_timeout, socket.async_write_some(remaining, kAsTuple));
    if (!result || std::get<0>(*result)) {
      co_return false;
    }
    remaining += std::get<1>(*result);
  }
  co_return true;
}

}  // namespace cicadaloft
