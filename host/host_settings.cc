#include "host_settings.h"

#include "cicadaloft/telemetry/log.h"

namespace cicadaloft {
namespace {

// The published bounds of the deployments known so far, for settings that
// leave them out.
constexpr Duration kUsualStopTime = std::chrono::seconds(8);
constexpr Duration kDefaultHandoverDelay = std::chrono::seconds(3);
constexpr double kUsualRetryRatio = 0.2;
constexpr double kMostCores = 1024;
constexpr double kUsualRetrySlack = 50;
constexpr double kMostRetrySlack = 1'000'000;
constexpr double kUsualLimitOvershoot = 0.1;
constexpr double kMostLimitSlack = 1'000'000'000;
constexpr Duration kUsualLimitWindow = std::chrono::seconds(8);
constexpr Duration kUsualDrainTime = std::chrono::seconds(2);

}  // namespace

Result<HostSettings> ReadHostSettings(SettingsReader reader) {
  HostSettings settings{
      .host = HostId(reader.Text("host")),
      .data_centre = DataCentreId(reader.Text("data_centre")),
      .listen = reader.Address("listen"),
      .ready_listen = reader.Address("ready_listen"),
      .admin_listen = reader.Address("admin_listen"),
      .peer_listen = reader.Address("peer_listen"),
      .own_listen = reader.TextOr("own_listen", ""),
      .store = reader.Address("store"),
      .is_first_start = reader.BoolOr("first_start", false),
      .cores = reader.NumberOr("cores", 1, kMostCores),
      .stop_time = reader.DurationOr("stop_time", kUsualStopTime),
      .retry_ratio = reader.NumberOr("retry_ratio", kUsualRetryRatio, 1),
      .retry_slack =
          reader.NumberOr("retry_slack", kUsualRetrySlack, kMostRetrySlack),
      .limit_overshoot =
          reader.NumberOr("limit_overshoot", kUsualLimitOvershoot, 1),
      .limit_slack = reader.NumberOr("limit_slack", 0, kMostLimitSlack),
      .limit_window = reader.DurationOr("limit_window", kUsualLimitWindow),
      .drain_time = reader.DurationOr("drain_time", kUsualDrainTime),
      .handover_delay = reader.DurationOr("holder_gap", kDefaultHandoverDelay),
      .log_level = reader.Choice("log_level", kLogLevels)};
  const Result<Done> done = reader.Finish();
  if (!IsOk(done)) {
    return ErrorOf(done);
  }
  return settings;
}

}  // namespace cicadaloft
