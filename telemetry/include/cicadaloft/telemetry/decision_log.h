#ifndef CICADALOFT_TELEMETRY_DECISION_LOG_H_
#define CICADALOFT_TELEMETRY_DECISION_LOG_H_

#include <string>

#include "cicadaloft/core/decision_record.h"
#include "cicadaloft/telemetry/log.h"

namespace cicadaloft {

/// @return the record as members of a JSON object: event, request and fields.
std::string FormatDecision(const DecisionRecord& record);

/// Writes the decision records of tasks to the log.
class DecisionLog {
 public:
  DecisionLog();

  void operator()(const DecisionRecord& record) const;

 private:
  Log log;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_TELEMETRY_DECISION_LOG_H_
