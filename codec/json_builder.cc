#include "json_builder.h"

#include <algorithm>
#include <utility>

namespace cicadaloft {
namespace {

/// Bounds the parser's messages, which may quote a token of any length.
constexpr std::size_t kMaxMessageBytes = 300;

/// @return the message without the library's "[json.exception...]" prefix, cut
/// to kMaxMessageBytes.
std::string ShortenMessage(std::string message) {
  const std::size_t prefix_end = message.find("] ");
  if (message.starts_with('[') && prefix_end != std::string::npos) {
    message.erase(0, prefix_end + 2);
  }
  message.resize(std::min(message.size(), kMaxMessageBytes));
  return message;
}

}  // namespace

bool JsonBuilder::Stop(std::string new_reason) {
  if (!this->reason.has_value()) {
    this->reason = std::move(new_reason);
  }
  return false;
}

Json* JsonBuilder::Add(Json value) {
  if (++this->value_count > this->limits.max_values) {
    this->Stop("expected at most " + std::to_string(this->limits.max_values) +
               " values");
    return nullptr;
  }
  if (this->open_containers.empty()) {
    this->root = std::move(value);
    return &this->root;
  }
  Json& parent = *this->open_containers.back();
  if (parent.is_array()) {
    return &parent.get_ref<Json::array_t&>().emplace_back(std::move(value));
  }
  *this->member = std::move(value);
  return this->member;
}

bool JsonBuilder::OpenContainer(Json value) {
  if (this->open_containers.size() >= this->limits.max_depth) {
    return this->Stop("expected at most " +
                      std::to_string(this->limits.max_depth) +
                      " levels of nesting");
  }
  Json* added = this->Add(std::move(value));
  if (added == nullptr) {
    return false;
  }
  this->open_containers.push_back(added);
  return true;
}

bool JsonBuilder::CloseContainer() {
  this->open_containers.pop_back();
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
  return this->OpenContainer(Json::object());
}

bool JsonBuilder::key(std::string& name) {
  if (!IsUtf8(name)) {
    return this->Stop("expected keys in UTF-8");
  }
  auto& object = this->open_containers.back()->get_ref<Json::object_t&>();
  const auto [entry, is_new] = object.try_emplace(std::move(name));
  if (!is_new) {
    return this->Stop("the key '" + ShortenMessage(entry->first) +
                      "' is duplicated in one object");
  }
  this->member = &entry->second;
  return true;
}

bool JsonBuilder::end_object() {
  return this->CloseContainer();
}

bool JsonBuilder::start_array(std::size_t /*size*/) {
  return this->OpenContainer(Json::array());
}

bool JsonBuilder::end_array() {
  return this->CloseContainer();
}

bool JsonBuilder::parse_error(std::size_t /*position*/,
                              const std::string& /*last_token*/,
                              const Json::exception& error) {
  return this->Stop(ShortenMessage(error.what()));
}

}  // namespace cicadaloft
