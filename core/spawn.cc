#include "cicadaloft/core/spawn.h"

namespace cicadaloft {

std::string DescribeException(const std::exception_ptr& exception) {
  if (!exception) {
    return "no exception";
  }
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "an exception of unknown type";
  }
}

}  // namespace cicadaloft
