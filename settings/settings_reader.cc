#include "cicadaloft/settings/settings_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iterator>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

#include "cicadaloft/settings/socket_address.h"

namespace cicadaloft {
namespace {

using nlohmann::json;

struct Unit {
  const std::string_view name;
  const Duration duration;
};

constexpr std::array kUnits = {
    Unit{"us", std::chrono::microseconds(1)},
    Unit{"ms", std::chrono::milliseconds(1)},
    Unit{"s", std::chrono::seconds(1)},
    Unit{"min", std::chrono::minutes(1)},
    Unit{"h", std::chrono::hours(1)},
};

/// @return the file's content, or none if it can't be read.
std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  return file.bad() ? std::nullopt : std::optional(std::move(text));
}

/// Finds duplicate names within one object, which the parser accepts.
class DuplicateFinder {
 public:
  void Handle(json::parse_event_t event, const json& parsed) {
    if (event == json::parse_event_t::object_start) {
      this->open_objects.emplace_back();
    }
    if (event == json::parse_event_t::object_end) {
      this->open_objects.pop_back();
    }
    if (event == json::parse_event_t::key &&
        !this->open_objects.back().insert(parsed.get<std::string>()).second) {
      this->duplicate = parsed.get<std::string>();
    }
  }
  const std::optional<std::string>& duplicate_name() const {
    return this->duplicate;
  }

 private:
  std::vector<std::set<std::string>> open_objects;
  std::optional<std::string> duplicate;
};

std::string JoinPath(std::string_view prefix, std::string_view name) {
  return prefix.empty() ? std::string(name)
                        : std::string(prefix) + "." + std::string(name);
}

/// @return the first field below `node` that is not in `known`.
std::optional<std::string> FindUnknownField(
    const json& node,
    std::string_view prefix,
    const std::set<std::string>& known) {
  for (const auto& [name, value] : node.items()) {
    std::string path = JoinPath(prefix, name);
    if (known.contains(path)) {
      continue;
    }
    const bool is_section = std::ranges::any_of(
        known, [&](const auto& each) { return each.starts_with(path + "."); });
    if (!is_section || !value.is_object()) {
      return path;
    }
    if (auto unknown = FindUnknownField(value, path, known)) {
      return unknown;
    }
  }
  return std::nullopt;
}

}  // namespace

struct SettingsReader::Document {
  std::string name;
  json root = json::object();
  std::set<std::string> read_fields;
  std::map<std::string, std::string> fields_by_address;
  std::optional<std::string> error;
  bool is_whole = false;

  void SetError(std::string text) {
    if (!this->error) {
      this->error = this->name + ": " + std::move(text);
    }
  }

  /// @return the field's value, or null if it is left out.
  const json* Find(std::string_view field) {
    this->read_fields.emplace(field);
    return this->FindNode(field);
  }

  /// @return as Find(), without counting the field as read.
  const json* FindNode(std::string_view field) const {
    const json* node = &this->root;
    for (std::string_view remaining_path = field; !remaining_path.empty();) {
      const std::size_t dot =
          std::min(remaining_path.find('.'), remaining_path.size());
      const auto found = node->find(std::string(remaining_path.substr(0, dot)));
      if (found == node->end()) {
        return nullptr;
      }
      node = &*found;
      remaining_path.remove_prefix(std::min(dot + 1, remaining_path.size()));
    }
    return node;
  }
};

SettingsReader::SettingsReader(std::unique_ptr<Document> document)
    : document(std::move(document)) {}
SettingsReader::~SettingsReader() = default;
SettingsReader::SettingsReader(SettingsReader&& other) noexcept = default;

SettingsReader SettingsReader::FromFile(const std::string& path) {
  const std::optional<std::string> text = ReadFile(path);
  if (text) {
    return FromText(path, *text);
  }
  auto document = std::make_unique<Document>();
  document->name = path;
  document->SetError("expected a readable settings file");
  return SettingsReader(std::move(document));
}

SettingsReader SettingsReader::FromText(std::string name,
                                        std::string_view text) {
  auto document = std::make_unique<Document>();
  document->name = std::move(name);
  DuplicateFinder duplicates;
  try {
    document->root = json::parse(
        text,
        [&](int /*depth*/, json::parse_event_t event, json& parsed) {
          duplicates.Handle(event, parsed);
          return true;
        },
        true, true);
    document->is_whole = true;
  } catch (const json::exception& exception) {
    document->SetError("expected JSON with comments: " +
                       std::string(exception.what()));
  }
  if (!document->root.is_object()) {
    document->root = json::object();
    document->SetError("expected one JSON object");
  }
  if (duplicates.duplicate_name()) {
    document->SetError(*duplicates.duplicate_name() +
                       ": expected once, found twice");
  }
  return SettingsReader(std::move(document));
}

void SettingsReader::SetFieldError(std::string_view field,
                                   std::string_view expected) {
  this->document->SetError(std::string(field) + ": expected " +
                           std::string(expected));
}

std::optional<std::string> SettingsReader::FindText(std::string_view field) {
  const json* const value = this->document->Find(field);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
    this->SetFieldError(field, "a non-empty string");
    return std::string();
  }
  return value->get<std::string>();
}

std::string SettingsReader::Text(std::string_view field) {
  std::optional<std::string> text = this->FindText(field);
  if (!text) {
    this->SetFieldError(field, "a string, but the field is missing");
  }
  return std::move(text).value_or("");
}

std::string SettingsReader::TextOr(std::string_view field,
                                   std::string_view fallback) {
  return this->FindText(field).value_or(std::string(fallback));
}

std::string SettingsReader::Choice(std::string_view field,
                                   std::span<const std::string_view> choices) {
  std::string text = this->TextOr(field, choices.front());
  if (std::ranges::find(choices, text) != choices.end()) {
    return text;
  }
  std::string expected = "one of";
  for (const std::string_view choice : choices) {
    expected += " \"" + std::string(choice) + "\"";
  }
  this->SetFieldError(field, expected);
  return std::string(choices.front());
}

std::vector<std::string> SettingsReader::TextList(std::string_view field) {
  const json* const value = this->document->Find(field);
  if (value == nullptr) {
    return {};
  }
  const bool is_list =
      value->is_array() && std::ranges::all_of(*value, [](const json& item) {
        return item.is_string();
      });
  if (!is_list) {
    this->SetFieldError(field, "a list of strings");
    return {};
  }
  return value->get<std::vector<std::string>>();
}

Duration SettingsReader::DurationOr(std::string_view field, Duration fallback) {
  const json* const value = this->document->Find(field);
  if (value == nullptr) {
    return fallback;
  }
  const std::optional<Duration> duration =
      value->is_string() ? ParseDuration(value->get_ref<const std::string&>())
                         : std::nullopt;
  if (!duration || *duration <= Duration::zero()) {
    this->SetFieldError(field,
                        "a duration with its unit such as \"250ms\" or \"6s\"");
    return fallback;
  }
  return *duration;
}

Duration SettingsReader::DurationIn(std::string_view field,
                                    Duration fallback,
                                    const DurationRange& range) {
  const Duration duration = this->DurationOr(field, fallback);
  if (duration < range.min || duration > range.max) {
    this->SetFieldError(
        field, "a duration from " + std::to_string(range.min.count()) +
                   "ms to " + std::to_string(range.max.count()) + "ms");
    return fallback;
  }
  return duration;
}

std::uint64_t SettingsReader::IntegerOr(std::string_view field,
                                        std::uint64_t fallback,
                                        const IntegerRange& range) {
  const json* const value = this->document->Find(field);
  if (value == nullptr) {
    return fallback;
  }
  const bool is_unsigned = value->is_number_unsigned();
  const std::uint64_t number = is_unsigned ? value->get<std::uint64_t>() : 0;
  if (!is_unsigned || number < range.min || number > range.max) {
    this->SetFieldError(field, "an integer from " + std::to_string(range.min) +
                                   " to " + std::to_string(range.max));
    return fallback;
  }
  return number;
}

double SettingsReader::NumberOr(std::string_view field,
                                double fallback,
                                double max) {
  const json* const value = this->document->Find(field);
  if (value == nullptr) {
    return fallback;
  }
  const double number = value->is_number() ? value->get<double>() : -1;
  if (number < 0 || number > max) {
    this->SetFieldError(field, "a number from 0 to " + std::to_string(max));
    return fallback;
  }
  return number;
}

double SettingsReader::PositiveNumberOr(std::string_view field,
                                        double fallback,
                                        double max) {
  const double number = this->NumberOr(field, fallback, max);
  if (!(number > 0)) {
    this->SetFieldError(field,
                        "a number above 0 and up to " + std::to_string(max));
  }
  return number;
}

bool SettingsReader::BoolOr(std::string_view field, bool fallback) {
  const json* const value = this->document->Find(field);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_boolean()) {
    this->SetFieldError(field, "true or false");
    return fallback;
  }
  return value->get<bool>();
}

std::string SettingsReader::PeerAddress(std::string_view field) {
  std::string text = this->Text(field);
  if (!IsOk(ParseSocketAddress(text))) {
    this->SetFieldError(field,
                        "an IPv4 address and port such as \"127.0.0.1:7101\"");
  }
  return text;
}

bool SettingsReader::HasSection(std::string_view section) {
  const json* const value = this->document->FindNode(section);
  if (value != nullptr && !value->is_object()) {
    this->SetFieldError(section, "an object");
  }
  return value != nullptr;
}

std::string SettingsReader::Address(std::string_view field) {
  std::string text = this->PeerAddress(field);
  const Result<SocketAddress> address = ParseSocketAddress(text);
  if (!IsOk(address)) {
    return text;
  }
  // Port 0 may be repeated: the kernel chooses a different port each time.
  if (ValueOf(address).port == 0) {
    return text;
  }
  const auto [entry, is_new] =
      this->document->fields_by_address.try_emplace(text, field);
  if (!is_new) {
    this->SetFieldError(
        field, "an address other than that of \"" + entry->second + "\"");
  }
  return text;
}

std::string SettingsReader::AddressOr(std::string_view field,
                                      std::string_view fallback) {
  return this->document->Find(field) == nullptr ? std::string(fallback)
                                                : this->Address(field);
}

bool SettingsReader::is_whole() const {
  return this->document->is_whole;
}

Result<Done> SettingsReader::Finish() {
  const auto unknown =
      FindUnknownField(this->document->root, "", this->document->read_fields);
  if (unknown) {
    this->SetFieldError(
        *unknown,
        "no field of this name; see the documentation for the fields");
  }
  if (this->document->error) {
    return MakeError(ErrorKind::kSettingsInvalid, *this->document->error);
  }
  return Done();
}

std::optional<Duration> ParseDuration(std::string_view text) {
  const std::string digits(text);
  const char* const end = digits.c_str() + digits.size();
  std::int64_t count = 0;
  const auto read = std::from_chars(digits.c_str(), end, count);
  if (read.ec != std::errc() || count < 0) {
    return std::nullopt;
  }
  const std::string_view name(read.ptr, end);
  const auto* const unit = std::ranges::find(kUnits, name, &Unit::name);
  if (unit == kUnits.end() || count > std::numeric_limits<std::int64_t>::max() /
                                          unit->duration.count()) {
    return std::nullopt;
  }
  return count * unit->duration;
}

}  // namespace cicadaloft
