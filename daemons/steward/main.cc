#include <docopt/docopt.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "cicadaloft/telemetry/log.h"
#include "steward_daemon.h"
#include "steward_options.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;

constexpr char kVersion[] = "cicadaloft-steward 0.1.0";
constexpr char kUsage[] =
    R"(Control of one host: log, members, placement, links.

Usage:
  cicadaloft-steward --settings FILE [--check]
  cicadaloft-steward (-h | --help)
  cicadaloft-steward --version

Options:
  --settings FILE  Settings, JSON with comments.
  --check          Check the settings and exit.
  -h --help        Show this text.
  --version        Show the version.
)";

constexpr int kExitStopTimeout = 1;
constexpr int kExitSettings = 2;
constexpr std::chrono::seconds kStopLimit{30};
/// The last messages to other hosts leave within this time.
constexpr std::chrono::milliseconds kLinger{100};
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

Incarnation IncarnationOfNow() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count()));
}

/// Waits for a signal, then for the planned stop.
/// @param exit_code is set when the context stops.
asio::awaitable<void> StopOnSignal(asio::io_context& context,
                                   StewardDaemon& daemon,
                                   int& exit_code) {
  asio::signal_set signals(context, SIGTERM, SIGINT);
  co_await signals.async_wait(kNoThrow);
  Log("steward").Info("stop requested");
  const bool has_stopped = co_await daemon.Stop(kStopLimit);
  asio::steady_timer timer(context);
  timer.expires_after(kLinger);
  co_await timer.async_wait(kNoThrow);
  if (!has_stopped) {
    Log("steward").Error("stop was not complete within its limit");
    exit_code = kExitStopTimeout;
  }
  context.stop();
}

int Run(const StewardOptions& options) {
  const LogSession session(options.log_level);
  asio::io_context context(1);
  const Result<std::unique_ptr<StewardDaemon>> daemon =
      StewardDaemon::Start(context, options, IncarnationOfNow());
  if (!IsOk(daemon)) {
    std::cerr << ErrorOf(daemon).message << "\n";
    return kExitSettings;
  }
  StewardDaemon& steward = *ValueOf(daemon);
  Log("steward").Info(
      "listening peer_port=" + std::to_string(steward.peer_port()) +
      " admin_port=" + std::to_string(steward.admin_port()));
  int exit_code = 0;
  asio::co_spawn(context, StopOnSignal(context, steward, exit_code),
                 asio::detached);
  context.run();
  Log("steward").Info("stopped");
  return exit_code;
}

int Main(const std::vector<std::string>& arguments) {
  auto values = docopt::docopt(kUsage, arguments, true, kVersion);
  const std::string path = values["--settings"].asString();
  const Result<StewardOptions> options =
      ReadStewardOptions(SettingsReader::FromFile(path));
  if (!IsOk(options)) {
    std::cerr << ErrorOf(options).message << "\n";
    return kExitSettings;
  }
  if (values["--check"].asBool()) {
    std::cout << path << ": ok\n";
    return 0;
  }
  return Run(ValueOf(options));
}

}  // namespace
}  // namespace cicadaloft

int main(int argc, char** argv) {
  return cicadaloft::Main({argv + 1, argv + argc});
}
