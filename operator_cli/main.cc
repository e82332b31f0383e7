#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "cicadaloft/operator_cli/arguments.h"
#include "cicadaloft/operator_cli/run.h"

namespace {

std::string EnvironmentVariable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

int Main(const std::vector<std::string>& arguments) {
  using cicadaloft::ExitCode;
  const auto invocation = cicadaloft::ParseArguments(
      arguments, {.stewards = EnvironmentVariable("CICADALOFT_STEWARD"),
                  .entries = EnvironmentVariable("CICADALOFT_ENTRY")});
  if (!cicadaloft::IsOk(invocation)) {
    std::cerr << "cicadaloft: " << cicadaloft::ErrorOf(invocation).message
              << "\n";
    return static_cast<int>(ExitCode::kBadInput);
  }
  const auto result = cicadaloft::Run(cicadaloft::ValueOf(invocation));
  std::cout << result.output << std::flush;
  if (!result.error.empty()) {
    std::cerr << "cicadaloft: " << result.error;
  }
  return static_cast<int>(result.code);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Main(std::vector<std::string>(argv + 1, argv + argc));
  } catch (const std::exception& error) {
    std::cerr << "cicadaloft: " << error.what() << "\n";
    return static_cast<int>(cicadaloft::ExitCode::kUnanswered);
  }
}
