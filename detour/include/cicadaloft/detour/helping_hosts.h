#ifndef CICADALOFT_DETOUR_HELPING_HOSTS_H_
#define CICADALOFT_DETOUR_HELPING_HOSTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/detour/detour_messages.h"

namespace cicadaloft {

/// The hosts that take requests of this host while it reaches no target.
class HelpingHosts {
 public:
  /// A host that could not be connected to, or refused, gets no request for
  /// this time.
  static constexpr Duration kFailureBackoff = std::chrono::seconds(1);

  /// Hosts that are kept although they are not listed any more.
  static constexpr std::size_t kMaxUnlistedHosts = 8;

  /// Takes a list of the lease holder. Hosts of earlier lists are kept: a new
  /// holder knows none that doesn't reach the store, and so has no link to it.
  void Replace(std::vector<DetourHost> hosts);
  /// @return whether no host is known that could help.
  bool IsEmpty() const { return this->size() == 0; }
  /// @return the number of hosts that could help.
  std::size_t size() const;
  /// @return the hosts that are not listed any more and have not said since
  /// that they reach targets. They may be gone, or of an earlier version.
  std::vector<DetourHost> UnconfirmedHosts(TimePoint now) const;
  /// A host has answered a comparison of configurations. One that is not listed
  /// may help if it reaches targets.
  void OnCompared(const HostId& host, bool reaches_targets, TimePoint now);
  /// A host that is not listed can't help.
  void Forget(const HostId& host);

  /// @param tried hosts that have failed to serve the request.
  /// @return of the hosts that may take it the one with the fewest requests of
  /// this host, and of these the one that was sent one longest ago; none if
  /// there is none. Hosts that don't state their configuration are the last but
  /// for those that are not listed.
  std::optional<DetourHost> Choose(const std::set<HostId>& tried,
                                   TimePoint now) const;

  void OnSent(const HostId& host);
  void OnEnded(const HostId& host);
  /// One that is not listed has to answer a comparison again.
  void OnFailure(const HostId& host, TimePoint now);
  /// A host could not be connected to; one that is not listed is forgotten.
  void OnUnreachable(const HostId& host, TimePoint now);
  /// @param states_configuration whether its answer has said by which
  /// configuration it has decided. Hosts of an earlier version don't.
  void OnAnswer(const HostId& host, bool states_configuration);

 private:
  struct Use {
    std::size_t in_flight = 0;
    std::uint64_t last_number = 0;  ///< Of the last request that was sent.
    TimePoint left_out_until{};
    bool states_configuration = true;  ///< In its last answer.
  };

  struct UnlistedHost {
    DetourHost host;
    bool is_confirmed = false;
  };

  Use UseOf(const HostId& host) const;

  std::vector<DetourHost> known_hosts;
  std::vector<UnlistedHost> unlisted_hosts;  ///< The latest first.
  std::map<HostId, Use> uses;
  std::uint64_t last_number = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_DETOUR_HELPING_HOSTS_H_
