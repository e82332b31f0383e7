#ifndef CICADALOFT_FORWARDING_EVENT_STREAM_END_H_
#define CICADALOFT_FORWARDING_EVENT_STREAM_END_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cicadaloft {

/// Whether a text/event-stream body ends with a complete event, and the number
/// of its events. A blank line ends an event.
class EventStreamEnd {
 public:
  void Add(std::string_view bytes) {
    std::ranges::for_each(bytes, [this](char c) { this->Count(c); });
    this->tail.append(
        bytes.substr(bytes.size() - std::min(bytes.size(), kLongestEnd)));
    if (this->tail.size() > kLongestEnd) {
      this->tail.erase(0, this->tail.size() - kLongestEnd);
    }
  }

  std::uint64_t event_count() const { return this->events; }
  bool IsEmpty() const { return this->tail.empty(); }
  bool IsAfterEvent() const {
    static constexpr std::array<std::string_view, 4> kBlankLines = {
        "\n\n", "\r\r", "\n\r\n", "\r\r\n"};
    return std::ranges::any_of(kBlankLines, [this](std::string_view end) {
      return this->tail.ends_with(end);
    });
  }

 private:
  static constexpr std::size_t kLongestEnd = 3;

  // "\r\n" is one end of a line; the second of two ends of a line ends the
  // event.
  void Count(char c) {
    const bool is_line_end = c == '\r' || (c == '\n' && this->last != '\r');
    const bool is_in_line = c != '\r' && c != '\n';
    this->events += is_line_end && this->is_line_empty && this->has_lines;
    this->has_lines = is_in_line || (this->has_lines &&
                                     !(is_line_end && this->is_line_empty));
    this->is_line_empty = !is_in_line;
    this->last = c;
  }

  std::uint64_t events = 0;
  bool has_lines = false;  ///< Since the last event.
  bool is_line_empty = true;
  char last = '\0';
  std::string tail;  ///< The last bytes of the body.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_EVENT_STREAM_END_H_
