#include "process_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdlib>
#include <exception>
#include <string>
#include <utility>

namespace cicadaloft {
namespace {

// A slow reader of standard output must never block the process.
void SetNonBlocking(int descriptor) {
  const int flags = fcntl(descriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

std::string Describe(const std::exception_ptr& exception) {
  if (!exception) {
    return "std::terminate without an exception";
  }
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "an exception of unknown type";
  }
}

/// Of the running process, for the terminate handler, which takes no argument.
ProcessLog* running_log = nullptr;

[[noreturn]] void EndByTerminate() {
  ProcessLog* const log = std::exchange(running_log, nullptr);
  if (log == nullptr) {
    std::abort();
  }
  log->End(MakeFault("std::terminate: " + Describe(std::current_exception())));
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
