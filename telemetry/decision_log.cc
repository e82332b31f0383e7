#include "cicadaloft/telemetry/decision_log.h"

#include <algorithm>
#include <iterator>

namespace cicadaloft {

std::string FormatDecision(const DecisionLine& line) {
  const std::string request = line.request.empty() ? "-" : line.request.value();
  const std::string head =
      "decision reason=" + line.reason + " request=" + request;
  return OneLine(line.detail.empty() ? head : head + " " + line.detail);
}

DecisionLog::DecisionLog(std::size_t kept) : log("node"), kept(kept) {}

void DecisionLog::Write(const DecisionLine& line) {
  this->log.Info(FormatDecision(line));
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
