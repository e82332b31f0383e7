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

/// What becomes of fields that an aggregate does not have.
enum class UnknownFields { kRefused, kIgnored };

/// Knows where in a value the reading stands, and keeps the first error.
/// Readers go on with default values after an error; so each type is read in
/// one expression, and the error is asked for once, at the end.
class JsonReader {
 public:
  explicit JsonReader(UnknownFields unknown_fields = UnknownFields::kRefused)
      : unknown(unknown_fields) {}

  UnknownFields unknown_fields() const { return this->unknown; }

  /// Keeps an error unless there is one.
  /// @param expected says what should have stood here.
  void Fail(std::string_view expected);

  bool failed() const { return this->message.has_value(); }

  /// Reads a part of a value.
  /// @param key the part's name in its object; it outlives the call.
  template <typename Read>
  auto InField(std::string_view key, Read read) {
    const Scope scope(this->path, Place{.key = key});
    return read();
  }

  /// Reads an element of an array.
  template <typename Read>
  auto InElement(std::size_t index, const Json& element, Read read) {
    const Scope scope(this->path, Place{.index = index, .element = &element});
    return read();
  }

  /// @return the value, or the error if one was met.
  template <typename T>
  Result<T> Finish(T&& value, ErrorKind kind) const {
    if (this->failed()) {
      return cicadaloft::MakeError(kind, *this->message);
    }
    return std::forward<T>(value);
  }

 private:
  struct Place {
    std::string_view key;
    std::size_t index = 0;
    const Json* element = nullptr;  ///< Set for elements of arrays.
  };

  class Scope {
   public:
    Scope(std::vector<Place>& path, const Place& place) : path(path) {
      path.push_back(place);
    }
    ~Scope() { this->path.pop_back(); }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

   private:
    std::vector<Place>& path;
  };

  static std::string TextOf(const Place& place);

  UnknownFields unknown;
  std::vector<Place> path;
  std::optional<std::string> message;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CODEC_JSON_READER_H_
