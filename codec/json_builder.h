#ifndef CICADALOFT_CODEC_JSON_BUILDER_H_
#define CICADALOFT_CODEC_JSON_BUILDER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "cicadaloft/codec/json.h"

namespace cicadaloft {

/// Builds a value from a parser's events and stops it at the limits. The
/// library asks for these names.
class JsonBuilder {
 public:
  explicit JsonBuilder(const JsonLimits& limits) : limits(limits) {}

  bool null();
  bool boolean(bool value);
  bool number_integer(Json::number_integer_t value);
  bool number_unsigned(Json::number_unsigned_t value);
  bool number_float(Json::number_float_t value, const std::string& text);
  bool string(std::string& value);
  bool binary(Json::binary_t& value);
  bool start_object(std::size_t size);
  bool key(std::string& name);
  bool end_object();
  bool start_array(std::size_t size);
  bool end_array();
  bool parse_error(std::size_t position,
                   const std::string& last_token,
                   const Json::exception& error);

  /// @return why the parser was stopped, if it was.
  const std::optional<std::string>& failure() const { return this->reason; }
  Json TakeRoot() { return std::move(this->root); }

 private:
  bool Stop(std::string why);
  /// Puts a value in its place.
  /// @return the value there, or null if a limit forbids it.
  Json* Add(Json value);
  bool Open(Json value);
  bool Close();

  JsonLimits limits;
  Json root;
  std::vector<Json*> open;  ///< Arrays and objects that have not ended.
  Json* member = nullptr;   ///< Where the value of the last key goes.
  std::size_t value_count = 0;
  std::optional<std::string> reason;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CODEC_JSON_BUILDER_H_
