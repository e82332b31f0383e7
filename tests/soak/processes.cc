#include "processes.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <optional>
#include <stdexcept>

namespace cicadaloft::soak {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
constexpr int kCantStart = 127;

// Runs in the child between fork and exec: only calls that are safe there.
[[noreturn]] void Execute(const Command& command,
                          int log,
                          int parent,
                          char* const* words) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(kCantStart);
  }
  if (command.max_descriptors > 0) {
    const auto count = static_cast<rlim_t>(command.max_descriptors);
    const rlimit limit{.rlim_cur = count, .rlim_max = count};
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execv(words[0], words);
  _exit(kCantStart);
}

/// Blocks the signals of a stop and a reload while it lives; a process that is
/// forked meanwhile inherits that.
class SignalBlock {
 public:
  SignalBlock() {
    sigset_t set;
    sigemptyset(&set);
    std::ranges::for_each(std::array{SIGTERM, SIGINT, SIGHUP},
                          [&](int number) { sigaddset(&set, number); });
    sigprocmask(SIG_BLOCK, &set, &this->before);
  }
  ~SignalBlock() { sigprocmask(SIG_SETMASK, &this->before, nullptr); }
  SignalBlock(const SignalBlock&) = delete;
  SignalBlock& operator=(const SignalBlock&) = delete;

 private:
  sigset_t before{};
};

}  // namespace

Millis Now() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

asio::awaitable<bool> Sleep(Millis time) {
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           milliseconds(time));
  const auto [error] = co_await timer.async_wait(kNoThrow);
  co_return !error;
}

Processes::Processes(asio::io_context& context)
    : context(context), child_signals(context, SIGCHLD) {
  asio::co_spawn(context, this->Reap(), asio::detached);
}

Processes::~Processes() {
  for (const auto& [pid, child] : this->children) {
    this->Signal(pid, SIGKILL);
  }
  for (const auto& [pid, child] : this->children) {
    if (child.is_alive) {
      waitpid(pid, nullptr, 0);
    }
  }
}

int Processes::Start(const Command& command) {
  std::vector<std::string> words = command.words;
  std::vector<char*> pointers;
  std::ranges::transform(words, std::back_inserter(pointers),
                         [](std::string& word) { return word.data(); });
  pointers.push_back(nullptr);
  const int log = open(command.log.c_str(),
                       O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (log < 0) {
    throw std::runtime_error("can't open " + command.log);
  }
  const int parent = getpid();
  std::optional<SignalBlock> signal_block;
  if (command.blocks_signals) {
    signal_block.emplace();
  }
  const int pid = fork();
  if (pid == 0) {
    Execute(command, log, parent, pointers.data());
  }
  signal_block.reset();
  close(log);
  if (pid < 0) {
    throw std::runtime_error("can't start " + words.front());
  }
  this->children.emplace(
      pid, Child{.ended = std::make_unique<asio::steady_timer>(
                     this->context, asio::steady_timer::time_point::max())});
  return pid;
}

void Processes::Signal(int pid, int number) {
  if (this->IsAlive(pid)) {
    kill(pid, number);
  }
}

bool Processes::IsAlive(int pid) const {
  const auto found = this->children.find(pid);
  return found != this->children.end() && found->second.is_alive;
}

asio::awaitable<End> Processes::AwaitEnd(int pid) {
  Child& child = this->children.at(pid);
  if (child.is_alive) {
    co_await child.ended->async_wait(kNoThrow);
  }
  co_return child.end;
}

int Processes::PeakMemoryMb(int pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  while (status >> word) {
    if (word == "VmHWM:") {
      constexpr int kKilobytesPerMegabyte = 1024;
      int kilobytes = 0;
      status >> kilobytes;
      return kilobytes / kKilobytesPerMegabyte;
    }
  }
  return 0;
}

std::pair<Millis, Millis> Processes::ProcessorTimes(int pid) {
  constexpr Millis kNanosPerMilli = 1'000'000;
  std::ifstream file("/proc/" + std::to_string(pid) + "/schedstat");
  Millis ran = 0;
  Millis waited = 0;
  file >> ran >> waited;
  return {ran / kNanosPerMilli, waited / kNanosPerMilli};
}

asio::awaitable<void> Processes::Reap() {
  while (true) {
    const auto [error, number] =
        co_await this->child_signals.async_wait(kNoThrow);
    if (error) {
      co_return;
    }
    this->Collect();
  }
}

void Processes::Collect() {
  for (auto& [pid, child] : this->children) {
    int status = 0;
    if (!child.is_alive || waitpid(pid, &status, WNOHANG) != pid) {
      continue;
    }
    child.is_alive = false;
    child.end = {.at = Now(),
                 .signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0,
                 .code = WIFEXITED(status) ? WEXITSTATUS(status) : 0};
    child.ended->cancel();
  }
}

}  // namespace cicadaloft::soak
