#include "host_settings.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "cicadaloft/settings/socket_address.h"
#include "cicadaloft/telemetry/log.h"

namespace cicadaloft {
namespace {

// Defaults of optional fields, from the limits that the deployments known so
// far publish.
constexpr Duration kDefaultStopTime = std::chrono::seconds(8);
constexpr Duration kDefaultHandoverDelay = std::chrono::seconds(3);
constexpr double kDefaultRetryRatio = 0.2;
constexpr double kMaxCores = 1024;
constexpr double kDefaultRetrySlack = 50;
constexpr double kMaxRetrySlack = 1'000'000;
constexpr double kDefaultLimitOvershoot = 0.1;
constexpr double kMaxLimitSlack = 1'000'000'000;
constexpr Duration kDefaultLimitWindow = std::chrono::seconds(8);
constexpr Duration kDefaultDrainTime = std::chrono::seconds(2);

constexpr double kDefaultDutyCallsPerSecond = 10;
constexpr double kMaxDutyCallsPerSecond = 10'000;
constexpr Duration kDefaultUsageWindow = std::chrono::seconds(5);
constexpr Duration kDefaultUsageDelay = std::chrono::seconds(10);
/// Hosts report their counts once a second, and two calls follow.
constexpr DurationRange kUsageWindowRange{.min = std::chrono::seconds(1),
                                          .max = std::chrono::hours(1)};
constexpr DurationRange kUsageDelayRange{.min = std::chrono::seconds(3),
                                         .max = std::chrono::hours(1)};

std::optional<DutySettings> ReadDutySettings(SettingsReader& reader) {
  if (!reader.HasSection("duties")) {
    return std::nullopt;
  }
  // The platform may list duties that this version doesn't know.
  const std::vector<std::string> names = reader.TextList("duties.names");
  const auto has = [&](std::string_view name) {
    return std::ranges::find(names, name) != names.end();
  };
  return DutySettings{
      .address = reader.PeerAddress("duties.address"),
      .calls_per_second = reader.PositiveNumberOr("duties.calls_per_second",
                                                  kDefaultDutyCallsPerSecond,
                                                  kMaxDutyCallsPerSecond),
      .usage_reports = has("usage"),
      .scaling = has("scaling"),
      .usage_window = reader.DurationIn("duties.usage_window",
                                        kDefaultUsageWindow, kUsageWindowRange),
      .usage_delay = reader.DurationIn("duties.usage_delay", kDefaultUsageDelay,
                                       kUsageDelayRange)};
}

/// @return the port below that of `peer_listen`, if it lies above that of
/// `admin_listen` and the host has no other use for it; else an empty string.
std::string DefaultForwardListen(const HostSettings& settings) {
  const auto peer = ParseSocketAddress(settings.peer_listen);
  const auto admin = ParseSocketAddress(settings.admin_listen);
  if (!IsOk(peer) || !IsOk(admin) || ValueOf(peer).ip != ValueOf(admin).ip ||
      ValueOf(peer).port <= ValueOf(admin).port + 1) {
    return {};
  }
  std::string address =
      ValueOf(peer).ip + ":" + std::to_string(ValueOf(peer).port - 1);
  const std::array used = {settings.listen, settings.ready_listen,
                           settings.own_listen, settings.store};
  return std::ranges::find(used, address) == used.end() ? address
                                                        : std::string();
}

}  // namespace

Result<HostSettings> ReadHostSettings(SettingsReader reader) {
  HostSettings settings{
      .host = HostId(reader.Text("host")),
      .data_centre = DataCentreId(reader.Text("data_centre")),
      .listen = reader.Address("listen"),
      .ready_listen = reader.Address("ready_listen"),
      .admin_listen = reader.Address("admin_listen"),
      .peer_listen = reader.Address("peer_listen"),
      .forward_listen = reader.AddressOr("forward_listen", ""),
      .own_listen = reader.TextOr("own_listen", ""),
      .store = reader.Address("store"),
      .is_first_start = reader.BoolOr("first_start", false),
      .cores = reader.NumberOr("cores", 1, kMaxCores),
      .stop_time = reader.DurationOr("stop_time", kDefaultStopTime),
      .retry_ratio = reader.NumberOr("retry_ratio", kDefaultRetryRatio, 1),
      .retry_slack =
          reader.NumberOr("retry_slack", kDefaultRetrySlack, kMaxRetrySlack),
      .limit_overshoot =
          reader.NumberOr("limit_overshoot", kDefaultLimitOvershoot, 1),
      .limit_slack = reader.NumberOr("limit_slack", 0, kMaxLimitSlack),
      .limit_window = reader.DurationOr("limit_window", kDefaultLimitWindow),
      .drain_time = reader.DurationOr("drain_time", kDefaultDrainTime),
      .handover_delay = reader.DurationOr("holder_gap", kDefaultHandoverDelay),
      .log_level = reader.Choice("log_level", kLogLevels),
      .duties = ReadDutySettings(reader)};
  const Result<Done> done = reader.Finish();
  if (!IsOk(done)) {
    return ErrorOf(done);
  }
  if (settings.forward_listen.empty()) {
    settings.forward_listen = DefaultForwardListen(settings);
    settings.is_forward_listen_default = true;
  }
  return settings;
}

}  // namespace cicadaloft
