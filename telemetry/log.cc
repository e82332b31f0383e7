#include "cicadaloft/telemetry/log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <algorithm>
#include <memory>

namespace cicadaloft {
namespace {

constexpr char kPattern[] = "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %c %m%n";

struct Library {
  Library() { log4cplus::Logger::getRoot().setLogLevel(kSilent); }

  static constexpr log4cplus::LogLevel kSilent = log4cplus::OFF_LOG_LEVEL;
  const log4cplus::Initializer initializer;
};

void UseLibrary() {
  static const Library kLibrary;
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
  UseLibrary();
  const log4cplus::Logger logger = log4cplus::Logger::getInstance(component);
  if (logger.isEnabledFor(level)) {
    logger.forcedLog(level, OneLine(text));
  }
}

}  // namespace

LogSession::LogSession(std::string_view level) {
  UseLibrary();
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(kPattern));
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

void Log::Debug(std::string_view text) const {
  Write(this->component, log4cplus::DEBUG_LOG_LEVEL, text);
}

void Log::Info(std::string_view text) const {
  Write(this->component, log4cplus::INFO_LOG_LEVEL, text);
}

void Log::Warn(std::string_view text) const {
  Write(this->component, log4cplus::WARN_LOG_LEVEL, text);
}

void Log::Error(std::string_view text) const {
  Write(this->component, log4cplus::ERROR_LOG_LEVEL, text);
}

std::string OneLine(std::string_view text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  std::string line(text);
  std::ranges::replace_if(
      line, [](unsigned char c) { return c < kFirstPrintable || c == kDelete; },
      ' ');
  return line;
}

}  // namespace cicadaloft
