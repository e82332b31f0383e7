#include "hosts.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <fstream>

#include "checks.h"

namespace cicadaloft::soak {
namespace {

namespace asio = boost::asio;

/// A process that ends is restarted at least this much later.
constexpr Millis kRestartDelay = 100;
/// A span that is still open.
constexpr Millis kOpen = INT64_MAX;

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path, std::ios::trunc) << text;
}

}  // namespace

Hosts::Hosts(asio::io_context& context,
             Processes& processes,
             const Deployment& deployment)
    : context(context),
      processes(processes),
      deployment(deployment),
      states(deployment.hosts().size()) {}

void Hosts::Start(int host) {
  asio::co_spawn(this->context, this->Supervise(host), asio::detached);
}

asio::awaitable<void> Hosts::Supervise(int host) {
  const HostPlace& place =
      this->deployment.hosts().at(static_cast<std::size_t>(host));
  while (!this->is_ending) {
    State& state = this->At(host);
    WriteFile(this->deployment.SettingsPath(place),
              this->deployment.Settings(place, state.starts == 0));
    ++state.starts;
    state.pid = this->processes.Start(this->deployment.HostCommand(place));
    state.life = this->all_lives.size();
    this->all_lives.push_back(
        {.host = host, .pid = state.pid, .started_at = Now()});
    const End end = co_await this->processes.AwaitEnd(state.pid);
    Life& life = this->LifeOf(host);
    life.ended_at = end.at;
    life.signal = end.signal;
    life.code = end.code;
    co_await Sleep(kRestartDelay + state.restart_delay);
    state.restart_delay = 0;
  }
}

void Hosts::NoteReady(int host) {
  Life& life = this->LifeOf(host);
  if (life.ready_at == 0 && life.ended_at == 0) {
    life.ready_at = Now();
  }
}

std::size_t Hosts::Open(SpanKind kind, int host) {
  this->all_spans.push_back(
      {.kind = kind, .index = host, .from = Now(), .to = kOpen});
  return this->all_spans.size() - 1;
}

void Hosts::Stop(int host, Millis pause) {
  State& state = this->At(host);
  if (!this->processes.IsAlive(state.pid)) {
    return;
  }
  Life& life = this->LifeOf(host);
  if (life.due == Due::kNothing) {
    life.due = Due::kTerminated;
    life.terminated_at = Now();
    asio::co_spawn(this->context, this->KillAfterGrace(state.pid),
                   asio::detached);
  }
  state.restart_delay = pause;
  this->Close(this->Open(SpanKind::kHostStop, host));
  this->processes.Signal(state.pid, SIGTERM);
}

asio::awaitable<void> Hosts::KillAfterGrace(int pid) {
  // What the end itself takes to be seen.
  constexpr Millis kMargin = 200;
  co_await Sleep(kGracePeriod + kMargin);
  this->processes.Signal(pid, SIGCONT);
  this->processes.Signal(pid, SIGKILL);
}

void Hosts::Kill(int host, Millis pause) {
  State& state = this->At(host);
  if (!this->processes.IsAlive(state.pid)) {
    return;
  }
  this->LifeOf(host).due = Due::kKilled;
  state.restart_delay = pause;
  this->Close(this->Open(SpanKind::kHostFault, host));
  this->processes.Signal(state.pid, SIGKILL);
}

asio::awaitable<void> Hosts::Freeze(int host, Millis time) {
  const int pid = this->At(host).pid;
  if (!this->processes.IsAlive(pid)) {
    co_return;
  }
  const std::size_t span = this->Open(SpanKind::kHostFault, host);
  ++this->At(host).freezes;
  this->processes.Signal(pid, SIGSTOP);
  co_await Sleep(time);
  if (--this->At(host).freezes == 0) {
    this->processes.Signal(pid, SIGCONT);
  }
  this->Close(span);
}

asio::awaitable<void> Hosts::Slow(int host, Millis time) {
  constexpr Millis kRunning = 25;
  constexpr Millis kPeriod = 100;
  const Millis end = Now() + time;
  while (Now() < end) {
    const int pid = this->At(host).pid;
    ++this->At(host).freezes;
    this->processes.Signal(pid, SIGSTOP);
    co_await Sleep(kPeriod - kRunning);
    if (--this->At(host).freezes == 0) {
      this->processes.Signal(pid, SIGCONT);
    }
    co_await Sleep(kRunning);
  }
}

asio::awaitable<void> Hosts::Reload(int host, Millis time) {
  const HostPlace& place =
      this->deployment.hosts().at(static_cast<std::size_t>(host));
  const std::string path = this->deployment.SettingsPath(place);
  const std::string text =
      this->deployment.Settings(place, this->At(host).starts == 1);
  WriteFile(path, text.substr(0, text.size() / 2));
  this->processes.Signal(this->At(host).pid, SIGHUP);
  co_await Sleep(time);
  WriteFile(path, text);
}

asio::awaitable<bool> Hosts::AwaitRestart(int host) {
  constexpr Millis kPoll = 1;
  const int starts = this->At(host).starts;
  const Millis limit = Now() + kGracePeriod + kStabilityWindow;
  while (this->At(host).starts == starts && Now() < limit) {
    co_await Sleep(kPoll);
  }
  co_return this->At(host).starts != starts;
}

asio::awaitable<void> Hosts::StopAll() {
  this->is_ending = true;
  for (std::size_t i = 0; i < this->states.size(); ++i) {
    this->Stop(static_cast<int>(i), 0);
  }
  for (const State& state : this->states) {
    if (state.pid != 0) {
      co_await this->processes.AwaitEnd(state.pid);
    }
  }
}

void Hosts::NoteUsage(State& state, int host, const Usage& now) {
  // The deployment gives a host a quarter of a core. One that was ready to run
  // for more than that and ran for less got less than its share.
  constexpr double kShare = 0.25;
  const Usage last = state.usage;
  state.usage = now;
  const auto time = static_cast<double>(now.at - last.at);
  const auto ran = static_cast<double>(now.ran - last.ran);
  const auto waited = static_cast<double>(now.waited - last.waited);
  if (last.pid == now.pid && ran < kShare * time &&
      waited > (1 - kShare) * time) {
    this->all_spans.push_back({.kind = SpanKind::kHostStarved,
                               .index = host,
                               .from = last.at,
                               .to = now.at});
  }
}

void Hosts::Measure() {
  std::ofstream usage(this->deployment.paths().logs + "/usage.txt",
                      std::ios::app);
  for (State& state : this->states) {
    if (this->processes.IsAlive(state.pid)) {
      Life& life = this->all_lives.at(state.life);
      life.peak_mb = std::max(life.peak_mb, Processes::PeakMemoryMb(state.pid));
      const auto [ran, waited] = Processes::ProcessorTimes(state.pid);
      usage << Now() << " host " << life.host << " pid " << state.pid
            << " ran_ms " << ran << " waited_ms " << waited << "\n";
      this->NoteUsage(
          state, life.host,
          {.pid = state.pid, .at = Now(), .ran = ran, .waited = waited});
    }
  }
}

}  // namespace cicadaloft::soak
