#include "cicadaloft/telemetry/output_buffer.h"

#include <unistd.h>

#include <utility>

namespace cicadaloft {

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
    const ssize_t size = write(descriptor, this->waiting.data() + sent,
                               this->waiting.size() - sent);
    goes_on = size > 0;
    sent += goes_on ? static_cast<std::size_t>(size) : 0;
  }
  this->waiting.erase(0, sent);
}

std::uint64_t OutputBuffer::TakeDropped() {
  const std::scoped_lock lock(this->guard);
  return std::exchange(this->dropped, 0);
}

}  // namespace cicadaloft
