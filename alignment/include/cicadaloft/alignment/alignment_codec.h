#ifndef CICADALOFT_ALIGNMENT_ALIGNMENT_CODEC_H_
#define CICADALOFT_ALIGNMENT_ALIGNMENT_CODEC_H_

#include <compare>
#include <string>
#include <string_view>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/result.h"

namespace cicadaloft {

/// What hosts send each other in a comparison of their configurations, and in
/// its answer.
struct HeldConfiguration {
  HostId host;                   ///< The sender.
  ConfigurationVersion version;  ///< That it has; 0: none.
  /// As the operator has written it; empty: the other host needs none.
  std::string record;
  bool reaches_targets = true;  ///< Of the sender.

  friend auto operator<=>(const HeldConfiguration&,
                          const HeldConfiguration&) = default;
  friend bool operator==(const HeldConfiguration&,
                         const HeldConfiguration&) = default;
};

/// @return one CBOR item.
std::string EncodeHeldConfiguration(const HeldConfiguration& held);

/// @return the message, or kMalformedRequest if the bytes don't hold one.
Result<HeldConfiguration> DecodeHeldConfiguration(std::string_view bytes);

}  // namespace cicadaloft

#endif  // CICADALOFT_ALIGNMENT_ALIGNMENT_CODEC_H_
