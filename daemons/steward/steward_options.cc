#include "steward_options.h"

#include <limits>

#include "cicadaloft/telemetry/log.h"

namespace cicadaloft {
namespace {

StewardSettings ReadSettings(SettingsReader& reader,
                             const std::string& peer_address) {
  const StewardSettings defaults{};
  const auto time = [&](const char* field, Duration fallback) {
    return reader.TimeOr(field, fallback);
  };
  return StewardSettings{
      .self = Member{.host = HostId(reader.Text("host"))},
      .data_centre = DataCentreId(reader.Text("data_centre")),
      .peer_address = peer_address,
      .lease_term = time("lease_term", defaults.lease_term),
      .renew_interval = time("renew_interval", defaults.renew_interval),
      .drift_bound = time("drift_bound", defaults.drift_bound),
      .suspension_limit = time("suspension_limit", defaults.suspension_limit),
      .heartbeat_interval =
          time("heartbeat_interval", defaults.heartbeat_interval),
      .poll_interval = time("poll_interval", defaults.poll_interval),
      .order_term = time("order_term", defaults.order_term),
      .checkpoint_records = reader.WholeOr(
          "checkpoint_records", defaults.checkpoint_records,
          {.least = 1, .most = std::numeric_limits<std::uint32_t>::max()})};
}

}  // namespace

Result<StewardOptions> ReadStewardOptions(SettingsReader reader) {
  const std::string peer_listen = reader.Address("peer_listen");
  const std::string peer_address =
      reader.AddressOr("peer_address", "peer_listen");
  StewardOptions options{.settings = ReadSettings(reader, peer_address),
                         .peer_listen = peer_listen,
                         .admin_listen = reader.Address("admin_listen"),
                         .platform = reader.Address("platform"),
                         .link_secret = reader.Secret("link_secret"),
                         .log_level = reader.Choice("log_level", kLogLevels)};
  const Result<Done> done = reader.Finish();
  if (!IsOk(done)) {
    return ErrorOf(done);
  }
  if (options.settings.renew_interval >= options.settings.lease_term) {
    return Fail(ErrorKind::kSettingsInvalid,
                "renew_interval: expected a time shorter than lease_term");
  }
  return options;
}

}  // namespace cicadaloft
