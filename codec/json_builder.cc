#include "json_builder.h"

#include <algorithm>
#include <utility>

namespace cicadaloft {
namespace {

/// The parser's message may hold a whole token of the text.
constexpr std::size_t kMaxMessageBytes = 300;

/// @return the message without the library's "[json.exception...]" mark.
std::string PlainMessage(std::string message) {
  const std::size_t mark_end = message.find("] ");
  if (message.starts_with('[') && mark_end != std::string::npos) {
    message.erase(0, mark_end + 2);
  }
  message.resize(std::min(message.size(), kMaxMessageBytes));
  return message;
}

}  // namespace

bool JsonBuilder::Stop(std::string why) {
  if (!this->reason.has_value()) {
    this->reason = std::move(why);
  }
  return false;
}

Json* JsonBuilder::Add(Json value) {
  if (++this->value_count > this->limits.max_values) {
    this->Stop("expected at most " + std::to_string(this->limits.max_values) +
               " values");
    return nullptr;
  }
  if (this->open.empty()) {
    this->root = std::move(value);
    return &this->root;
  }
  Json& parent = *this->open.back();
  if (parent.is_array()) {
    return &parent.get_ref<Json::array_t&>().emplace_back(std::move(value));
  }
  *this->member = std::move(value);
  return this->member;
}

bool JsonBuilder::Open(Json value) {
  if (this->open.size() >= this->limits.max_depth) {
    return this->Stop("expected at most " +
                      std::to_string(this->limits.max_depth) +
                      " levels of nesting");
  }
  Json* added = this->Add(std::move(value));
  if (added == nullptr) {
    return false;
  }
  this->open.push_back(added);
  return true;
}

bool JsonBuilder::Close() {
  this->open.pop_back();
  return true;
}

bool JsonBuilder::null() {
  return this->Add(nullptr) != nullptr;
}

bool JsonBuilder::boolean(bool value) {
  return this->Add(value) != nullptr;
}

bool JsonBuilder::number_integer(Json::number_integer_t value) {
  return this->Add(value) != nullptr;
}

bool JsonBuilder::number_unsigned(Json::number_unsigned_t value) {
  return this->Add(value) != nullptr;
}

bool JsonBuilder::number_float(Json::number_float_t value,
                               const std::string& /*text*/) {
  return this->Add(value) != nullptr;
}

bool JsonBuilder::string(std::string& value) {
  if (!IsUtf8(value)) {
    return this->Stop("expected text in UTF-8");
  }
  return this->Add(std::move(value)) != nullptr;
}

bool JsonBuilder::binary(Json::binary_t& /*value*/) {
  return this->Stop("expected no byte string");
}

bool JsonBuilder::start_object(std::size_t /*size*/) {
  return this->Open(Json::object());
}

bool JsonBuilder::key(std::string& name) {
  if (!IsUtf8(name)) {
    return this->Stop("expected keys in UTF-8");
  }
  auto& object = this->open.back()->get_ref<Json::object_t&>();
  const auto [place, is_new] = object.try_emplace(std::move(name));
  if (!is_new) {
    return this->Stop("the key '" + PlainMessage(place->first) +
                      "' stands twice in one object");
  }
  this->member = &place->second;
  return true;
}

bool JsonBuilder::end_object() {
  return this->Close();
}

bool JsonBuilder::start_array(std::size_t /*size*/) {
  return this->Open(Json::array());
}

bool JsonBuilder::end_array() {
  return this->Close();
}

bool JsonBuilder::parse_error(std::size_t /*position*/,
                              const std::string& /*last_token*/,
                              const Json::exception& error) {
  return this->Stop(PlainMessage(error.what()));
}

}  // namespace cicadaloft
