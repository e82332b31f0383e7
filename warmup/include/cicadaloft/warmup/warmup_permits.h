#ifndef CICADALOFT_WARMUP_WARMUP_PERMITS_H_
#define CICADALOFT_WARMUP_WARMUP_PERMITS_H_

#include <cstdint>
#include <map>

#include "cicadaloft/core/time.h"
#include "cicadaloft/warmup/warmup_messages.h"

namespace cicadaloft {

/// What one host may send to cold targets. It sends nothing by itself: neither
/// the number of hosts nor what they know can add up to too much.
class WarmupPermits {
 public:
  /// Asks for a target that no ask is open for.
  /// @param wanted requests; above 0.
  /// @return the message for the holder.
  WarmupRequest CreateRequest(const HostId& host,
                              const TargetId& target,
                              std::uint32_t wanted,
                              TimePoint now);
  /// Takes what the holder grants; grants for earlier asks are void.
  void OnGrant(const WarmupGrant& granted);

  /// @return whether a request may go to the target now.
  bool MaySend(const TargetId& target, TimePoint now) const;
  void OnSend(const TargetId& target);

  /// @return requests that have been asked for and not sent yet; 0: no ask for
  /// the target is open.
  std::uint32_t OutstandingCount(const TargetId& target, TimePoint now) const;

 private:
  struct OpenAsk {
    std::uint64_t number = 0;
    TimePoint ends{};
    std::uint32_t awaited = 0;  ///< Asked for and not granted.
    std::uint32_t unused = 0;   ///< Granted and not sent.
  };

  std::map<TargetId, OpenAsk> asks;  ///< The newest one for each target.
  std::uint64_t last_number = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_WARMUP_WARMUP_PERMITS_H_
