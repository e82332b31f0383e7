#ifndef CICADALOFT_CONTROL_TESTS_SIMULATED_HOSTS_H_
#define CICADALOFT_CONTROL_TESTS_SIMULATED_HOSTS_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <vector>

#include "simulated_host.h"
#include "simulated_surroundings.h"
#include "simulated_time.h"

namespace cicadaloft {

/// The hosts of a HostsSimulation, the lease's log, and faults of both.
class SimulatedHosts : public SimulatedTime {
 public:
  /// Cuts the holder off from the lease's log; its links stay up.
  void CutHolderFromLog() {
    for (const auto& host : this->hosts) {
      host->is_cut_from_log |= host->id == this->lease_log.Holder();
    }
  }

  /// Cuts the first hosts off from the lease's log.
  void CutFromLog(double fraction) {
    const auto count = static_cast<std::size_t>(
        fraction * static_cast<double>(this->hosts.size()));
    for (std::size_t i = 0; i < count; ++i) {
      this->hosts.at(i)->is_cut_from_log = true;
    }
  }
  void CutAllFromLog() { this->CutFromLog(1); }

  /// Stops the process that holds the lease for this time.
  void FreezeHolder(Duration time) {
    Host& host = *this->Find(this->lease_log.Holder());
    host.is_frozen = true;
    this->Schedule(time, [&host] { host.Resume(); });
  }

  HostId Holder() const { return this->lease_log.Holder(); }
  /// The store that has the lease's log states this era from now on.
  void SetStoreEra(StoreEra era) { this->lease_log.era = era; }

  /// @return the hosts that live and don't hold the lease.
  std::vector<const SimulatedHost*> Followers() const {
    std::vector<const SimulatedHost*> followers;
    for (const auto& host : this->hosts) {
      if (host->is_alive && host->id != this->lease_log.Holder()) {
        followers.push_back(host.get());
      }
    }
    return followers;
  }

  /// @return what the entries of the hosts that live were last told, by host.
  std::map<HostId, SharesChanged> Shares() const {
    std::map<HostId, SharesChanged> shares;
    for (const auto& host : this->hosts) {
      if (host->is_alive) {
        shares.emplace(host->id, host->shares);
      }
    }
    return shares;
  }

  std::size_t HostCount() const { return this->hosts.size(); }

  /// @return whether the host reaches the store.
  bool ReachesStore(const HostId& id) {
    return !this->Find(id)->is_cut_from_log;
  }

  /// @return whether the host's process lives and isn't frozen.
  bool IsRunning(const HostId& id) {
    const Host& host = *this->Find(id);
    return host.is_alive && !host.is_frozen;
  }

 protected:
  using Host = SimulatedHost;

  Host* Find(const HostId& id) {
    return std::ranges::find_if(
               this->hosts, [&](const auto& host) { return host->id == id; })
        ->get();
  }

  std::vector<std::unique_ptr<Host>> hosts;
  SimulatedLeaseLog lease_log;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_TESTS_SIMULATED_HOSTS_H_
