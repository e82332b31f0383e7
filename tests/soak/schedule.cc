#include "schedule.h"

#include <algorithm>
#include <array>
#include <random>

namespace cicadaloft::soak {
namespace {

struct Weighted {
  FaultKind kind;
  const char* name;
  int weight;
  bool is_planned;
  Millis min_length;
  Millis max_length;
};

constexpr std::array kFaults{
    Weighted{FaultKind::kStop, "stop", 6, true, 100, 1500},
    Weighted{FaultKind::kKill, "kill", 3, false, 100, 2000},
    Weighted{FaultKind::kPause, "pause", 2, false, 50, 4000},
    Weighted{FaultKind::kReload, "reload", 5, true, 0, 40},
    Weighted{FaultKind::kStopThenReload, "stop-then-reload", 3, true, 0, 30},
    Weighted{FaultKind::kStopThenStop, "stop-then-stop", 2, true, 0, 200},
    Weighted{FaultKind::kSlow, "slow", 2, false, 2000, 6000},
    Weighted{FaultKind::kAddHost, "add-host", 1, true, 0, 0},
    Weighted{FaultKind::kConfigure, "configure", 4, true, 0, 0},
    Weighted{FaultKind::kStore, "store", 3, false, 500, 5000},
    Weighted{FaultKind::kTrim, "trim", 1, false, 0, 0},
    Weighted{FaultKind::kRestore, "restore", 2, false, 100, 2000},
    Weighted{FaultKind::kRunnerCrash, "runner-crash", 3, false, 200, 3000},
    Weighted{FaultKind::kRunnerRest, "runner-rest", 2, true, 1000, 3000},
    Weighted{FaultKind::kRunnerLeave, "runner-leave", 2, true, 2500, 4000},
};

constexpr std::array kStoreFaults{"down", "lost", "silent", "slow"};

/// Random numbers that are the same with every standard library.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine(seed) {}
  Millis Between(Millis low, Millis high) {
    return low +
           static_cast<Millis>(this->engine() %
                               static_cast<std::uint64_t>(high - low + 1));
  }

 private:
  std::mt19937_64 engine;
};

const Weighted& PickFault(Random& random, bool is_planned_only) {
  const auto weight = [&](const Weighted& item) {
    return item.is_planned || !is_planned_only ? item.weight : 0;
  };
  int total = 0;
  for (const Weighted& item : kFaults) {
    total += weight(item);
  }
  Millis left = random.Between(1, total);
  return *std::ranges::find_if(kFaults, [&](const Weighted& item) {
    left -= weight(item);
    return left <= 0;
  });
}

}  // namespace

bool IsOfRunner(FaultKind kind) {
  return kind == FaultKind::kRunnerCrash || kind == FaultKind::kRunnerRest ||
         kind == FaultKind::kRunnerLeave;
}

std::vector<Fault> MakeSchedule(const ScheduleSettings& settings) {
  // Within a series faults follow each other closely; series are apart by more
  // than the stability window, so that the rules for calm hosts bind.
  constexpr Millis kMaxInSeries = 900;
  constexpr Millis kMinBetween = 3500;
  constexpr Millis kMaxBetween = 6000;
  Random random(settings.seed);
  std::vector<Fault> faults;
  Millis at = random.Between(0, kMaxInSeries);
  while (at < settings.length) {
    const Millis count = random.Between(2, 6);
    // Half of a series' faults of hosts hit the same host.
    const Millis series_host = random.Between(0, settings.hosts - 1);
    for (Millis i = 0; i < count && at < settings.length; ++i) {
      const Weighted& item = PickFault(random, settings.is_planned_only);
      const bool is_of_runner = IsOfRunner(item.kind);
      const Millis any = random.Between(
          0, (is_of_runner ? settings.runners : settings.hosts) - 1);
      const bool is_again = !is_of_runner && random.Between(0, 1) == 0;
      Fault fault{.at = at,
                  .kind = item.kind,
                  .target = static_cast<int>(is_again ? series_host : any),
                  .length = random.Between(item.min_length, item.max_length),
                  .detail = kStoreFaults.at(static_cast<std::size_t>(
                      random.Between(0, kStoreFaults.size() - 1)))};
      if (item.kind == FaultKind::kAddHost) {
        fault.target = settings.hosts;
      }
      faults.push_back(fault);
      at += random.Between(0, kMaxInSeries);
    }
    at += random.Between(kMinBetween, kMaxBetween);
  }
  // Each spare is added once.
  int next = settings.hosts;
  std::erase_if(faults, [&](Fault& fault) {
    if (fault.kind != FaultKind::kAddHost) {
      return false;
    }
    fault.target = next++;
    return fault.target >= settings.hosts + settings.spares;
  });
  return faults;
}

std::string Describe(const Fault& fault) {
  const auto& item = *std::ranges::find(kFaults, fault.kind, &Weighted::kind);
  return std::string(item.name) + " " +
         (fault.kind == FaultKind::kStore ? fault.detail
                                          : std::to_string(fault.target)) +
         " for " + std::to_string(fault.length) + " ms";
}

}  // namespace cicadaloft::soak
