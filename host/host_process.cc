#include "host_process.h"

#include <utility>

#include "cicadaloft/core/result.h"
#include "cicadaloft/telemetry/log.h"
#include "host_listeners.h"
#include "host_runtime.h"
#include "host_settings.h"
#include "settings_wait.h"

namespace cicadaloft {
namespace {

constexpr char kStoppedInStart[] = "before the host served";

}  // namespace

boost::asio::awaitable<ProcessEnd> RunHost(boost::asio::io_context& context,
                                           std::string settings_path,
                                           ProcessLog& log,
                                           std::shared_ptr<StopSignal> stop) {
  const auto settings =
      co_await AwaitHostSettings(std::move(settings_path), stop);
  if (IsStopRequested(*stop)) {
    co_return MakeStopped(kStoppedInStart);
  }
  if (!IsOk(settings)) {
    co_return MakeStartFailed(ErrorOf(settings));
  }
  log.SetLevel(ValueOf(settings).log_level);
  const auto listeners = co_await AwaitHostListeners(ValueOf(settings), stop);
  if (IsStopRequested(*stop)) {
    co_return MakeStopped(kStoppedInStart);
  }
  if (!IsOk(listeners)) {
    co_return MakeStartFailed(ErrorOf(listeners));
  }
  const auto runtime = HostRuntime::Start(context, ValueOf(settings),
                                          ValueOf(listeners), log.output());
  Log("host").Info("started " + ValueOf(settings).host.value() + " in " +
                   ValueOf(settings).data_centre.value());
  co_await Receive(*stop);
  co_await runtime->Stop();
  co_return MakeStopped("as asked");
}

}  // namespace cicadaloft
