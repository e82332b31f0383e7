#ifndef CICADALOFT_CODEC_JSON_READER_H_
#define CICADALOFT_CODEC_JSON_READER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cicadaloft/codec/json.h"
#include "cicadaloft/core/result.h"

namespace cicadaloft {

/// How decoding treats object fields that the aggregate doesn't have.
enum class UnknownFields { kRefused, kIgnored };

/// State of decoding one value: the current path in it, and the first error.
/// After an error decoding continues with default values, so that each type is
/// decoded in one expression and the error is checked once, by Finish().
class JsonReader {
 public:
  explicit JsonReader(UnknownFields unknown_fields = UnknownFields::kRefused)
      : unknown(unknown_fields) {}

  UnknownFields unknown_fields() const { return this->unknown; }

  /// Records an error at the current path, unless there already is one.
  /// @param expected the message: what was expected here.
  void Fail(std::string_view expected);

  bool failed() const { return this->message.has_value(); }

  /// Calls `read` with a field of an object added to the path.
  /// @param key the field's name; must outlive the call.
  template <typename Read>
  auto InField(std::string_view key, Read read) {
    const PathScope scope(this->path, PathStep{.key = key});
    return read();
  }

  /// Calls `read` with an element of an array added to the path.
  template <typename Read>
  auto InElement(std::size_t index, const Json& element, Read read) {
    const PathScope scope(this->path,
                          PathStep{.index = index, .element = &element});
    return read();
  }

  /// @return the value, or the first error, as one of `kind`.
  template <typename T>
  Result<T> Finish(T&& value, ErrorKind kind) const {
    if (this->failed()) {
      return cicadaloft::MakeError(kind, *this->message);
    }
    return std::forward<T>(value);
  }

 private:
  struct PathStep {
    std::string_view key;
    std::size_t index = 0;
    const Json* element = nullptr;  ///< Set for array elements; then no key.
  };

  class PathScope {
   public:
    PathScope(std::vector<PathStep>& path, const PathStep& step) : path(path) {
      path.push_back(step);
    }
    ~PathScope() { this->path.pop_back(); }
    PathScope(const PathScope&) = delete;
    PathScope& operator=(const PathScope&) = delete;

   private:
    std::vector<PathStep>& path;
  };

  static std::string FormatPathStep(const PathStep& step);

  UnknownFields unknown;
  std::vector<PathStep> path;
  std::optional<std::string> message;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CODEC_JSON_READER_H_
