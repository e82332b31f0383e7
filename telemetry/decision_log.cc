#include "cicadaloft/telemetry/decision_log.h"

#include <algorithm>
#include <iterator>

namespace cicadaloft {

std::string FormatDecision(const DecisionLine& line) {
  std::string text = "\"event\":" + JsonText(line.reason);
  if (!line.request.empty()) {
    text += ",\"request\":" + JsonText(line.request.value());
  }
  for (const LogField& field : line.fields) {
    text += "," + JsonText(field.name) + ":" + JsonText(field.value);
  }
  return text;
}

DecisionLog::DecisionLog(std::size_t kept) : log("host"), kept(kept) {}

void DecisionLog::Write(const DecisionLine& line) {
  this->log.Event(FormatDecision(line));
  this->lines.push_back(line);
  if (this->lines.size() > this->kept) {
    this->lines.pop_front();
  }
}

std::vector<DecisionLine> DecisionLog::LinesOf(const RequestId& request) const {
  std::vector<DecisionLine> found;
  std::ranges::copy_if(
      this->lines, std::back_inserter(found),
      [&](const DecisionLine& line) { return line.request == request; });
  return found;
}

}  // namespace cicadaloft
