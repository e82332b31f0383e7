#ifndef CICADALOFT_CORE_RESULT_H_
#define CICADALOFT_CORE_RESULT_H_

#include <string>
#include <utility>
#include <variant>

#include "cicadaloft/core/error_kind.h"

namespace cicadaloft {

/// A value, or the error that prevented it.
template <typename T>
using Result = std::variant<T, Error>;

/// The value of an operation that returns none.
using Done = std::monostate;

template <typename T>
bool IsOk(const Result<T>& result) {
  return result.index() == 0;
}

/// @pre IsOk(result).
template <typename T>
const T& ValueOf(const Result<T>& result) {
  return std::get<0>(result);
}

/// @pre IsOk(result).
template <typename T>
T TakeValue(Result<T>&& result) {
  return std::get<0>(std::move(result));
}

/// @pre !IsOk(result).
template <typename T>
const Error& ErrorOf(const Result<T>& result) {
  return std::get<1>(result);
}

/// @return an Error of `kind` for any Result.
inline Error MakeError(ErrorKind kind, std::string message) {
  return Error{.kind = kind, .message = std::move(message)};
}

/// Combines lambdas into one visitor for std::visit.
template <typename... Fs>
struct Overloaded : Fs... {
  using Fs::operator()...;
};
template <typename... Fs>
Overloaded(Fs...) -> Overloaded<Fs...>;

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_RESULT_H_
