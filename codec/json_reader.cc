#include "cicadaloft/codec/json_reader.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace cicadaloft {
namespace {

/// Fields that identify an array element in error messages, in order of
/// preference.
constexpr std::array<const char*, 4> kIdentifyingFields = {"id", "model",
                                                           "route", "name"};
constexpr std::size_t kMaxShownNameBytes = 200;

/// @return the element's identifying field, quoted after a space, or "".
std::string FormatElementName(const Json& element) {
  if (!element.is_object()) {
    return "";
  }
  const auto* field =
      std::ranges::find_if(kIdentifyingFields, [&](const char* name) {
        const auto found = element.find(name);
        return found != element.end() && found->is_string();
      });
  if (field == kIdentifyingFields.end()) {
    return "";
  }
  const auto& name = element.find(*field)->get_ref<const std::string&>();
  return " '" + name.substr(0, kMaxShownNameBytes) + "'";
}

}  // namespace

std::string JsonReader::FormatPathStep(const PathStep& step) {
  if (step.element == nullptr) {
    return "." + std::string(step.key);
  }
  return "[" + std::to_string(step.index) + "]" +
         FormatElementName(*step.element);
}

void JsonReader::Fail(std::string_view expected) {
  if (this->failed()) {
    return;
  }
  std::string where =
      std::accumulate(this->path.begin(), this->path.end(), std::string(),
                      [](std::string text, const PathStep& step) {
                        return std::move(text) + FormatPathStep(step);
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
