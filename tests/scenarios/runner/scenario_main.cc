// Runs scenarios on the virtual clock.

#include <docopt/docopt.h>

#include <exception>
#include <iostream>

#include "cicadaloft/core/result.h"
#include "scenarios/runner/scenario.h"

namespace cicadaloft::scenarios {
namespace {

constexpr char kUsage[] = R"(Runs scenarios on a virtual clock.

Usage:
  scenario_runner [--seed N] [--seeds N] [--trace] [--table] FILE...

Options:
  --seed N    First seed of the world's random numbers [default: 1].
  --seeds N   Seeds to run, one after another [default: 1].
  --trace     Print every decision line.
  --table     Print the figures.

Exits with 0 if every promise and expectation held, with 1 if not, and with 2
for a scenario that can't be read.
)";

bool RunFile(const std::string& file, const ScenarioOptions& options) {
  const Result<std::vector<ScriptLine>> lines = ReadScript(file);
  if (!IsOk(lines)) {
    throw std::runtime_error(ErrorOf(lines).message);
  }
  Scenario scenario(ValueOf(lines), options);
  const bool is_ok = scenario.Run();
  std::cout << (is_ok ? "ok " : "FAILED ") << file << " seed " << options.seed
            << "\n";
  return is_ok;
}

}  // namespace
}  // namespace cicadaloft::scenarios

int main(int argc, char** argv) {
  using namespace cicadaloft::scenarios;
  auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  constexpr int kUnreadable = 2;
  bool all_ok = true;
  try {
    const long first = arguments["--seed"].asLong();
    for (long seed = first; seed < first + arguments["--seeds"].asLong();
         ++seed) {
      for (const std::string& file : arguments["FILE"].asStringList()) {
        all_ok = RunFile(file, {.seed = static_cast<std::uint64_t>(seed),
                                .trace = arguments["--trace"].asBool(),
                                .table = arguments["--table"].asBool()}) &&
                 all_ok;
      }
    }
  } catch (const std::exception& error) {
    std::cerr << "scenario_runner: " << error.what() << "\n";
    return kUnreadable;
  }
  return all_ok ? 0 : 1;
}
