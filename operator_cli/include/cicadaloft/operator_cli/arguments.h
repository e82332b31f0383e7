#ifndef CICADALOFT_OPERATOR_CLI_ARGUMENTS_H_
#define CICADALOFT_OPERATOR_CLI_ARGUMENTS_H_

#include <string>
#include <vector>

#include "cicadaloft/core/result.h"
#include "cicadaloft/operator_cli/command.h"

namespace cicadaloft {

/// What the environment says in place of options.
struct CliEnvironment {
  const std::string stewards;  ///< CICADALOFT_STEWARD
  const std::string entries;   ///< CICADALOFT_ENTRY
};

/// Reads the command line.
/// @param arguments without the program's name.
/// @return what is asked for, or kMalformedRequest with the usage.
Result<Invocation> ParseArguments(const std::vector<std::string>& arguments,
                                  const CliEnvironment& environment);

}  // namespace cicadaloft

#endif  // CICADALOFT_OPERATOR_CLI_ARGUMENTS_H_
