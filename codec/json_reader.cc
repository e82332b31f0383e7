#include "cicadaloft/codec/json_reader.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace cicadaloft {
namespace {

/// Fields that name the item that an array's element describes.
constexpr std::array<const char*, 4> kNameFields = {"id", "model", "route",
                                                    "name"};
constexpr std::size_t kMaxShownNameBytes = 200;

/// @return the name of the item that `element` describes, quoted, if any.
std::string NameOf(const Json& element) {
  if (!element.is_object()) {
    return "";
  }
  const auto* field = std::ranges::find_if(kNameFields, [&](const char* name) {
    const auto found = element.find(name);
    return found != element.end() && found->is_string();
  });
  if (field == kNameFields.end()) {
    return "";
  }
  const auto& name = element.find(*field)->get_ref<const std::string&>();
  return " '" + name.substr(0, kMaxShownNameBytes) + "'";
}

}  // namespace

std::string JsonReader::TextOf(const Place& place) {
  if (place.element == nullptr) {
    return "." + std::string(place.key);
  }
  return "[" + std::to_string(place.index) + "]" + NameOf(*place.element);
}

void JsonReader::Fail(std::string_view expected) {
  if (this->failed()) {
    return;
  }
  std::string where =
      std::accumulate(this->path.begin(), this->path.end(), std::string(),
                      [](std::string text, const Place& place) {
                        return std::move(text) + TextOf(place);
                      });
  if (where.starts_with('.')) {
    where.erase(0, 1);
  }
  if (!where.empty()) {
    where += ": ";
  }
  this->message = where + std::string(expected);
}

}  // namespace cicadaloft
