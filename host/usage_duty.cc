#include "usage_duty.h"

#include <cstdint>

#include "cicadaloft/forwarding/boot_clock.h"

namespace cicadaloft {

bool ReportsUsage(const HostSettings& settings) {
  return settings.duties && settings.duties->usage_reports;
}

std::optional<UsageSettings> MakeUsageSettings(const HostSettings& settings) {
  if (!ReportsUsage(settings)) {
    return std::nullopt;
  }
  return UsageSettings{
      .host = settings.host,
      .process = static_cast<std::uint64_t>(BootClock{}.UnixMilliseconds()),
      .window = settings.duties->usage_window,
      .delay = settings.duties->usage_delay,
      .calls_per_second = settings.duties->calls_per_second};
}

}  // namespace cicadaloft
