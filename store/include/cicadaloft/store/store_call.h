#ifndef CICADALOFT_STORE_STORE_CALL_H_
#define CICADALOFT_STORE_STORE_CALL_H_

#include <compare>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "cicadaloft/core/id.h"

namespace cicadaloft {

enum class StoreCallKind {
  kReadNewest,  ///< One page of a topic's newest records.
  kRead,
  kAppend,
};

/// How a call of the store ended.
enum class StoreCallOutcome {
  kDone,
  kEmpty,       ///< A read that waited and found no record.
  kTrimmed,     ///< A read from before the first record that is left.
  kConflict,    ///< An append at an offset that isn't the end.
  kRefused,     ///< Status 429 or 503. The platform charges it.
  kNotSent,     ///< No connection was made.
  kUnanswered,  ///< No valid response, or the caller no longer waits for one.
};

/// @return the value of the metric's label.
constexpr std::string_view Name(StoreCallKind kind) {
  switch (kind) {
    case StoreCallKind::kReadNewest:
      return "newest";
    case StoreCallKind::kRead:
      return "read";
    case StoreCallKind::kAppend:
      return "append";
  }
  return "";
}

/// @return the value of the metric's label.
constexpr std::string_view Name(StoreCallOutcome outcome) {
  switch (outcome) {
    case StoreCallOutcome::kDone:
      return "done";
    case StoreCallOutcome::kEmpty:
      return "empty";
    case StoreCallOutcome::kTrimmed:
      return "trimmed";
    case StoreCallOutcome::kConflict:
      return "conflict";
    case StoreCallOutcome::kRefused:
      return "refused";
    case StoreCallOutcome::kNotSent:
      return "not_sent";
    case StoreCallOutcome::kUnanswered:
      return "unanswered";
  }
  return "";
}

/// This host has made one call of the store.
struct StoreCallEnded {
  StoreCallKind call = StoreCallKind::kRead;
  std::string topic;
  StoreCallOutcome outcome = StoreCallOutcome::kUnanswered;
  std::optional<StoreEra> era;  ///< None if no valid one was stated.

  friend auto operator<=>(const StoreCallEnded&,
                          const StoreCallEnded&) = default;
  friend bool operator==(const StoreCallEnded&,
                         const StoreCallEnded&) = default;
};

using StoreCallSink = std::function<void(const StoreCallEnded&)>;

/// Reports one call when it goes out of scope, so that a call whose task is
/// cancelled is reported as well.
class StoreCallReport {
 public:
  StoreCallReport(const StoreCallSink& sink,
                  StoreCallKind call,
                  std::string topic)
      : sink(sink), ended{.call = call, .topic = std::move(topic)} {}
  ~StoreCallReport() {
    if (this->sink) {
      this->sink(this->ended);
    }
  }
  StoreCallReport(const StoreCallReport&) = delete;
  StoreCallReport& operator=(const StoreCallReport&) = delete;

  void SetOutcome(StoreCallOutcome outcome) { this->ended.outcome = outcome; }
  void SetEra(StoreEra era) { this->ended.era = era; }

 private:
  const StoreCallSink& sink;
  StoreCallEnded ended;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_STORE_STORE_CALL_H_
