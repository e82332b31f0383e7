#ifndef CICADALOFT_TESTS_SCENARIOS_RUNNER_SCRIPT_H_
#define CICADALOFT_TESTS_SCENARIOS_RUNNER_SCRIPT_H_

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cicadaloft/core/result.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft::scenarios {

/// One line of a scenario: `[at TIME] VERB WORD... NAME=VALUE...`.
class ScriptLine {
 public:
  /// @return the line, none for a blank or comment, or kMalformedRequest.
  static Result<std::optional<ScriptLine>> Parse(const std::string& text,
                                                 std::size_t number);

  Duration at() const { return this->time; }
  const std::string& verb() const { return this->verb_word; }
  std::size_t number() const { return this->line_number; }
  const std::vector<std::string>& words() const { return this->plain_words; }

  /// @return the word at `index`; throws std::runtime_error if there is none.
  const std::string& Word(std::size_t index) const;
  bool Has(const std::string& name) const {
    return this->options.contains(name);
  }
  std::string Text(const std::string& name, const std::string& fallback) const;
  double Number(const std::string& name, double fallback) const;
  Duration Time(const std::string& name, Duration fallback) const;
  bool Flag(const std::string& name, bool fallback) const;

 private:
  Duration time{};
  std::string verb_word;
  std::size_t line_number = 0;
  std::vector<std::string> plain_words;
  std::map<std::string, std::string> options;
};

/// @return "250ms", "3s" or "2m" as a duration, or none.
std::optional<Duration> ParseDuration(const std::string& text);

/// Reads a scenario file, with `include FILE` lines replaced.
/// @return its lines, or the first error with file and line.
Result<std::vector<ScriptLine>> ReadScript(const std::string& file);

}  // namespace cicadaloft::scenarios

#endif  // CICADALOFT_TESTS_SCENARIOS_RUNNER_SCRIPT_H_
