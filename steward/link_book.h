#ifndef CICADALOFT_STEWARD_LINK_BOOK_H_
#define CICADALOFT_STEWARD_LINK_BOOK_H_

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/ledger/ledger.h"
#include "cicadaloft/peering/messages.h"
#include "cicadaloft/steward/messages.h"

namespace cicadaloft {

/// Which links to hold, which are up, and how far each peer is.
///
/// A host links with all of its own data centre, with a few of each other one
/// and with the placement owners there. Of two hosts the one with the smaller
/// name dials.
class LinkBook {
 public:
  LinkBook(HostId self, DataCentreId data_centre);

  void TakeHostList(const std::vector<HostListEntry>& hosts);

  /// @return the changes to the links that this host dials.
  std::vector<HoldLink> Update(const MemberTable& members);

  void SetUp(const HostId& peer, bool is_up);
  void SetPosition(const HostId& peer, const LogPosition& position);

  bool IsUp(const HostId& peer) const { return this->up.contains(peer); }
  const std::set<HostId>& peers_up() const { return this->up; }
  /// Of peers whose links are up and that have told it.
  const std::map<HostId, LogPosition>& positions() const {
    return this->peer_positions;
  }
  std::optional<DataCentreId> DataCentreOf(const HostId& host) const;

  /// @return the effect that carries the envelope on its way, if there is one.
  std::optional<SendPeer> Route(const Envelope& envelope) const;

 private:
  struct Place {
    DataCentreId data_centre;
    std::string address;

    friend bool operator==(const Place&, const Place&) = default;
  };

  std::map<HostId, Place> KnownHosts(const MemberTable& members) const;
  /// @return the hosts to dial, with their addresses.
  std::map<HostId, std::string> Wanted() const;

  HostId self;
  DataCentreId data_centre;
  std::map<HostId, Place> listed;
  std::map<HostId, Place> known;
  std::map<HostId, std::string> dialled;
  std::set<HostId> owners;
  std::set<HostId> up;
  std::map<HostId, LogPosition> peer_positions;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_LINK_BOOK_H_
