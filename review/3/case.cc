// The part of the prompt that crashes runners is the 17th of the prompt.

#include <string>

#include "../common/poison_case.h"

namespace review {
namespace {

constexpr int kPartsBefore = 16;

// Sixteen parts that all prompts share, one that differs, and the own part.
std::string Prefix(int number, bool is_poison) {
  std::string prefix;
  for (int i = 0; i < kPartsBefore; ++i) {
    prefix += "5c1e07" + std::to_string(10 + i) + ":40,";
  }
  prefix += is_poison ? std::string(kPoisonPart) + ":40,"
                      : "91bd3f0" + std::to_string(number % 4) + ":40,";
  return prefix + std::to_string(10'000'000 + number) + ":20";
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const review::CaseOptions options = review::ReadCaseOptions(argc, argv);
  return review::RunPoisonCase(
      options,
      review::PoisonCase{.interval_ms = 3000, .prefix = review::Prefix});
}
