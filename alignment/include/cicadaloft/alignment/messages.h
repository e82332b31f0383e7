#ifndef CICADALOFT_ALIGNMENT_MESSAGES_H_
#define CICADALOFT_ALIGNMENT_MESSAGES_H_

#include <compare>
#include <optional>
#include <string>

#include "cicadaloft/configuration/active_configuration.h"
#include "cicadaloft/core/id.h"

namespace cicadaloft {

/// Compares this host's configuration with that of another host: one that has
/// forwarded a request to it, or that may take requests of this host. The one
/// with the older configuration gets the newer. A ConfigurationsCompared
/// follows.
struct CompareConfigurations {
  const HostId host;
  const std::string address;  ///< Of its listener for forwarded requests.
  const ConfigurationVersion version;  ///< Of this host; 0: it has none.
  /// Of this host, if the other one is expected to need it; else null.
  const ActiveConfigurationPtr configuration;

  friend auto operator<=>(const CompareConfigurations&,
                          const CompareConfigurations&) = default;
  friend bool operator==(const CompareConfigurations&,
                         const CompareConfigurations&) = default;
};

/// The outcome of a comparison.
struct ConfigurationsCompared {
  const HostId host;
  /// That the other host has adopted; none: it hasn't answered, or is of an
  /// earlier version.
  const std::optional<ConfigurationVersion> version;
  /// The other host's, if this host's is older; else null.
  const ActiveConfigurationPtr newer;
  /// The other host reaches targets, and may take requests of this one.
  const bool reaches_targets = true;

  friend auto operator<=>(const ConfigurationsCompared&,
                          const ConfigurationsCompared&) = default;
  friend bool operator==(const ConfigurationsCompared&,
                         const ConfigurationsCompared&) = default;
};

/// Another host compares its configuration with this host's. An
/// AnswerComparison follows.
struct ComparisonArrived {
  const RequestId request;  ///< Assigned by this host; unique.
  const HostId host;
  const ConfigurationVersion version;  ///< That the other host has.
  /// The other host's, if it expects this host to need it; else null.
  const ActiveConfigurationPtr configuration;

  friend auto operator<=>(const ComparisonArrived&,
                          const ComparisonArrived&) = default;
  friend bool operator==(const ComparisonArrived&,
                         const ComparisonArrived&) = default;
};

/// Answers the comparison of another host.
struct AnswerComparison {
  const RequestId request;
  const ConfigurationVersion version;  ///< That this host has now.
  /// This host's, if the other host's is older; else null.
  const ActiveConfigurationPtr newer;
  const bool reaches_targets = true;  ///< Of this host.

  friend auto operator<=>(const AnswerComparison&,
                          const AnswerComparison&) = default;
  friend bool operator==(const AnswerComparison&,
                         const AnswerComparison&) = default;
};

/// This host has got a configuration from another host, and has adopted it.
struct ConfigurationReceived {
  const ActiveConfigurationPtr configuration;

  friend auto operator<=>(const ConfigurationReceived&,
                          const ConfigurationReceived&) = default;
  friend bool operator==(const ConfigurationReceived&,
                         const ConfigurationReceived&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ALIGNMENT_MESSAGES_H_
