#ifndef CICADALOFT_TESTS_SOAK_SCHEDULE_H_
#define CICADALOFT_TESTS_SOAK_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "records.h"

namespace cicadaloft::soak {

enum class FaultKind {
  kStop,            ///< SIGTERM, then a restart.
  kKill,            ///< SIGKILL, then a restart.
  kPause,           ///< SIGSTOP, then SIGCONT.
  kReload,          ///< SIGHUP while the settings file is rewritten.
  kStopThenReload,  ///< A reload soon after the restart.
  kStopThenStop,    ///< Another SIGTERM soon after the restart.
  kSlow,            ///< A quarter of the processor.
  kAddHost,         ///< Starts a spare.
  kConfigure,       ///< A new version of the configuration.
  kStore,           ///< A fault of the store.
  kTrim,            ///< The store drops its history.
  kRestore,         ///< The store comes back from an older copy.
  kRunnerCrash,     ///< A crash, then a restart.
  kRunnerRest,      ///< A runner turns requests away.
  kRunnerLeave,     ///< A runner says that it leaves, ends and is restarted.
};

/// One disturbance from outside.
struct Fault {
  Millis at = 0;  ///< Since the start of the faults.
  FaultKind kind = FaultKind::kStop;
  int target = 0;  ///< Index of the host or runner.
  Millis length = 0;
  std::string detail;  ///< Kind of the store's fault.

  bool operator==(const Fault&) const = default;
};

struct ScheduleSettings {
  std::uint64_t seed = 1;
  Millis length = 0;
  int hosts = 0;
  int spares = 0;
  int runners = 0;
  bool is_planned_only = false;  ///< Only stops, reloads and configurations.

  bool operator==(const ScheduleSettings&) const = default;
};

/// @return whether the fault's target is a runner.
bool IsOfRunner(FaultKind kind);

/// @return series of faults that overlap, ordered by time; the same for the
/// same settings.
std::vector<Fault> MakeSchedule(const ScheduleSettings& settings);

/// @return a line for the log.
std::string Describe(const Fault& fault);

}  // namespace cicadaloft::soak

#endif  // CICADALOFT_TESTS_SOAK_SCHEDULE_H_
