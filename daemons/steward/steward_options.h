#ifndef CICADALOFT_DAEMONS_STEWARD_STEWARD_OPTIONS_H_
#define CICADALOFT_DAEMONS_STEWARD_STEWARD_OPTIONS_H_

#include <compare>
#include <string>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/settings/settings_reader.h"
#include "cicadaloft/steward/steward_settings.h"

namespace cicadaloft {

/// A steward's settings file.
struct StewardOptions {
  /// Its incarnation is 0 and its peer address may have port 0: both are known
  /// when the process runs.
  const StewardSettings settings;
  const std::string peer_listen;
  const std::string admin_listen;
  const std::string platform;
  const std::string link_secret;
  const std::string log_level;

  friend auto operator<=>(const StewardOptions&,
                          const StewardOptions&) = default;
  friend bool operator==(const StewardOptions&,
                         const StewardOptions&) = default;
};

/// @return the options, or kSettingsInvalid with one line for the operator.
Result<StewardOptions> ReadStewardOptions(SettingsReader reader);

}  // namespace cicadaloft

#endif  // CICADALOFT_DAEMONS_STEWARD_STEWARD_OPTIONS_H_
