#include "cicadaloft/telemetry/decision_log.h"

namespace cicadaloft {

std::string FormatDecision(const DecisionLine& line) {
  std::string text = "\"event\":" + JsonText(line.event);
  if (!line.request.empty()) {
    text += ",\"request\":" + JsonText(line.request.value());
  }
  for (const LogField& field : line.fields) {
    text += "," + JsonText(field.name) + ":" + JsonText(field.value);
  }
  return text;
}

DecisionLog::DecisionLog() : log("host") {}

void DecisionLog::operator()(const DecisionLine& line) const {
  this->log.Event(FormatDecision(line));
}

}  // namespace cicadaloft
