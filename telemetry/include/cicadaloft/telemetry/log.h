#ifndef CICADALOFT_TELEMETRY_LOG_H_
#define CICADALOFT_TELEMETRY_LOG_H_

#include <array>
#include <string>
#include <string_view>

namespace cicadaloft {

/// Names of the log levels in settings, the default first.
inline constexpr std::array<std::string_view, 4> kLogLevels = {"info", "debug",
                                                               "warn", "error"};

/// Sets the process's log up: one line a record to standard error, with time,
/// level and component. It is written until the session ends.
class LogSession {
 public:
  /// @param level one of kLogLevels; records below it are left out.
  explicit LogSession(std::string_view level);
  ~LogSession();
  LogSession(const LogSession&) = delete;
  LogSession& operator=(const LogSession&) = delete;
};

/// The log of one component. Without a LogSession nothing is written.
class Log {
 public:
  explicit Log(std::string component);

  void Debug(std::string_view text) const;
  void Info(std::string_view text) const;
  void Warn(std::string_view text) const;
  void Error(std::string_view text) const;

 private:
  std::string component;
};

/// @return the text with every control character replaced, so that a record
/// stays on one line whatever a peer has sent.
std::string OneLine(std::string_view text);

}  // namespace cicadaloft

#endif  // CICADALOFT_TELEMETRY_LOG_H_
