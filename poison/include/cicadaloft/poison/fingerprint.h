#ifndef CICADALOFT_POISON_FINGERPRINT_H_
#define CICADALOFT_POISON_FINGERPRINT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadaloft {

/// What requests with the same fingerprint have in common. The more requests
/// share a kind, the later it comes.
enum class FingerprintKind {
  kContent,         ///< Customer key, method, path and body.
  kStartedContent,  ///< The same, also for crashes in the middle of a response.
  kPromptSegment,
  kAdapter,
  kModel,
  kPath,
};

/// @return whether it identifies a whole request.
constexpr bool IsContent(FingerprintKind kind) {
  return kind == FingerprintKind::kContent ||
         kind == FingerprintKind::kStartedContent;
}

/// @return a stable token, for logs.
std::string_view ToString(FingerprintKind kind);

/// Identifies a request, or a part that several requests share.
struct Fingerprint {
  FingerprintKind kind = FingerprintKind::kContent;
  std::uint64_t hash = 0;

  friend auto operator<=>(const Fingerprint&, const Fingerprint&) = default;
  friend bool operator==(const Fingerprint&, const Fingerprint&) = default;
};

/// Those of a request, or of a block, are in order and differ from each other.
using Fingerprints = std::vector<Fingerprint>;

/// @return the first fingerprints, such as "prompt_segment:12,model:34", for
/// logs.
std::string Describe(const Fingerprints& fingerprints);

}  // namespace cicadaloft

#endif  // CICADALOFT_POISON_FINGERPRINT_H_
