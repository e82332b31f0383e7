#ifndef CICADALOFT_TELEMETRY_LOG_H_
#define CICADALOFT_TELEMETRY_LOG_H_

#include <array>
#include <memory>
#include <string>
#include <string_view>

#include "cicadaloft/telemetry/output_buffer.h"

namespace cicadaloft {

/// Names of the log levels in settings, the default first.
inline constexpr std::array<std::string_view, 4> kLogLevels = {"info", "debug",
                                                               "warn", "error"};

/// Sets up the process's log: one JSON object per line, with time, level and
/// component. Records are written until the session is destroyed.
class LogSession {
 public:
  /// @param level one of kLogLevels; records below it are not written.
  /// @param output receives the lines; its owner flushes it.
  LogSession(std::string_view level, std::shared_ptr<OutputBuffer> output);
  ~LogSession();
  LogSession(const LogSession&) = delete;
  LogSession& operator=(const LogSession&) = delete;
};

/// The log of one component. Without a LogSession nothing is written.
class Log {
 public:
  explicit Log(std::string component);

  void Info(std::string_view text) const;
  void Warn(std::string_view text) const;
  void Error(std::string_view text) const;
  /// Writes an event with its fields.
  /// @param fields members of a JSON object, without its braces.
  void Event(std::string_view fields) const;

 private:
  std::string component;
};

/// @return the text as a JSON string, with its quotes.
std::string QuoteJson(std::string_view text);

}  // namespace cicadaloft

#endif  // CICADALOFT_TELEMETRY_LOG_H_
