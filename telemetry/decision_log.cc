#include "cicadaloft/telemetry/decision_log.h"

namespace cicadaloft {

std::string FormatDecision(const DecisionRecord& record) {
  std::string text = "\"event\":" + QuoteJson(record.event);
  if (!record.request.empty()) {
    text += ",\"request\":" + QuoteJson(record.request.value());
  }
  for (const LogField& field : record.fields) {
    text += "," + QuoteJson(field.name) + ":" + QuoteJson(field.value);
  }
  return text;
}

DecisionLog::DecisionLog() : log("host") {}

void DecisionLog::operator()(const DecisionRecord& record) const {
  this->log.Event(FormatDecision(record));
}

}  // namespace cicadaloft
