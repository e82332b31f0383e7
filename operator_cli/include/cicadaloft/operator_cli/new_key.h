#ifndef CICADALOFT_OPERATOR_CLI_NEW_KEY_H_
#define CICADALOFT_OPERATOR_CLI_NEW_KEY_H_

#include <string>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/tickets/messages.h"

namespace cicadaloft {

/// Random texts in hex that a key is made of.
struct KeyMaterial {
  const std::string id;
  const std::string secret;
  const std::string salt;
};

/// A key as its customer gets it, and as the configuration holds it.
struct IssuedKey {
  const std::string credential;  ///< "<key id>.<secret>".
  const ApiKey item;
};

/// @return random material, or kInternal where the system has none.
Result<KeyMaterial> DrawKeyMaterial();

IssuedKey IssueKey(const CustomerId& customer, const KeyMaterial& material);

}  // namespace cicadaloft

#endif  // CICADALOFT_OPERATOR_CLI_NEW_KEY_H_
