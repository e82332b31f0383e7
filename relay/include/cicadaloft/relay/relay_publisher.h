#ifndef CICADALOFT_RELAY_RELAY_PUBLISHER_H_
#define CICADALOFT_RELAY_RELAY_PUBLISHER_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/relay/messages.h"

namespace cicadaloft {

/// At the lease holder: what it has read from the store, for the hosts that
/// have asked for it. All messages leave by one link, where replies to other
/// requests wait behind them, so their size is bounded: records that don't fit
/// follow with the next message, or are left out if they don't fit there
/// either, and the hosts read those from the store.
class RelayPublisher {
 public:
  /// Larger records are left out.
  static constexpr std::size_t kMaxRecordBytes = 4096;
  /// Of the records in one message to all hosts together; 16 Mbit/s at an
  /// interval of 0.4 s.
  static constexpr std::size_t kMaxPublishedBytes = 800'000;

  /// @return the answer to the host.
  RelayWelcome OnRequest(const RelayRequest& request, TimePoint now);
  void OnLinkDown(const HostId& host) { this->subscribed.erase(host); }
  /// Reads of an earlier era than the newest one of the topic are ignored; at a
  /// new era what is pending is left out.
  void OnRead(const StoreRead& read);

  /// @return what was read since the last call; none if nothing was, or less
  /// than `interval` has passed.
  std::optional<StoreRelay> Publish(Duration interval, TimePoint now);

  /// @return by topic, the number of records that were left out since the last
  /// call, and that each host therefore reads from the store.
  std::map<std::string, std::size_t> TakeLeftOut() {
    return std::exchange(this->left_out, {});
  }

  const std::set<HostId>& subscribers() const { return this->subscribed; }

 private:
  /// A read that returned all records before `end`.
  struct CompleteRead {
    LogOffset end;
    Duration sent_at{};
  };
  struct Pending {
    RelayedTopic topic;
    std::size_t bytes = 0;  ///< Of the records.
    bool is_new = false;    ///< Read since the last Publish().
    /// Reads that are not published completely, oldest first.
    std::deque<CompleteRead> reads;
    Duration complete_at{};  ///< Of what is published.
  };

  std::size_t MaxPendingBytes(const Pending& item, const StoreRead& read) const;
  static void StartAt(Pending& item, LogOffset offset);
  static void StartEra(Pending& item, StoreEra era);
  static RelayedTopic TakeMessage(Pending& item, std::size_t max_bytes);
  /// Of the records of one topic in one message to one host.
  std::size_t MaxMessageBytes() const {
    return kMaxPublishedBytes /
           std::max<std::size_t>(1, this->subscribed.size());
  }

  std::set<HostId> subscribed;
  std::map<std::string, Pending> pending;
  TimePoint published_at{};
  std::map<std::string, std::size_t> left_out;
};

/// At the other hosts: relates the times in the holder's messages to this
/// host's clock.
class RelayClock {
 public:
  /// Interval of the requests to a holder, so that clock drift stays small.
  static constexpr Duration kRequestInterval = std::chrono::seconds(20);

  /// @return the request that is due, if any.
  std::optional<RelayRequest> Request(const HostId& self, TimePoint now);
  void OnWelcome(const RelayWelcome& welcome);
  /// The link to the holder is down. A holder that has closed it without a
  /// welcome is an older version, which takes the request for an error; it is
  /// not asked again.
  void OnLinkDown();
  /// There is another holder.
  void OnHolderChanged() { *this = RelayClock(); }

  /// @return whether the holder relays; such a holder knows all messages.
  bool IsRelaying() const { return this->holder_time_zero.has_value(); }
  /// @return the latest time on this host's clock that the holder's time may
  /// be safely taken for; none before the first welcome.
  std::optional<TimePoint> ToLocal(Duration holder_time) const;

 private:
  std::uint64_t last_number = 0;
  std::optional<TimePoint> requested_at;  ///< Of the unanswered request.
  TimePoint last_request_at{};
  bool is_refused = false;
  /// This host's time at which the holder's clock was at 0. It errs towards
  /// the past by up to the round trip of a request.
  std::optional<TimePoint> holder_time_zero;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_RELAY_RELAY_PUBLISHER_H_
