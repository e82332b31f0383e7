#ifndef CICADALOFT_RESPONSES_HEADER_FIELD_H_
#define CICADALOFT_RESPONSES_HEADER_FIELD_H_

#include <compare>
#include <string>
#include <string_view>

namespace cicadaloft {

/// A field line of an HTTP message.
struct HeaderField {
  std::string name;
  std::string value;

  friend auto operator<=>(const HeaderField&, const HeaderField&) = default;
  friend bool operator==(const HeaderField&, const HeaderField&) = default;
};

/// @return whether the texts are equal apart from the case of ASCII letters.
bool EqualsIgnoreCase(std::string_view left, std::string_view right);

}  // namespace cicadaloft

#endif  // CICADALOFT_RESPONSES_HEADER_FIELD_H_
