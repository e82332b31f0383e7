#include <docopt/docopt.h>
#include <unistd.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "cicadaloft/platform/protocols.h"
#include "cicadaloft/telemetry/log.h"
#include "host_runtime.h"
#include "host_settings.h"
#include "process_end.h"
#include "process_log.h"

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

void RecheckSettings(const std::string& path) {
  const auto settings = ReadHostSettings(SettingsReader::FromFile(path));
  Log("host").Info(
      IsOk(settings) ? "settings file is valid; changes apply after a restart"
                     : "settings file rejected: " + ErrorOf(settings).message);
}

// Completes when SIGTERM or SIGINT is received. SIGHUP only checks the settings
// file again.
asio::awaitable<void> AwaitStop(asio::signal_set& signals,
                                const std::string& path) {
  int number = SIGHUP;
  while (number == SIGHUP) {
    const auto [error, signal] =
        co_await signals.async_wait(asio::as_tuple(asio::use_awaitable));
    number = error ? SIGTERM : signal;
    if (number == SIGHUP) {
      RecheckSettings(path);
    }
  }
}

// Ignores further signals, which would otherwise end the process while it still
// answers requests. Runs until it is cancelled.
asio::awaitable<void> IgnoreSignals(asio::signal_set& signals) {
  while (true) {
    const int number = co_await signals.async_wait(asio::use_awaitable);
    Log("host").Info("signal " + std::to_string(number) +
                     " ignored: the host is stopping already");
  }
}

asio::awaitable<void> RunUntilStopped(asio::io_context& context,
                                      HostRuntime& runtime,
                                      std::string path) {
  using asio::experimental::awaitable_operators::operator||;
  {
    asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    co_await AwaitStop(signals, path);
    Log("host").Info("stop requested");
    co_await (runtime.Stop() || IgnoreSignals(signals));
  }
  context.stop();
}

ProcessEnd Serve(const HostSettings& settings,
                 const std::string& path,
                 ProcessLog& log) {
  log.SetLevel(settings.log_level);
  asio::io_context context(1);
  const auto runtime = HostRuntime::Start(context, settings, log.output());
  if (!IsOk(runtime)) {
    return MakeStartFailed(ErrorOf(runtime));
  }
  Log("host").Info("started " + settings.host.value() + " in " +
                   settings.data_centre.value());
  asio::co_spawn(context, RunUntilStopped(context, *ValueOf(runtime), path),
                 asio::detached);
  try {
    context.run();
  } catch (const std::exception& exception) {
    // Ends here: the tasks of `runtime` must not be destroyed half run.
    log.End(MakeFault(std::string("a handler: ") + exception.what()));
  }
  log.End(MakeStopped("as asked"));
}

int Run(const std::string& path) {
  ProcessLog log;
  Log("process").Info("process starts version=" + std::string(kVersion) +
                      " pid=" + std::to_string(getpid()) + " settings=" + path);
  log.Flush();
  const auto settings = ReadHostSettings(SettingsReader::FromFile(path));
  const ProcessEnd end = IsOk(settings) ? Serve(ValueOf(settings), path, log)
                                        : MakeStartFailed(ErrorOf(settings));
  std::cerr << end.details << "\n";
  log.End(end);
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
  std::signal(SIGPIPE, SIG_IGN);
  auto values = docopt::docopt(kUsage, arguments, true, kVersion);
  const std::string path = SettingsPath(values["--settings"]);
  return values["--check"].asBool() ? CheckSettings(path) : Run(path);
}

}  // namespace
}  // namespace cicadaloft

int main(int argc, char** argv) {
  return cicadaloft::Main({argv + 1, argv + argc});
}
