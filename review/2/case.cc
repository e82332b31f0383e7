// A runner crashes on the part of the prompt after it has written the first
// event of its answer.

#include <string>

#include "../common/poison_case.h"

namespace review {
namespace {

// A part that some prompts share, one that differs, and the own part.
std::string Prefix(int number, bool is_poison) {
  const std::string second =
      is_poison ? kPoisonPart : "91bd3f0" + std::to_string(number % 4);
  return "5c1e07" + std::to_string(10 + number % 8) + ":400," + second +
         ":200," + std::to_string(10'000'000 + number) + ":100";
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const review::CaseOptions options = review::ReadCaseOptions(argc, argv);
  return review::RunPoisonCase(options,
                               review::PoisonCase{.interval_ms = 3000,
                                                  .answers_before_crash = true,
                                                  .prefix = review::Prefix});
}
