#ifndef CICADALOFT_TESTS_SCENARIOS_RUNNER_FAKE_LOG_H_
#define CICADALOFT_TESTS_SCENARIOS_RUNNER_FAKE_LOG_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/ledger/messages.h"
#include "cicadaloft/steward/messages.h"
#include "scenarios/runner/virtual_time.h"

namespace cicadaloft::scenarios {

/// The platform's log on the virtual clock, with faults.
class FakeLog {
 public:
  using ReadAnswer = std::function<void(std::optional<LogRead>)>;
  using AppendAnswer = std::function<void(bool)>;

  explicit FakeLog(VirtualTime& time) : time(time) {}

  /// Answers with records, after a long poll without any, or with none where
  /// the read failed.
  void Read(LogOffset from, ReadAnswer answer);
  /// Appends all records. The answer may be lost although they stand.
  void Append(const std::vector<LogRecord>& records, AppendAnswer answer);

  void SetOutage(bool is_out);
  void SetSlowness(Duration slowness) { this->slowness = slowness; }
  void LoseAppendAnswers(int count) { this->answers_to_lose = count; }
  void KeepRecords(std::size_t count) { this->kept = count; }

  bool IsOut() const { return this->is_out; }
  LogOffset Next() const;
  LogOffset FirstKept() const { return this->first_kept; }
  /// Every record ever appended, also expired ones, for the invariants.
  const std::vector<LogRecord>& History() const { return this->history; }

 private:
  struct Reader {
    std::uint64_t id;
    LogOffset from;
    ReadAnswer answer;
  };

  void AnswerReaders();
  LogRead Collect(LogOffset from) const;

  VirtualTime& time;
  std::vector<LogRecord> history;
  LogOffset first_kept;
  std::list<Reader> readers;
  std::uint64_t next_reader = 0;
  std::size_t kept = 1000000;
  int answers_to_lose = 0;
  bool is_out = false;
  Duration slowness{};
};

}  // namespace cicadaloft::scenarios

#endif  // CICADALOFT_TESTS_SCENARIOS_RUNNER_FAKE_LOG_H_
