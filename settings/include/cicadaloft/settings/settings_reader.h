#ifndef CICADALOFT_SETTINGS_SETTINGS_READER_H_
#define CICADALOFT_SETTINGS_SETTINGS_READER_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cicadaloft/core/result.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// The range of an integer field, both limits included.
struct IntegerRange {
  const std::uint64_t min = 0;
  const std::uint64_t max = 0;

  friend auto operator<=>(const IntegerRange&, const IntegerRange&) = default;
};

/// The range of a duration, both limits included; whole milliseconds.
struct DurationRange {
  const std::chrono::milliseconds min{};
  const std::chrono::milliseconds max{};

  friend auto operator<=>(const DurationRange&, const DurationRange&) = default;
};

/// Reads one settings file: a JSON object with comments. Fields are named by
/// their path ("limits.lease_term"). An invalid field yields a placeholder, and
/// Finish() then reports the first such field. The caller reads all fields and
/// uses none of them before Finish() has succeeded.
class SettingsReader {
 public:
  /// @param path of the file; error messages begin with it.
  static SettingsReader FromFile(const std::string& path);
  /// @param name of the file in error messages.
  static SettingsReader FromText(std::string name, std::string_view text);
  ~SettingsReader();
  SettingsReader(SettingsReader&& other) noexcept;

  /// @return the field's string, which must not be empty.
  std::string Text(std::string_view field);
  /// @return the field's string, or `fallback` if the field is left out.
  std::string TextOr(std::string_view field, std::string_view fallback);
  /// @return the string, which must be one of `choices`; the first by default.
  std::string Choice(std::string_view field,
                     std::span<const std::string_view> choices);
  /// @return the field's list of strings; empty if the field is left out.
  std::vector<std::string> TextList(std::string_view field);
  /// @return a duration above 0, written with its unit: "250ms", "6s".
  Duration DurationOr(std::string_view field, Duration fallback);
  /// @return a duration within the range, as in DurationOr().
  Duration DurationIn(std::string_view field,
                      Duration fallback,
                      const DurationRange& range);
  std::uint64_t IntegerOr(std::string_view field,
                          std::uint64_t fallback,
                          const IntegerRange& range);
  /// @return a number from 0 to `max`.
  double NumberOr(std::string_view field, double fallback, double max);
  /// @return a number above 0 and up to `max`.
  double PositiveNumberOr(std::string_view field, double fallback, double max);
  bool BoolOr(std::string_view field, bool fallback);
  /// @return an "IPv4:port" that no other field has.
  std::string Address(std::string_view field);
  /// @return as Address(), or `fallback` if the field is left out.
  std::string AddressOr(std::string_view field, std::string_view fallback);
  /// @return the "IPv4:port" of another process; other fields may have it too.
  std::string PeerAddress(std::string_view field);
  /// @return whether the file has this section, which is an object of fields.
  bool HasSection(std::string_view section);

  /// @return whether the file could be read and held one JSON document to its
  /// end; a file that is being written doesn't.
  bool is_whole() const;

  /// Must be called after all fields have been read.
  /// @return kSettingsInvalid with the first error as one line that names the
  /// file, the field and what was expected; also for a field that was not read.
  Result<Done> Finish();

 private:
  struct Document;
  explicit SettingsReader(std::unique_ptr<Document> document);

  void SetFieldError(std::string_view field, std::string_view expected);
  std::optional<std::string> FindText(std::string_view field);

  std::unique_ptr<Document> document;
};

/// @param text an integer and one of the units us, ms, s, min, h.
/// @return the duration, or none if `text` is not one.
std::optional<Duration> ParseDuration(std::string_view text);

}  // namespace cicadaloft

#endif  // CICADALOFT_SETTINGS_SETTINGS_READER_H_
