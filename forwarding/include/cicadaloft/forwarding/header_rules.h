#ifndef CICADALOFT_FORWARDING_HEADER_RULES_H_
#define CICADALOFT_FORWARDING_HEADER_RULES_H_

#include <string>
#include <string_view>
#include <vector>

#include "cicadaloft/responses/header_field.h"

namespace cicadaloft {

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
