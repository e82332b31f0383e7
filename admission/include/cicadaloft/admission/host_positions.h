#ifndef CICADALOFT_ADMISSION_HOST_POSITIONS_H_
#define CICADALOFT_ADMISSION_HOST_POSITIONS_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Position of a host among all hosts that take requests, by which they divide
/// what each of them can compute alike. The lease holder tells it to the host,
/// and the host tells it to the next holder.
struct HostPosition {
  HostId host;
  std::uint32_t position = 0;  ///< From 0 on, below `count`.
  std::uint32_t count = 1;     ///< Positions of all hosts; above 0.
  Duration age{};              ///< Since the host first got a position.

  friend auto operator<=>(const HostPosition&, const HostPosition&) = default;
  friend bool operator==(const HostPosition&, const HostPosition&) = default;
};

/// The lease holder's record of all hosts' positions. A host keeps its position
/// as long as it is known; at most one host moves when another one has gone.
class HostPositions {
 public:
  /// A host without a report for this time has no position any more.
  static constexpr Duration kTimeout = std::chrono::seconds(60);
  /// Time from the beginning of a term until hosts that have stated no position
  /// get one: by then the others have stated theirs.
  static constexpr Duration kStatementTime = std::chrono::seconds(2);

  /// Begins a term as lease holder.
  /// @param has_predecessor whether hosts may have positions already.
  void BeginTerm(bool has_predecessor, TimePoint now);
  /// A host states the position that an earlier holder has told it.
  void OnStatement(const HostPosition& stated, TimePoint now);
  /// A host takes requests.
  /// @param has_lost_position it has started anew or was not connected.
  void OnReport(const HostId& host, bool has_lost_position, TimePoint now);

  /// @return the positions that hosts don't know yet.
  std::vector<HostPosition> TakeChanged(TimePoint now);

 private:
  struct Host {
    std::optional<std::uint32_t> position;
    TimePoint since{};  ///< When it first got a position.
    std::optional<HostPosition> told;
    TimePoint last_report_at{};
  };

  void RemoveSilent(TimePoint now);
  void Assign(TimePoint now);
  void CloseGaps();

  std::map<HostId, Host> hosts;
  /// By position.
  std::map<std::uint32_t, HostId> taken;
  TimePoint assigns_from{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_HOST_POSITIONS_H_
