#ifndef CICADALOFT_FORWARDING_HEADER_RULES_H_
#define CICADALOFT_FORWARDING_HEADER_RULES_H_

#include <string>
#include <string_view>
#include <vector>

#include "cicadaloft/forwarding/messages.h"

namespace cicadaloft {

/// @return the fields that concern more than one connection.
std::vector<HeaderField> EndToEndFields(const std::vector<HeaderField>& fields);

/// @return the fields of a caller's request that a target may see.
/// @param credential the caller's key; a field that holds it is left out.
std::vector<HeaderField> FieldsForTarget(const std::vector<HeaderField>& fields,
                                         std::string_view credential);

/// @return the fields of a target's answer that a caller may see. The body's
/// framing is left out; it is chosen anew for the caller's connection.
std::vector<HeaderField> FieldsForCaller(
    const std::vector<HeaderField>& fields);

/// @return the value of the first field of this name, or null.
const std::string* FindField(const std::vector<HeaderField>& fields,
                             std::string_view name);

/// @param authorization value of an Authorization field, or null.
/// @return the credential after "Bearer"; empty if there is none.
std::string BearerCredential(const std::string* authorization);

/// @return whether the names are the same but for the case of letters.
bool EqualsIgnoreCase(std::string_view left, std::string_view right);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_HEADER_RULES_H_
