#include "cicadaloft/telemetry/decision_log.h"

namespace cicadaloft {

std::string FormatDecision(const DecisionRecord& line) {
  std::string text = "\"event\":" + QuoteJson(line.event);
  if (!line.request.empty()) {
    text += ",\"request\":" + QuoteJson(line.request.value());
  }
  for (const LogField& field : line.fields) {
    text += "," + QuoteJson(field.name) + ":" + QuoteJson(field.value);
  }
  return text;
}

DecisionLog::DecisionLog() : log("host") {}

void DecisionLog::operator()(const DecisionRecord& line) const {
  this->log.Event(FormatDecision(line));
}

}  // namespace cicadaloft
