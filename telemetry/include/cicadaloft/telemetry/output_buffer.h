#ifndef CICADALOFT_TELEMETRY_OUTPUT_BUFFER_H_
#define CICADALOFT_TELEMETRY_OUTPUT_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace cicadaloft {

/// Buffers lines for a file descriptor. Adding a line never blocks: lines
/// beyond the capacity are dropped and counted. Thread-safe.
class OutputBuffer {
 public:
  /// @param capacity_bytes for lines that are not written yet.
  explicit OutputBuffer(std::size_t capacity_bytes = kDefaultCapacityBytes)
      : capacity_bytes(capacity_bytes) {}

  /// @param line without its line break.
  void Add(std::string_view line);
  /// Writes what the descriptor accepts without blocking, in chunks of whole
  /// lines so that readers of a pipe never see part of a line. A descriptor
  /// without a non-blocking mode gets everything.
  void Flush(int descriptor);
  /// @return lines dropped since the last call.
  std::uint64_t TakeDroppedCount();

  /// Some seconds of lines at the typical rate.
  static constexpr std::size_t kDefaultCapacityBytes = std::size_t{256} * 1024;

 private:
  const std::size_t capacity_bytes;
  std::mutex mutex;
  std::string pending;
  std::uint64_t dropped = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_TELEMETRY_OUTPUT_BUFFER_H_
