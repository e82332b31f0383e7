#include "process_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <string>
#include <utility>

#include "cicadaloft/core/spawn.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {
namespace {

/// Interval at which buffered log lines are written to standard output.
constexpr Duration kFlushInterval = std::chrono::milliseconds(100);

// A slow reader of standard output must never block the process.
void SetNonBlocking(int descriptor) {
  const int flags = fcntl(descriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

/// Of the running process, for the terminate handler, which takes no argument.
ProcessLog* running_log = nullptr;

[[noreturn]] void EndByTerminate() {
  ProcessLog* const log = std::exchange(running_log, nullptr);
  if (log == nullptr) {
    std::abort();
  }
  log->End(MakeFault("std::terminate: " +
                     DescribeException(std::current_exception())));
}

}  // namespace

ProcessLog::ProcessLog() {
  SetNonBlocking(STDOUT_FILENO);
  this->SetLevel(kLogLevels.front());
  running_log = this;
  std::set_terminate(EndByTerminate);
}

void ProcessLog::SetLevel(std::string_view level) {
  this->session.emplace(level, this->buffer);
}

void ProcessLog::Flush() {
  this->buffer->Flush(STDOUT_FILENO);
}

boost::asio::awaitable<void> ProcessLog::RunFlush() {
  const Log log("log");
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  while (true) {
    timer.expires_after(kFlushInterval);
    co_await timer.async_wait(boost::asio::use_awaitable);
    const std::uint64_t dropped = this->buffer->TakeDroppedCount();
    if (dropped > 0) {
      log.Warn("log lines dropped because the output buffer was full: " +
               std::to_string(dropped));
    }
    this->Flush();
  }
}

void ProcessLog::End(const ProcessEnd& end) {
  const Log log("process");
  if (end.code == ExitCode::kStopped) {
    log.Info(Format(end));
  } else {
    log.Error(Format(end));
  }
  this->Flush();
  std::_Exit(static_cast<int>(end.code));
}

}  // namespace cicadaloft
