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

  void Replace(std::vector<DetourHost> hosts);
  /// @return whether no host is known that could help.
  bool IsEmpty() const { return this->known_hosts.empty(); }
  std::size_t size() const { return this->known_hosts.size(); }

  /// @param tried hosts that have failed to serve the request.
  /// @return of the hosts that may take it the one with the fewest requests of
  /// this host, and of these the one that was sent one longest ago; none if
  /// there is none. Hosts that don't state their configuration are the last.
  std::optional<DetourHost> Choose(const std::set<HostId>& tried,
                                   TimePoint now) const;

  void OnSent(const HostId& host);
  void OnEnded(const HostId& host);
  void OnFailure(const HostId& host, TimePoint now);
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

  std::vector<DetourHost> known_hosts;
  std::map<HostId, Use> uses;
  std::uint64_t last_number = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_DETOUR_HELPING_HOSTS_H_
