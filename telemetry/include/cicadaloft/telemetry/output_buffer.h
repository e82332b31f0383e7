#ifndef CICADALOFT_TELEMETRY_OUTPUT_BUFFER_H_
#define CICADALOFT_TELEMETRY_OUTPUT_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace cicadaloft {

/// Lines on their way to a descriptor. Adding a line never waits: lines that
/// find no room are dropped and counted. Any thread may add.
class OutputBuffer {
 public:
  /// @param room bytes that may wait.
  explicit OutputBuffer(std::size_t room = kDefaultCapacityBytes)
      : room(room) {}

  /// @param line without its line break.
  void Add(std::string_view line);
  /// Writes what the descriptor takes without waiting, in pieces of whole lines
  /// so that readers of a pipe never see half a line. A descriptor that does
  /// not know this mode gets everything.
  void Flush(int descriptor);
  /// @return lines dropped since the last call.
  std::uint64_t TakeDroppedCount();

  /// Some seconds of lines at the usual rate.
  static constexpr std::size_t kDefaultCapacityBytes = std::size_t{256} * 1024;

 private:
  const std::size_t room;
  std::mutex guard;
  std::string waiting;
  std::uint64_t dropped = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_TELEMETRY_OUTPUT_BUFFER_H_
