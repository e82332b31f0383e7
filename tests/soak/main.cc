// A soak of the whole deployment: real processes on this machine, faults from
// outside, and checks of what callers and runners see.

#include <docopt/docopt.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "balancer.h"
#include "callers.h"
#include "checks.h"
#include "deployment.h"
#include "director.h"
#include "hosts.h"
#include "processes.h"
#include "schedule.h"

namespace cicadaloft::soak {
namespace {

namespace asio = boost::asio;

constexpr char kUsage[] = R"(A soak of cicadaloft.

Usage:
  cicadaloft_soak --build DIR [--seed N] [--seconds S] [--hosts N] [--spares N]
                  [--runners N] [--rate N] [--logs DIR] [--host-program PATH]
                  [--planned-only] [--plain-start]

Options:
  --build DIR          Build directory with the programs.
  --seed N             Seed of the schedule [default: 1].
  --seconds S          Length of the schedule [default: 30].
  --hosts N            Number of hosts [default: 6].
  --spares N           Hosts that may be added [default: 3].
  --runners N          Number of runners [default: 21].
  --rate N             Requests per second [default: 140].
  --logs DIR           Where the directory seed-N with the logs is made, which is
                       kept if a check fails [default: /tmp/cicadaloft_soak].
  --host-program PATH  Another build of the host.
  --planned-only       Only stops, reloads, configurations, and runners that
                       rest or leave.
  --plain-start        Start hosts with no signal blocked. A signal between exec
                       and main then ends them; hosts before issue 39 need it.

Exit codes: 0 all checks passed, 1 a check failed.
)";

struct Options {
  Paths paths;
  ScheduleSettings schedule;
  double rate = 0;
};

// The data centres' shares of the callers' rate.
struct CentreShare {
  const char* name;
  double share;
};
constexpr std::array kCentreShares{CentreShare{"norte-a", 0.256},
                                   CentreShare{"norte-b", 0.370},
                                   CentreShare{"norte-c", 0.374}};

class Soak {
 public:
  Soak(asio::io_context& context, Options options)
      : context(context),
        options(std::move(options)),
        deployment(this->options.paths,
                   this->options.schedule.hosts,
                   this->options.schedule.spares,
                   this->options.schedule.runners),
        processes(context),
        hosts(context, this->processes, this->deployment),
        balancer(this->deployment.hosts(),
                 [this](int host) { this->hosts.NoteReady(host); }),
        director(context,
                 this->processes,
                 this->deployment,
                 this->hosts,
                 this->balancer) {
    for (const CentreShare& centre : kCentreShares) {
      this->callers.push_back(std::make_unique<Callers>(
          context,
          Callers::Settings{
              .data_centre = centre.name,
              .id_prefix = std::string(1, "abc"[this->callers.size()]),
              .rate_per_second = this->options.rate * centre.share,
              .seed = this->options.schedule.seed + this->callers.size()},
          this->balancer, [this](Call call) {
            this->evidence.calls.push_back(std::move(call));
          }));
    }
  }

  asio::awaitable<void> Run() {
    // Callers start once the hosts have had the time to become ready.
    constexpr Millis kLead = 4000;
    constexpr Millis kTail = 4000;
    co_await this->director.StartAll(this->options.schedule.hosts);
    asio::co_spawn(this->context, this->Watch(), asio::detached);
    co_await Sleep(kLead);
    for (const auto& group : this->callers) {
      asio::co_spawn(this->context, this->RunCallers(*group), asio::detached);
    }
    co_await Sleep(kStabilityWindow);
    co_await this->director.Run(MakeSchedule(this->options.schedule));
    co_await Sleep(kRecovery + kTail);
    // One more planned stop, of all hosts, with requests on their way.
    this->CollectSpans();
    this->evidence.stopped_at = Now();
    co_await this->hosts.StopAll();
    for (const auto& group : this->callers) {
      group->Stop();
    }
    while (this->running_callers > 0) {
      co_await Sleep(10);
    }
    this->context.stop();
  }

  /// @return all that was seen.
  Evidence Collect() {
    this->evidence.lives = this->hosts.lives();
    this->evidence.ended_at = Now();
    for (const RunnerPlace& runner : this->deployment.runners()) {
      std::ranges::copy(
          ReadRuns(this->deployment.RunsPath(runner), runner.index),
          std::back_inserter(this->evidence.runs));
      std::ranges::copy(
          ReadOrders(this->deployment.OrdersPath(runner), runner.index),
          std::back_inserter(this->evidence.orders));
    }
    return this->evidence;
  }

 private:
  asio::awaitable<void> RunCallers(Callers& group) {
    ++this->running_callers;
    co_await group.Run();
    --this->running_callers;
  }

  asio::awaitable<void> Watch() {
    constexpr Millis kInterval = 500;
    while (true) {
      this->hosts.Measure();
      co_await Sleep(kInterval);
    }
  }

  void CollectSpans() {
    std::ranges::copy(this->director.spans(),
                      std::back_inserter(this->evidence.spans));
    std::ranges::copy(this->hosts.spans(),
                      std::back_inserter(this->evidence.spans));
  }

  asio::io_context& context;
  const Options options;
  const Deployment deployment;
  Processes processes;
  Hosts hosts;
  Balancer balancer;
  Director director;
  std::vector<std::unique_ptr<Callers>> callers;
  int running_callers = 0;
  Evidence evidence;
};

Options ReadOptions(std::map<std::string, docopt::value>& values) {
  const std::string build = values["--build"].asString();
  const std::string seed = values["--seed"].asString();
  constexpr Millis kMillisPerSecond = 1000;
  return {
      .paths = {.build = build,
                .host_program = values["--host-program"].isString()
                                    ? values["--host-program"].asString()
                                    : build + "/host/cicadaloft-host",
                .starts_plainly = values["--plain-start"].asBool(),
                .logs = values["--logs"].asString() + "/seed-" + seed},
      .schedule = {.seed = std::stoull(seed),
                   .length = values["--seconds"].asLong() * kMillisPerSecond,
                   .hosts = static_cast<int>(values["--hosts"].asLong()),
                   .spares = static_cast<int>(values["--spares"].asLong()),
                   .runners = static_cast<int>(values["--runners"].asLong()),
                   .is_planned_only = values["--planned-only"].asBool()},
      .rate = std::stod(values["--rate"].asString())};
}

void PrintSummary(const Evidence& evidence) {
  std::map<std::string, int> counts;
  for (const Call& call : evidence.calls) {
    ++counts[call.outcome == Outcome::kAnswered   ? std::to_string(call.status)
             : call.outcome == Outcome::kClosed   ? "closed"
             : call.outcome == Outcome::kTimedOut ? "timed out"
                                                  : "not sent"];
  }
  int peak = 0;
  for (const Life& life : evidence.lives) {
    peak = std::max(peak, life.peak_mb);
  }
  std::cout << evidence.calls.size() << " requests:";
  for (const auto& [what, count] : counts) {
    std::cout << " " << what << " " << count;
  }
  std::cout << "; " << evidence.runs.size() << " runs, "
            << evidence.orders.size() << " orders, " << evidence.lives.size()
            << " lives of hosts, at most " << peak << " MB" << std::endl;
}

void PrintViolations(const std::vector<Violation>& violations) {
  constexpr int kMaxOfRule = 10;
  std::map<std::string, int> counts;
  for (const Violation& violation : violations) {
    if (++counts[violation.rule] <= kMaxOfRule) {
      std::cout << violation.rule << ": " << violation.text << std::endl;
    }
  }
  for (const auto& [rule, count] : counts) {
    std::cout << rule << ": " << count << " violations" << std::endl;
  }
}

// The requests, so that a violation can be traced next to the hosts' logs.
void WriteCalls(const Evidence& evidence, const std::string& path) {
  std::ofstream file(path);
  for (const Call& call : evidence.calls) {
    file << call.id << " host " << call.host << " sent " << call.sent_at
         << " ended " << call.ended_at << " outcome "
         << static_cast<int>(call.outcome) << " status " << call.status << "\n";
  }
}

int Main(int argc, char** argv) {
  auto values = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  const Options options = ReadOptions(values);
  // What an earlier soak left there would count as runs of this one.
  std::filesystem::remove_all(options.paths.logs);
  std::filesystem::create_directories(options.paths.logs);
  asio::io_context context(1);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  bool is_interrupted = false;
  signals.async_wait([&](auto error, int) {
    if (!error) {
      is_interrupted = true;
      context.stop();
    }
  });
  Soak soak(context, options);
  std::exception_ptr failure;
  asio::co_spawn(context, soak.Run(), [&](const std::exception_ptr& thrown) {
    failure = thrown;
    context.stop();
  });
  context.run();
  if (failure) {
    std::rethrow_exception(failure);
  }
  if (is_interrupted) {
    std::cout << "interrupted" << std::endl;
    return 1;
  }
  const Evidence evidence = soak.Collect();
  PrintSummary(evidence);
  const std::vector<Violation> violations = CheckAll(evidence);
  PrintViolations(violations);
  if (violations.empty()) {
    std::filesystem::remove_all(options.paths.logs);
    std::cout << "all checks passed" << std::endl;
    return 0;
  }
  WriteCalls(evidence, options.paths.logs + "/calls.txt");
  std::cout << "failed, logs in " << options.paths.logs << ":";
  std::copy(argv, argv + argc,
            std::ostream_iterator<const char*>(std::cout, " "));
  std::cout << std::endl;
  return 1;
}

}  // namespace
}  // namespace cicadaloft::soak

int main(int argc, char** argv) {
  try {
    return cicadaloft::soak::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 1;
  }
}
