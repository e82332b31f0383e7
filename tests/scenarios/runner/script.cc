#include "scenarios/runner/script.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace cicadaloft::scenarios {
namespace {

Error Malformed(std::size_t line, const std::string& what) {
  return Fail(ErrorKind::kMalformedRequest,
              "line " + std::to_string(line) + ": " + what);
}

std::vector<std::string> SplitWords(const std::string& text) {
  std::istringstream in(text.substr(0, text.find('#')));
  return {std::istream_iterator<std::string>(in), {}};
}

}  // namespace

std::optional<Duration> ParseDuration(const std::string& text) {
  char* end = nullptr;
  const double number = std::strtod(text.c_str(), &end);
  const std::string unit(end);
  static const std::map<std::string, double> kUnits = {
      {"us", 1.0}, {"ms", 1e3}, {"s", 1e6}, {"m", 6e7}};
  const auto found = kUnits.find(unit);
  if (end == text.c_str() || found == kUnits.end()) {
    return std::nullopt;
  }
  return Duration(static_cast<Duration::rep>(number * found->second));
}

Result<std::optional<ScriptLine>> ScriptLine::Parse(const std::string& text,
                                                    std::size_t number) {
  std::vector<std::string> words = SplitWords(text);
  if (words.empty()) {
    return std::optional<ScriptLine>();
  }
  ScriptLine line;
  line.line_number = number;
  if (words[0] == "at") {
    const auto time = words.size() > 2 ? ParseDuration(words[1]) : std::nullopt;
    if (!time.has_value()) {
      return Malformed(number, "expected 'at TIME VERB'");
    }
    line.time = *time;
    words.erase(words.begin(), words.begin() + 2);
  }
  line.verb_word = words[0];
  std::for_each(words.begin() + 1, words.end(), [&](const std::string& word) {
    const auto equals = word.find('=');
    if (equals == std::string::npos || equals == 0 || word[0] == '>' ||
        word[0] == '<') {
      line.plain_words.push_back(word);
    } else {
      line.options[word.substr(0, equals)] = word.substr(equals + 1);
    }
  });
  return std::optional<ScriptLine>(std::move(line));
}

const std::string& ScriptLine::Word(std::size_t index) const {
  if (index >= this->plain_words.size()) {
    throw std::runtime_error("line " + std::to_string(this->line_number) +
                             ": '" + this->verb_word + "' needs more words");
  }
  return this->plain_words[index];
}

std::string ScriptLine::Text(const std::string& name,
                             const std::string& fallback) const {
  const auto found = this->options.find(name);
  return found == this->options.end() ? fallback : found->second;
}

double ScriptLine::Number(const std::string& name, double fallback) const {
  const auto found = this->options.find(name);
  if (found == this->options.end()) {
    return fallback;
  }
  return std::stod(found->second);
}

Duration ScriptLine::Time(const std::string& name, Duration fallback) const {
  const auto found = this->options.find(name);
  if (found == this->options.end()) {
    return fallback;
  }
  const auto time = ParseDuration(found->second);
  if (!time.has_value()) {
    throw std::runtime_error("line " + std::to_string(this->line_number) +
                             ": expected a time with unit in " + name);
  }
  return *time;
}

bool ScriptLine::Flag(const std::string& name, bool fallback) const {
  return this->Text(name, fallback ? "yes" : "no") == "yes";
}

Result<std::vector<ScriptLine>> ReadScript(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    return Fail(ErrorKind::kNotFound, file + ": no such file");
  }
  std::vector<ScriptLine> lines;
  std::string text;
  for (std::size_t number = 1; std::getline(in, text); ++number) {
    Result<std::optional<ScriptLine>> parsed = ScriptLine::Parse(text, number);
    if (!IsOk(parsed)) {
      return Fail(ErrorOf(parsed).kind, file + ": " + ErrorOf(parsed).message);
    }
    const std::optional<ScriptLine>& line = ValueOf(parsed);
    if (!line.has_value()) {
      continue;
    }
    if (line->verb() != "include") {
      lines.push_back(*line);
      continue;
    }
    const auto folder = std::filesystem::path(file).parent_path();
    auto included = ReadScript((folder / line->Word(0)).string());
    if (!IsOk(included)) {
      return ErrorOf(included);
    }
    std::ranges::copy(ValueOf(included), std::back_inserter(lines));
  }
  return lines;
}

}  // namespace cicadaloft::scenarios
