#ifndef CICADALOFT_HOST_PROCESS_LOG_H_
#define CICADALOFT_HOST_PROCESS_LOG_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string_view>

#include "cicadaloft/telemetry/log.h"
#include "cicadaloft/telemetry/output_buffer.h"
#include "process_end.h"

namespace cicadaloft {

/// The log of the process on standard output, from its first line to its last.
class ProcessLog {
 public:
  /// Begins with the default level: a failed start must be logged too.
  ProcessLog();

  /// @param level one of kLogLevels.
  void SetLevel(std::string_view level);
  const std::shared_ptr<OutputBuffer>& output() const { return this->buffer; }
  void Flush();
  /// Writes what is buffered at regular intervals, until the process ends.
  boost::asio::awaitable<void> RunFlush();

  /// Logs the end, writes what is buffered and ends the process without
  /// running destructors: the requests are answered, and the teardown of tasks
  /// and libraries has made stopped hosts hang until they were killed.
  [[noreturn]] void End(const ProcessEnd& end);

 private:
  const std::shared_ptr<OutputBuffer> buffer = std::make_shared<OutputBuffer>();
  std::optional<LogSession> session;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_PROCESS_LOG_H_
