#include <docopt/docopt.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "cicadaloft/core/spawn.h"
#include "cicadaloft/platform/protocols.h"
#include "cicadaloft/telemetry/log.h"
#include "host_process.h"
#include "host_settings.h"
#include "process_end.h"
#include "process_log.h"
#include "signal_task.h"
#include "standard_descriptors.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;

constexpr char kVersion[] = "cicadaloft-host 0.2.0";
// The platform defines the name of the environment variable.
const std::string kUsage =
    std::string(R"(Serves rarely used models and adapters: one process per host.

Usage:
  cicadaloft-host [--settings FILE] [--check]
  cicadaloft-host (-h | --help)
  cicadaloft-host --version

Options:
  --settings FILE  Settings, JSON with comments. Without it, the file that the
                   environment variable )") +
    platform::kSettingsPathVariable + R"( names.
  --check          Check the settings and exit.
  -h --help        Show this text.
  --version        Show the version.

Exit codes: 0 stopped as asked; 2 the start failed: wrong settings, or no
address; 3 ended by a fault of the program. The last line of the log says why.
)";

std::string SettingsPath(const docopt::value& option) {
  if (option.isString()) {
    return option.asString();
  }
  const char* const path = std::getenv(platform::kSettingsPathVariable);
  return path == nullptr ? "" : path;
}

/// Ends the process: logs how, and reports a failed start on standard error.
[[noreturn]] void End(ProcessLog& log, const ProcessEnd& end) {
  if (end.code == ExitCode::kStartFailed) {
    std::cerr << end.details << "\n";
  }
  log.End(end);
}

int Run(asio::io_context& context,
        SignalTask& signal_task,
        const std::string& path) {
  ProcessLog log;
  Log("process").Info("process starts version=" + std::string(kVersion) +
                      " pid=" + std::to_string(getpid()) + " settings=" + path);
  log.Flush();
  Spawn(context.get_executor(), "log", log.RunFlush(), EndProcess{});
  Spawn(context.get_executor(), "signals", signal_task.Run(path), EndProcess{});
  try {
    // Handles the signals that have come before the tasks of the host.
    context.poll();
    asio::co_spawn(context, RunHost(context, path, log, signal_task.stop()),
                   [&log](const std::exception_ptr& exception, auto end) {
                     if (exception) {
                       std::rethrow_exception(exception);
                     }
                     End(log, end);
                   });
    context.run();
  } catch (const TaskFailed& failed) {
    // Ends here: the tasks must not be destroyed half run.
    End(log, MakeFault(failed.what()));
  } catch (const std::exception& exception) {
    End(log, MakeFault(std::string("a handler: ") + exception.what()));
  }
  End(log, MakeFault("no task is left"));
}

int CheckSettings(const std::string& path) {
  const auto settings = ReadHostSettings(SettingsReader::FromFile(path));
  if (!IsOk(settings)) {
    std::cerr << ErrorOf(settings).message << "\n";
    return static_cast<int>(ExitCode::kStartFailed);
  }
  std::cout << path << ": ok\n";
  return static_cast<int>(ExitCode::kStopped);
}

int Main(const std::vector<std::string>& arguments) {
  OpenStandardDescriptors();
  asio::io_context context(1);
  SignalTask signal_task(context);
  auto values = docopt::docopt(kUsage, arguments, true, kVersion);
  const std::string path = SettingsPath(values["--settings"]);
  return values["--check"].asBool() ? CheckSettings(path)
                                    : Run(context, signal_task, path);
}

}  // namespace
}  // namespace cicadaloft

int main(int argc, char** argv) {
  return cicadaloft::Main({argv + 1, argv + argc});
}
