#include "cicadaloft/telemetry/output_buffer.h"

#include <unistd.h>

#include <climits>
#include <utility>

namespace cicadaloft {
namespace {

// @return as many whole lines as a pipe takes either all or not at all; at
// least one.
std::string_view NextPiece(std::string_view text) {
  constexpr std::size_t kPieceBytes = PIPE_BUF;
  if (text.size() <= kPieceBytes) {
    return text;
  }
  const std::size_t last = text.rfind('\n', kPieceBytes - 1);
  const std::size_t end =
      last == std::string_view::npos ? text.find('\n') : last;
  return text.substr(0, end + 1);
}

}  // namespace

void OutputBuffer::Add(std::string_view line) {
  const std::scoped_lock lock(this->guard);
  if (this->waiting.size() + line.size() + 1 > this->room) {
    ++this->dropped;
    return;
  }
  this->waiting += line;
  this->waiting += '\n';
}

void OutputBuffer::Flush(int descriptor) {
  const std::scoped_lock lock(this->guard);
  std::size_t sent = 0;
  bool goes_on = true;
  while (goes_on && sent < this->waiting.size()) {
    const std::string_view piece =
        NextPiece(std::string_view(this->waiting).substr(sent));
    const ssize_t size = write(descriptor, piece.data(), piece.size());
    goes_on = size > 0;
    sent += goes_on ? static_cast<std::size_t>(size) : 0;
  }
  this->waiting.erase(0, sent);
}

std::uint64_t OutputBuffer::TakeDroppedCount() {
  const std::scoped_lock lock(this->guard);
  return std::exchange(this->dropped, 0);
}

}  // namespace cicadaloft
