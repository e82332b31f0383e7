#include "cicadaloft/poison/fingerprint.h"

#include <cstddef>
#include <ranges>

namespace cicadaloft {
namespace {

/// Bounds the length of a log line.
constexpr std::size_t kMaxDescribed = 8;

}  // namespace

std::string_view ToString(FingerprintKind kind) {
  switch (kind) {
    case FingerprintKind::kContent:
      return "content";
    case FingerprintKind::kStartedContent:
      return "started_content";
    case FingerprintKind::kPromptSegment:
      return "prompt_segment";
    case FingerprintKind::kAdapter:
      return "adapter";
    case FingerprintKind::kModel:
      return "model";
    case FingerprintKind::kPath:
      return "path";
  }
  return "unknown";
}

std::string Describe(const Fingerprints& fingerprints) {
  std::string text;
  for (const Fingerprint& fingerprint :
       fingerprints | std::views::take(kMaxDescribed)) {
    text += (text.empty() ? "" : ",") +
            std::string(ToString(fingerprint.kind)) + ":" +
            std::to_string(fingerprint.hash);
  }
  return text;
}

}  // namespace cicadaloft
