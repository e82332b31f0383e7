#include "cicadaloft/telemetry/log.h"

#include <log4cplus/appender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>

namespace cicadaloft {
namespace {

struct LogLibrary {
  LogLibrary() { log4cplus::Logger::getRoot().setLogLevel(kSilent); }

  static constexpr log4cplus::LogLevel kSilent = log4cplus::OFF_LOG_LEVEL;
  const log4cplus::Initializer initializer;
};

void InitializeLogLibrary() {
  static const LogLibrary kLogLibrary;
}

log4cplus::LogLevel LevelFromName(std::string_view name) {
  std::string upper(name);
  std::ranges::transform(upper, upper.begin(), [](unsigned char c) {
    return static_cast<char>(std::toupper(c));
  });
  return log4cplus::getLogLevelManager().fromString(upper);
}

void Write(const std::string& component,
           log4cplus::LogLevel level,
           std::string_view text) {
  InitializeLogLibrary();
  const log4cplus::Logger logger = log4cplus::Logger::getInstance(component);
  if (logger.isEnabledFor(level)) {
    logger.forcedLog(level, std::string(text));
  }
}

std::int64_t UnixMilliseconds(const log4cplus::helpers::Time& time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

/// Adds each record to the output buffer as one JSON object.
class BufferAppender : public log4cplus::Appender {
 public:
  explicit BufferAppender(std::shared_ptr<OutputBuffer> output)
      : output(std::move(output)) {}
  ~BufferAppender() override { this->destructorImpl(); }

  void close() override { this->closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::string line = "{\"unix_ms\":";
    line += std::to_string(UnixMilliseconds(event.getTimestamp()));
    line += ",\"level\":\"";
    line += log4cplus::getLogLevelManager().toString(event.getLogLevel());
    line += "\",\"component\":\"" + event.getLoggerName() + "\",";
    line += event.getMessage() + "}";
    this->output->Add(line);
  }

 private:
  const std::shared_ptr<OutputBuffer> output;
};

}  // namespace

LogSession::LogSession(std::string_view level,
                       std::shared_ptr<OutputBuffer> output) {
  InitializeLogLibrary();
  log4cplus::SharedAppenderPtr appender(new BufferAppender(std::move(output)));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(LevelFromName(level));
}

LogSession::~LogSession() {
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.setLogLevel(log4cplus::OFF_LOG_LEVEL);
  root.removeAllAppenders();
}

Log::Log(std::string component) : component(std::move(component)) {}

void Log::Info(std::string_view text) const {
  Write(this->component, log4cplus::INFO_LOG_LEVEL,
        "\"message\":" + QuoteJson(text));
}

void Log::Warn(std::string_view text) const {
  Write(this->component, log4cplus::WARN_LOG_LEVEL,
        "\"message\":" + QuoteJson(text));
}

void Log::Error(std::string_view text) const {
  Write(this->component, log4cplus::ERROR_LOG_LEVEL,
        "\"message\":" + QuoteJson(text));
}

void Log::Event(std::string_view fields) const {
  Write(this->component, log4cplus::INFO_LOG_LEVEL, fields);
}

std::string QuoteJson(std::string_view text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr char kDigits[] = "0123456789abcdef";
  std::string quoted = "\"";
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (byte < kFirstPrintable) {
      quoted += "\\u00";
      quoted += kDigits[byte >> 4U];
      quoted += kDigits[byte & 0xFU];
    } else {
      quoted += c;
    }
  }
  return quoted + '"';
}

}  // namespace cicadaloft
