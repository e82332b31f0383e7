#include "signal_task.h"

#include <algorithm>
#include <array>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>

#include "cicadaloft/core/result.h"
#include "cicadaloft/settings/settings_reader.h"
#include "cicadaloft/telemetry/log.h"
#include "host_settings.h"

namespace cicadaloft {
namespace {

constexpr std::array kSignals = {SIGTERM, SIGINT, SIGHUP};

void RecheckSettings(const std::string& path) {
  const auto settings = ReadHostSettings(SettingsReader::FromFile(path));
  Log("host").Info(
      IsOk(settings) ? "settings file is valid; changes apply after a restart"
                     : "settings file rejected: " + ErrorOf(settings).message);
}

void Unblock() {
  sigset_t set;
  sigemptyset(&set);
  std::ranges::for_each(kSignals, [&](int number) { sigaddset(&set, number); });
  sigprocmask(SIG_UNBLOCK, &set, nullptr);
}

}  // namespace

SignalTask::SignalTask(boost::asio::io_context& context)
    : stop_signal(std::make_shared<StopSignal>(context.get_executor(), 1)),
      signals(context) {
  std::signal(SIGPIPE, SIG_IGN);
  std::ranges::for_each(kSignals,
                        [this](int number) { this->signals.add(number); });
  Unblock();
}

boost::asio::awaitable<void> SignalTask::Run(std::string settings_path) {
  while (true) {
    this->Handle(co_await this->signals.async_wait(boost::asio::use_awaitable),
                 settings_path);
  }
}

void SignalTask::Handle(int number, const std::string& settings_path) {
  if (IsStopRequested(*this->stop_signal)) {
    Log("host").Info("signal " + std::to_string(number) +
                     " ignored: the host is stopping already");
  } else if (number == SIGHUP) {
    RecheckSettings(settings_path);
  } else {
    Log("host").Info("stop requested");
    this->stop_signal->Close();
  }
}

}  // namespace cicadaloft
