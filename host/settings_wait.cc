#include "settings_wait.h"

#include <utility>

#include "cicadaloft/core/backoff.h"
#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/forwarding/with_timeout.h"
#include "cicadaloft/settings/settings_reader.h"
#include "cicadaloft/telemetry/log.h"

namespace cicadaloft {
namespace {

constexpr Duration kMinReadDelay = std::chrono::milliseconds(10);
constexpr Duration kMaxReadDelay = std::chrono::milliseconds(100);

}  // namespace

boost::asio::awaitable<Result<HostSettings>> AwaitHostSettings(
    std::string path,
    std::shared_ptr<StopSignal> stop) {
  const auto deadline = std::chrono::steady_clock::now() + kSettingsWait;
  Backoff backoff(kMinReadDelay, kMaxReadDelay, StableHash(path));
  bool is_waiting = false;
  while (true) {
    SettingsReader reader = SettingsReader::FromFile(path);
    const bool is_final = reader.is_whole() || path.empty() ||
                          std::chrono::steady_clock::now() >= deadline;
    Result<HostSettings> settings = ReadHostSettings(std::move(reader));
    if (is_final || IsStopRequested(*stop)) {
      co_return settings;
    }
    if (!std::exchange(is_waiting, true)) {
      Log("host").Warn("waits for a whole settings file: " +
                       ErrorOf(settings).message);
    }
    co_await WithTimeout(backoff.Next(), Receive(*stop));
  }
}

}  // namespace cicadaloft
