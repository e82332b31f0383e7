#ifndef CICADALOFT_CONFIGURATION_CONFIGURATION_LAG_H_
#define CICADALOFT_CONFIGURATION_CONFIGURATION_LAG_H_

#include <algorithm>
#include <compare>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// The version of the configuration that this host has adopted, and the newest
/// one that any host is known to have. Versions alone are compared, also after
/// the store has come back from an older copy: the operator writes the same
/// versions again, and no process adopts a lower one.
class ConfigurationLag {
 public:
  /// This host has adopted a version.
  void OnAdopted(ConfigurationVersion version, TimePoint now) {
    this->adopted_version = std::max(this->adopted_version, version);
    this->changed_at = now;
  }
  /// Another host has a version.
  /// @return whether it is newer than all that were known.
  bool OnHeard(ConfigurationVersion version, TimePoint now) {
    if (version <= this->newest()) {
      return false;
    }
    if (!this->IsBehind()) {
      this->changed_at = now;
    }
    this->heard_version = version;
    return true;
  }

  ConfigurationVersion adopted() const { return this->adopted_version; }
  ConfigurationVersion newest() const {
    return std::max(this->adopted_version, this->heard_version);
  }
  bool IsBehind() const { return this->heard_version > this->adopted_version; }
  /// @return whether this host is behind, and has adopted nothing for more than
  /// `time` since it has known that.
  bool IsBehindFor(Duration time, TimePoint now) const {
    return this->IsBehind() && now - this->changed_at > time;
  }
  /// @return when this host began to be behind or last adopted a version.
  TimePoint since() const { return this->changed_at; }

  friend auto operator<=>(const ConfigurationLag&,
                          const ConfigurationLag&) = default;
  friend bool operator==(const ConfigurationLag&,
                         const ConfigurationLag&) = default;

 private:
  ConfigurationVersion adopted_version;
  ConfigurationVersion heard_version;
  TimePoint changed_at{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONFIGURATION_CONFIGURATION_LAG_H_
