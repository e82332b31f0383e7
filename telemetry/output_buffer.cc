#include "cicadaloft/telemetry/output_buffer.h"

#include <unistd.h>

#include <climits>
#include <utility>

namespace cicadaloft {
namespace {

// @return as many whole lines as a pipe writes atomically; at least one.
std::string_view NextChunk(std::string_view text) {
  constexpr std::size_t kMaxChunkBytes = PIPE_BUF;
  if (text.size() <= kMaxChunkBytes) {
    return text;
  }
  const std::size_t last = text.rfind('\n', kMaxChunkBytes - 1);
  const std::size_t end =
      last == std::string_view::npos ? text.find('\n') : last;
  return text.substr(0, end + 1);
}

}  // namespace

void OutputBuffer::Add(std::string_view line) {
  const std::scoped_lock lock(this->mutex);
  if (this->pending.size() + line.size() + 1 > this->capacity_bytes) {
    ++this->dropped;
    return;
  }
  this->pending += line;
  this->pending += '\n';
}

void OutputBuffer::Flush(int descriptor) {
  const std::scoped_lock lock(this->mutex);
  std::size_t written_bytes = 0;
  bool can_write = true;
  while (can_write && written_bytes < this->pending.size()) {
    const std::string_view chunk =
        NextChunk(std::string_view(this->pending).substr(written_bytes));
    const ssize_t size = write(descriptor, chunk.data(), chunk.size());
    can_write = size > 0;
    written_bytes += can_write ? static_cast<std::size_t>(size) : 0;
  }
  this->pending.erase(0, written_bytes);
}

std::uint64_t OutputBuffer::TakeDroppedCount() {
  const std::scoped_lock lock(this->mutex);
  return std::exchange(this->dropped, 0);
}

}  // namespace cicadaloft
