#ifndef CICADALOFT_TESTS_SOAK_RECORDS_H_
#define CICADALOFT_TESTS_SOAK_RECORDS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace cicadaloft::soak {

/// Milliseconds of the steady clock, which all processes of a machine share.
using Millis = std::int64_t;

enum class Outcome { kAnswered, kClosed, kTimedOut, kNotSent };

/// One request as its caller saw it.
struct Call {
  std::string id;
  int host = 0;
  bool may_run_twice = false;
  Millis sent_at = 0;  ///< When the last byte was sent.
  Millis ended_at = 0;
  Millis deadline_at = 0;
  Outcome outcome = Outcome::kNotSent;
  int status = 0;
  std::string fault;  ///< "RULE: reason" if the response itself is wrong.

  bool operator==(const Call&) const = default;
};

/// One execution of a request as the runner saw it.
struct Run {
  std::string id;
  int runner = 0;
  Millis at = 0;

  bool operator==(const Run&) const = default;
};

/// One order as the runner saw it.
struct Order {
  int runner = 0;
  Millis at = 0;
  std::string holder;
  std::uint64_t token = 0;

  bool operator==(const Order&) const = default;
};

enum class SpanKind {
  kHostStop,
  kHostFault,
  kHostStarved,  ///< Wanted its share of the processor and got less.
  kRunnerFault,
  kStoreFault
};

/// A time in which something was disturbed from outside.
struct Span {
  SpanKind kind = SpanKind::kHostStop;
  int index = 0;  ///< Of the host or runner.
  Millis from = 0;
  Millis to = 0;

  bool operator==(const Span&) const = default;
};

/// What was done to end a process.
enum class Due { kNothing, kTerminated, kKilled };

/// One life of a host's process.
struct Life {
  int host = 0;
  int pid = 0;
  Millis started_at = 0;
  Millis ready_at = 0;       ///< 0: never seen ready.
  Millis terminated_at = 0;  ///< Time of the first SIGTERM, 0 if none.
  Millis ended_at = 0;       ///< 0: alive.
  Due due = Due::kNothing;
  int signal = 0;
  int code = 0;
  int peak_mb = 0;  ///< Resident memory.

  bool operator==(const Life&) const = default;
};

/// All that a soak has seen.
struct Evidence {
  std::vector<Call> calls;
  std::vector<Run> runs;
  std::vector<Order> orders;  ///< Those of each runner as they came.
  std::vector<Span> spans;
  std::vector<Life> lives;
  Millis stopped_at = 0;  ///< When the last planned stop of all hosts began.
  Millis ended_at = 0;

  bool operator==(const Evidence&) const = default;
};

struct Violation {
  std::string rule;
  std::string text;

  bool operator==(const Violation&) const = default;
};

}  // namespace cicadaloft::soak

#endif  // CICADALOFT_TESTS_SOAK_RECORDS_H_
