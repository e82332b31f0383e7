#ifndef CICADALOFT_ROUTING_PERMIT_BOOK_H_
#define CICADALOFT_ROUTING_PERMIT_BOOK_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Room for one request on a target, lent by another host.
struct HeldPermit {
  const HostId lender;
  const TargetId target;
  const std::uint64_t permit = 0;
  const TimePoint ends{};  ///< The request must have ended by then.

  friend auto operator<=>(const HeldPermit&, const HeldPermit&) = default;
};

/// Room of this host that another one uses.
struct LentPermit {
  const HostId borrower;
  const TargetId target;
  const TimePoint ends{};

  friend auto operator<=>(const LentPermit&, const LentPermit&) = default;
};

/// The permits that this host has lent.
class LentPermits {
 public:
  /// @return the permit's number; never one of an earlier process.
  std::uint64_t Add(const LentPermit& lent, TimePoint now);
  /// @return what has come back, or none if it is not out.
  std::optional<LentPermit> TakeBack(std::uint64_t permit,
                                     const HostId& borrower);
  /// @return those whose time has passed, which are no longer out.
  std::vector<LentPermit> TakeEnded(TimePoint now);

  std::size_t size() const { return this->by_number.size(); }

 private:
  std::uint64_t last_number = 0;
  std::map<std::uint64_t, LentPermit> by_number;
};

/// Where this host may ask for room on one target, and what it holds unused.
class PermitAsks {
 public:
  static constexpr Duration kFirstBackOff = std::chrono::milliseconds(20);
  static constexpr Duration kLongestBackOff = std::chrono::milliseconds(640);
  /// An ask without an answer is given up after this time.
  static constexpr Duration kAskTerm = std::chrono::seconds(1);

  /// @param lenders in order of preference.
  /// @return the host to ask now, noted as asked; none if all rest.
  std::optional<HostId> PickLender(const std::vector<HostId>& lenders,
                                   TimePoint now);
  /// @return when the lender was asked; none if no ask is open.
  std::optional<TimePoint> OnAnswer(const HostId& lender,
                                    bool has_lent,
                                    TimePoint now);
  std::size_t OpenAsks(TimePoint now) const;

 private:
  struct Ask {
    std::optional<TimePoint> asked_at;
    TimePoint not_before{};
    Duration back_off = kFirstBackOff;
  };

  std::map<HostId, Ask> asks;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_PERMIT_BOOK_H_
