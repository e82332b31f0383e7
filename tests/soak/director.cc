#include "director.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <iostream>

namespace cicadaloft::soak {
namespace {

namespace asio = boost::asio;

constexpr Millis kCallTimeout = 2000;
/// Age of the copy from which the store comes back.
constexpr Millis kRestoredAge = 8000;

}  // namespace

Director::Director(asio::io_context& context,
                   Processes& processes,
                   const Deployment& deployment,
                   Hosts& hosts,
                   Balancer& balancer)
    : context(context),
      processes(processes),
      deployment(deployment),
      hosts(hosts),
      balancer(balancer),
      runner_pids(deployment.runners().size()) {}

asio::awaitable<void> Director::StartAll(int host_count) {
  constexpr Millis kPoll = 20;
  constexpr int kStatusOk = 200;
  this->processes.Start(this->deployment.StoreCommand());
  while (co_await CallOnce(this->deployment.store(), "GET",
                           "/log-newest?topic=keyed.op&part=0", "",
                           kCallTimeout) != kStatusOk) {
    co_await Sleep(kPoll);
  }
  for (const RunnerPlace& runner : this->deployment.runners()) {
    this->StartRunner(runner.index, true);
  }
  for (int i = 0; i < host_count; ++i) {
    this->hosts.Start(i);
  }
  // The hosts' records exist once their start has been dispatched.
  co_await Sleep(kPoll);
  for (int i = 0; i < host_count; ++i) {
    this->balancer.Add(this->context, i);
  }
  co_await this->Configure();
}

void Director::StartRunner(int runner, bool is_first) {
  const auto index = static_cast<std::size_t>(runner);
  this->runner_pids.at(index) =
      this->processes.Start(this->deployment.RunnerCommand(
          this->deployment.runners().at(index), is_first));
}

asio::awaitable<void> Director::Configure() {
  ++this->version;
  const std::string record = ConfigurationRecord(this->version);
  co_await CallOnce(this->deployment.store(), "POST",
                    "/admin/put?topic=keyed.op&key=config", record,
                    kCallTimeout);
}

asio::awaitable<void> Director::Run(std::vector<Fault> schedule) {
  constexpr Millis kPoll = 50;
  const Millis start = Now();
  for (const Fault& fault : schedule) {
    co_await Sleep(std::max<Millis>(0, start + fault.at - Now()));
    std::cout << Now() - start << " ms: " << Describe(fault) << std::endl;
    ++this->open_faults;
    asio::co_spawn(this->context, this->CarryOut(fault), asio::detached);
  }
  while (this->open_faults > 0) {
    co_await Sleep(kPoll);
  }
}

// No switch: g++ 12 compiles a switch with co_await wrongly.
asio::awaitable<void> Director::CarryOut(Fault fault) {
  if (fault.kind == FaultKind::kConfigure) {
    co_await this->Configure();
  } else if (fault.kind == FaultKind::kStore ||
             fault.kind == FaultKind::kTrim ||
             fault.kind == FaultKind::kRestore) {
    co_await this->CarryOutOnStore(fault);
  } else if (IsOfRunner(fault.kind)) {
    co_await this->CarryOutOnRunner(fault);
  } else {
    co_await this->CarryOutOnHost(fault);
  }
  --this->open_faults;
}

asio::awaitable<void> Director::CarryOutOnHost(Fault fault) {
  if (fault.kind == FaultKind::kStop) {
    this->hosts.Stop(fault.target, fault.length);
  } else if (fault.kind == FaultKind::kKill) {
    this->hosts.Kill(fault.target, fault.length);
  } else if (fault.kind == FaultKind::kPause) {
    co_await this->hosts.Freeze(fault.target, fault.length);
  } else if (fault.kind == FaultKind::kSlow) {
    co_await this->hosts.Slow(fault.target, fault.length);
  } else if (fault.kind == FaultKind::kReload) {
    co_await this->hosts.Reload(fault.target, fault.length);
  } else if (fault.kind == FaultKind::kAddHost) {
    this->hosts.Start(fault.target);
    co_await Sleep(1);
    this->balancer.Add(this->context, fault.target);
  } else {
    co_await this->RestartThen(fault);
  }
}

asio::awaitable<void> Director::RestartThen(Fault fault) {
  this->hosts.Stop(fault.target, 0);
  const bool is_restarted = co_await this->hosts.AwaitRestart(fault.target);
  if (!is_restarted) {
    co_return;
  }
  co_await Sleep(fault.length);
  if (fault.kind == FaultKind::kStopThenStop) {
    this->hosts.Stop(fault.target, 0);
  } else {
    co_await this->hosts.Reload(fault.target, fault.length);
  }
}

asio::awaitable<void> Director::CarryOutOnStore(Fault fault) {
  if (fault.kind == FaultKind::kTrim) {
    co_await CallOnce(this->deployment.store(), "POST",
                      "/admin/trim?topic=keyed.op", "", kCallTimeout);
    co_return;
  }
  this->AddSpan(SpanKind::kStoreFault, 0, fault.length);
  const std::string length = std::to_string(fault.length);
  const std::string path =
      fault.kind == FaultKind::kRestore
          ? "/admin/restore?back_ms=" + std::to_string(kRestoredAge) +
                "&away_ms=" + length
          : "/admin/fault?kind=" + fault.detail + "&for_ms=" + length;
  co_await CallOnce(this->deployment.store(), "POST", path, "", kCallTimeout);
  co_await Sleep(fault.length);
}

asio::awaitable<void> Director::CarryOutOnRunner(Fault fault) {
  constexpr Millis kMillisPerSecond = 1000;
  const auto index = static_cast<std::size_t>(fault.target);
  const Address address = this->deployment.runners().at(index).listen;
  if (fault.kind == FaultKind::kRunnerRest) {
    const std::string path = "/admin/rest?seconds=" +
                             std::to_string(fault.length / kMillisPerSecond);
    co_await CallOnce(address, "POST", path, "", kCallTimeout);
    co_return;
  }
  const int pid = this->runner_pids.at(index);
  Millis down = fault.length;
  if (fault.kind == FaultKind::kRunnerLeave) {
    co_await CallOnce(address, "POST", "/admin/leaving", "", kCallTimeout);
    co_await Sleep(fault.length);
    down = 0;
  }
  // Another fault may have restarted it meanwhile.
  if (!this->processes.IsAlive(pid) || this->runner_pids.at(index) != pid) {
    co_return;
  }
  this->AddSpan(SpanKind::kRunnerFault, fault.target, down);
  this->processes.Signal(pid, SIGKILL);
  co_await this->processes.AwaitEnd(pid);
  co_await Sleep(down);
  this->StartRunner(fault.target, false);
}

void Director::AddSpan(SpanKind kind, int index, Millis length) {
  this->all_spans.push_back(
      {.kind = kind, .index = index, .from = Now(), .to = Now() + length});
}

}  // namespace cicadaloft::soak
