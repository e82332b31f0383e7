#include "balancer.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iterator>
#include <ranges>

namespace cicadaloft::soak {
namespace {

constexpr Millis kProbeInterval = 1000;
constexpr int kMissesUntilOut = 2;
constexpr int kStatusOk = 200;

}  // namespace

Balancer::Balancer(const std::vector<HostPlace>& hosts, OnReady on_ready)
    : hosts(hosts), on_ready(std::move(on_ready)), states(hosts.size()) {}

void Balancer::Add(boost::asio::io_context& context, int host) {
  this->states.at(static_cast<std::size_t>(host)).is_added = true;
  boost::asio::co_spawn(context, this->Probe(host), boost::asio::detached);
}

boost::asio::awaitable<void> Balancer::Probe(int host) {
  const auto index = static_cast<std::size_t>(host);
  while (true) {
    const Millis start = Now();
    const int status = co_await CallOnce(this->hosts.at(index).ready, "GET",
                                         "/readyz", "", kProbeInterval);
    State& state = this->states.at(index);
    state.misses = status == kStatusOk ? 0 : state.misses + 1;
    if (status == kStatusOk) {
      this->on_ready(host);
    }
    co_await Sleep(std::max<Millis>(0, start + kProbeInterval - Now()));
  }
}

std::vector<const HostPlace*> Balancer::Candidates(
    const std::string& data_centre) {
  std::vector<const HostPlace*> ready;
  std::ptrdiff_t added = 0;
  for (const HostPlace& host : this->hosts) {
    const State& state = this->states.at(static_cast<std::size_t>(host.index));
    const bool is_near = data_centre.empty() || host.data_centre == data_centre;
    if (state.is_added && is_near) {
      ++added;
      if (state.misses < kMissesUntilOut) {
        ready.push_back(&host);
      }
    }
  }
  const bool is_enough = 2 * std::ssize(ready) >= added;
  if (!ready.empty() && !is_enough) {
    ready.clear();
    for (const HostPlace& host : this->hosts) {
      if (this->states.at(static_cast<std::size_t>(host.index)).is_added &&
          (data_centre.empty() || host.data_centre == data_centre)) {
        ready.push_back(&host);
      }
    }
  }
  return ready;
}

const HostPlace* Balancer::Pick(const std::string& data_centre,
                                std::uint64_t random) {
  std::vector<const HostPlace*> candidates = this->Candidates(data_centre);
  if (candidates.empty()) {
    candidates = this->Candidates("");
  }
  return candidates.empty() ? nullptr : candidates[random % candidates.size()];
}

}  // namespace cicadaloft::soak
