#ifndef CICADALOFT_CORE_MEMORY_BUDGET_H_
#define CICADALOFT_CORE_MEMORY_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace cicadaloft {

/// Bytes that other processes make this one hold, such as bodies and heads, as
/// far as they have no fixed buffer. The process has one budget for all of its
/// connections; it is used from one thread.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t capacity) : capacity(capacity) {}

  /// @return whether the bytes are now held.
  bool TryAcquire(std::size_t bytes) {
    if (bytes > this->capacity - this->held) {
      return false;
    }
    this->held += bytes;
    return true;
  }
  void Release(std::size_t bytes) { this->held -= bytes; }
  std::size_t held_bytes() const { return this->held; }

 private:
  const std::size_t capacity;
  std::size_t held = 0;
};

/// Part of a budget, released with the object.
class MemoryHold {
 public:
  explicit MemoryHold(std::shared_ptr<MemoryBudget> budget)
      : budget(std::move(budget)) {}
  MemoryHold(MemoryHold&& other) noexcept
      : budget(std::move(other.budget)), held(std::exchange(other.held, 0)) {}
  MemoryHold(const MemoryHold&) = delete;
  MemoryHold& operator=(const MemoryHold&) = delete;
  MemoryHold& operator=(MemoryHold&&) = delete;
  ~MemoryHold() {
    if (this->budget != nullptr) {
      this->budget->Release(this->held);
    }
  }

  /// Changes the size of this part.
  /// @return whether the budget allows it; else the size stays as it is.
  bool Resize(std::size_t bytes) {
    if (bytes > this->held && !this->budget->TryAcquire(bytes - this->held)) {
      return false;
    }
    if (bytes < this->held) {
      this->budget->Release(this->held - bytes);
    }
    this->held = bytes;
    return true;
  }

 private:
  std::shared_ptr<MemoryBudget> budget;
  std::size_t held = 0;
};

/// Capacity of a host's budget. The smallest hosts have 160 MB, which are also
/// needed for the program and for the fixed buffers of as many connections as
/// its file descriptors allow (docs/DESIGN.md, "What peers can make a host
/// hold").
inline constexpr std::size_t kPeerMemoryBytes = std::size_t{48} << 20;

/// @return a budget with the capacity of a host's.
inline std::shared_ptr<MemoryBudget> MakePeerMemoryBudget() {
  return std::make_shared<MemoryBudget>(kPeerMemoryBytes);
}

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_MEMORY_BUDGET_H_
