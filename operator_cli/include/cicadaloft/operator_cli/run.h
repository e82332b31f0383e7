#ifndef CICADALOFT_OPERATOR_CLI_RUN_H_
#define CICADALOFT_OPERATOR_CLI_RUN_H_

#include "cicadaloft/operator_cli/command.h"

namespace cicadaloft {

/// Carries a command out.
/// @return what is to be printed, and the exit code.
CommandResult Run(const Invocation& invocation);

}  // namespace cicadaloft

#endif  // CICADALOFT_OPERATOR_CLI_RUN_H_
