#ifndef CICADALOFT_STEWARD_RELAY_H_
#define CICADALOFT_STEWARD_RELAY_H_

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "cicadaloft/core/time.h"
#include "cicadaloft/ledger/ledger.h"
#include "cicadaloft/peering/messages.h"
#include "link_book.h"
#include "log_follower.h"

namespace cicadaloft {

/// Keeps the newest records for the own entry and for mates that can't read the
/// log themselves.
class Relay {
 public:
  void Note(const Advance& advance);

  /// @return the answer to a StateRequest: records, or the whole state where
  /// the records are no longer at hand.
  LinkMessage Answer(LogOffset from, const Ledger& ledger) const;

  /// @return the peers to send to now, each with where its records begin.
  /// @param self the own host, of `data_centre`.
  std::vector<std::pair<HostId, LogOffset>> Due(const LinkBook& links,
                                                const HostId& self,
                                                LogOffset next,
                                                TimePoint now);

 private:
  struct Sent {
    LogOffset next;
    TimePoint at;
  };

  std::deque<PlacedRecord> recent;
  std::map<HostId, Sent> sent;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_RELAY_H_
