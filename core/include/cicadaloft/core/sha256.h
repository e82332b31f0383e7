#ifndef CICADALOFT_CORE_SHA256_H_
#define CICADALOFT_CORE_SHA256_H_

#include <string>
#include <string_view>

namespace cicadaloft {

/// @return the SHA-256 of `text` as 64 lower-case hex digits.
std::string Sha256Hex(std::string_view text);

/// Compares without telling by its duration where the texts differ.
bool EqualInConstantTime(std::string_view left, std::string_view right);

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_SHA256_H_
