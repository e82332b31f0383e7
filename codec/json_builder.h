#ifndef CICADALOFT_CODEC_JSON_BUILDER_H_
#define CICADALOFT_CODEC_JSON_BUILDER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "cicadaloft/codec/json.h"

namespace cicadaloft {

/// Builds a value from the parser's SAX events and stops the parser when a
/// limit is exceeded. The event functions are named by nlohmann::json's SAX
/// interface.
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

  /// @return the reason for stopping the parser, if it was stopped.
  const std::optional<std::string>& failure() const { return this->reason; }
  Json TakeRoot() { return std::move(this->root); }

 private:
  bool Stop(std::string new_reason);
  /// Adds a value to the innermost open container, or as the root.
  /// @return the added value, or null if max_values is exceeded.
  Json* Add(Json value);
  bool OpenContainer(Json value);
  bool CloseContainer();

  JsonLimits limits;
  Json root;
  /// Unfinished arrays and objects, outermost first.
  std::vector<Json*> open_containers;
  Json* member = nullptr;  ///< Slot for the value of the last key.
  std::size_t value_count = 0;
  std::optional<std::string> reason;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CODEC_JSON_BUILDER_H_
