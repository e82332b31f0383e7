#include "cicadaloft/responses/header_field.h"

#include <boost/beast/core/string.hpp>

namespace cicadaloft {

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return boost::beast::iequals(left, right);
}

}  // namespace cicadaloft
