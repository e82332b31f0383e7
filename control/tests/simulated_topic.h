#ifndef CICADALOFT_CONTROL_TESTS_SIMULATED_TOPIC_H_
#define CICADALOFT_CONTROL_TESTS_SIMULATED_TOPIC_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// A topic of a simulated store, with the reads that wait for a record.
class SimulatedTopic {
 public:
  explicit SimulatedTopic(std::string name) : name(std::move(name)) {}

  void Write(std::string key, std::string value, TimePoint now) {
    this->records.push_back(
        {.key = std::move(key), .value = std::move(value), .written_at = now});
    this->WakeAll();
  }

  /// All calls fail from now on.
  void GoAway() {
    this->is_away = true;
    this->WakeAll();
  }
  /// Comes back from a copy that ends at `end`.
  void ComeBack(LogOffset end) {
    this->is_away = false;
    this->records.resize(end.value());
    this->era = StoreEra(this->era.value() + 1);
    this->WakeAll();
  }

  LogOffset End() const { return LogOffset(this->records.size()); }
  /// Calls `wake` at the next write.
  void Wait(std::function<void()> wake) {
    this->waiting.push_back(std::move(wake));
  }

  struct Record {
    std::string key;
    std::string value;
    TimePoint written_at;
  };

  std::string name;
  std::vector<Record> records;
  StoreEra era{1};
  bool is_away = false;

 private:
  void WakeAll() {
    for (const auto& wake : std::exchange(this->waiting, {})) {
      wake();
    }
  }

  std::vector<std::function<void()>> waiting;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_TESTS_SIMULATED_TOPIC_H_
