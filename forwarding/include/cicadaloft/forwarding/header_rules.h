#ifndef CICADALOFT_FORWARDING_HEADER_RULES_H_
#define CICADALOFT_FORWARDING_HEADER_RULES_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/responses/header_field.h"

namespace cicadaloft {

/// Start of the names of the fields that hosts send each other. Neither targets
/// nor callers see them, and neither can set them.
inline constexpr std::string_view kHostFieldPrefix = "Cicadaloft-";
/// Field of a host's own refusal of a request that another host has forwarded:
/// the RunState as text.
inline constexpr std::string_view kRunStateField = "Cicadaloft-Run-State";

/// Field with the version of the configuration: in a request that another host
/// forwards, the one that has admitted it; in the response, the one by which
/// the helping host has decided. Hosts of earlier versions neither send nor
/// read it.
inline constexpr std::string_view kConfigurationField =
    "Cicadaloft-Configuration";

/// Field of a host's own refusal of a request that another host has forwarded:
/// "yes" if it takes other requests meanwhile. Hosts of earlier versions
/// neither send nor read it.
inline constexpr std::string_view kTakesOtherRequestsField =
    "Cicadaloft-Takes-Other-Requests";
inline constexpr std::string_view kTakesOtherRequests = "yes";

/// @return the version that a kConfigurationField states; none if there is no
/// valid one.
std::optional<ConfigurationVersion> StatedConfiguration(
    const std::vector<HeaderField>& fields);

/// @return whether hosts send each other fields of this name.
bool IsHostField(std::string_view name);

/// @return the end-to-end fields, without the hop-by-hop ones.
std::vector<HeaderField> EndToEndFields(const std::vector<HeaderField>& fields);

/// @return the fields of a caller's request that a target may see.
/// @param credential the caller's key; a field that holds it is left out.
std::vector<HeaderField> FieldsForTarget(const std::vector<HeaderField>& fields,
                                         std::string_view credential);

/// @return the fields of a target's response that a caller may see. Those that
/// frame the body are left out; the framing is chosen for the caller's
/// connection.
std::vector<HeaderField> FieldsForCaller(
    const std::vector<HeaderField>& fields);

/// @return the value of the first field of this name, or null.
const std::string* FindField(const std::vector<HeaderField>& fields,
                             std::string_view name);

/// @param authorization value of an Authorization field, or null.
/// @return the credential after "Bearer"; empty if there is none.
std::string BearerCredential(const std::string* authorization);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_HEADER_RULES_H_
