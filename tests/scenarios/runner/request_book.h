#ifndef CICADALOFT_TESTS_SCENARIOS_RUNNER_REQUEST_BOOK_H_
#define CICADALOFT_TESTS_SCENARIOS_RUNNER_REQUEST_BOOK_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cicadaloft/core/error_kind.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/messages.h"

namespace cicadaloft::scenarios {

/// How a request ended for its caller.
enum class CallerSaw {
  kNothing,  ///< Not yet ended.
  kWholeAnswer,
  kRefusal,
  kBrokenAnswer,    ///< A visible error in the middle of the answer.
  kLostConnection,  ///< Its host died.
  kGaveUp,          ///< The caller left.
};

/// One request as its caller knows it.
struct SentRequest {
  RequestArrived arrived;
  CustomerId customer;
  KeyId key;
  HostId host;
  TimePoint at;
  Duration work{};
  bool is_poison = false;
  bool is_idempotent = true;
  bool was_cold = false;         ///< No replica was loaded when it came.
  bool was_inside_rate = false;  ///< Of its customer, over all hosts.
  bool host_failed = false;      ///< Its host was killed or suspended.
  int resends_left = 0;
  std::optional<TimePoint> first_byte;
  std::optional<TimePoint> ended;
  CallerSaw saw = CallerSaw::kNothing;
  std::optional<ErrorKind> refused_with;
  RunState claimed_state = RunState::kUnknown;
};

/// Figures over a set of requests.
struct RequestFigures {
  std::size_t sent = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
  std::size_t wrongly_refused = 0;  ///< Although inside the customer's rate.
  std::size_t inside_rate = 0;
  std::size_t lost = 0;
  std::vector<Duration> first_byte;             ///< Sorted.
  std::vector<Duration> cold_first_byte;        ///< Sorted.
  std::map<std::string, std::size_t> refusals;  ///< By token.

  double ServedShare() const;
  double WrongShare() const;
};

/// @return the value below which `share` of the sorted times lie; 0 if none.
Duration Percentile(const std::vector<Duration>& sorted, double share);

/// Adds one request to the figures; call Sort() after the last.
void Add(RequestFigures& figures, const SentRequest& request);
void Sort(RequestFigures& figures);

}  // namespace cicadaloft::scenarios

#endif  // CICADALOFT_TESTS_SCENARIOS_RUNNER_REQUEST_BOOK_H_
