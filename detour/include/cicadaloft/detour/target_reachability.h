#ifndef CICADALOFT_DETOUR_TARGET_REACHABILITY_H_
#define CICADALOFT_DETOUR_TARGET_REACHABILITY_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/detour/detour_messages.h"
#include "cicadaloft/detour/probe_choice.h"

namespace cicadaloft {

/// What a host knows of its links to targets.
enum class TargetLinks {
  kReached,
  kSuspected,  ///< Probes are under way.
  kLost,       ///< All probes have failed.
};

/// How an attempt at a target has failed.
enum class LinkFailure {
  kNotConnected,  ///< No connection could be made.
  kBroken,        ///< The connection broke, or there was no response in time.
};

/// Decides whether this host has lost its links to all targets. Failures and
/// silence of targets lead to probes; only the probes decide, since what lives
/// on of a lost link may still bring responses on open connections.
class TargetReachability {
 public:
  static constexpr std::size_t kFirstProbes = 4;  ///< Of a suspicion.
  /// Further ones after these have failed: four probes missed the one target of
  /// eight that was left, and eight missed the 20 of 40.
  static constexpr std::size_t kFurtherProbes = 12;
  /// Without a sign from any target for as long, while attempts are running at
  /// two targets, targets are probed.
  static constexpr Duration kMaxSilence = std::chrono::milliseconds(400);
  /// The same, while attempts are running at one target only.
  static constexpr Duration kMaxSilenceOfOneTarget =
      std::chrono::milliseconds(800);
  /// Failures to connect that are further apart are not related.
  static constexpr Duration kFailureWindow = std::chrono::seconds(2);
  /// A target that could not be connected to is among the last to be probed
  /// for this time, also if it responds on open connections.
  static constexpr Duration kUnconnectedTtl = std::chrono::seconds(10);
  /// Minimum time between the begins of two suspicions, so that slow or crashed
  /// targets cause few connections.
  static constexpr Duration kSuspicionInterval = std::chrono::seconds(1);
  /// A suspicion whose probes are not all answered by then is dropped.
  static constexpr Duration kProbeAnswerTimeout =
      std::chrono::milliseconds(1500);
  /// Interval of the probes while targets are lost, and how many each time.
  static constexpr Duration kReturnProbeInterval =
      std::chrono::milliseconds(300);
  static constexpr std::size_t kReturnProbes = 2;
  /// Probes that must succeed within kReturnWindow to end a loss.
  static constexpr std::size_t kSuccessesToReturn = 2;
  static constexpr Duration kReturnWindow = std::chrono::seconds(1);

  /// @param count the targets that this host knows.
  void SetTargetCount(std::size_t count) { this->target_count = count; }

  /// A request was sent to a target.
  void OnSent(const RequestId& request, const TargetId& target, TimePoint now);
  /// Bytes of a response have arrived.
  void OnSign(const RequestId& request, const TargetId& target, TimePoint now);
  /// An attempt has failed without any.
  void OnFailure(const RequestId& request,
                 const TargetId& target,
                 LinkFailure failure,
                 TimePoint now);
  /// An attempt has ended in a way that shows nothing.
  void OnEnded(const RequestId& request) { this->silent.erase(request); }
  void OnProbed(const TargetProbed& probed, TimePoint now);

  /// @return whether StartProbes() is due.
  bool IsProbeDue(TimePoint now) const;
  /// Begins a suspicion, or goes on to look for the end of a loss.
  /// @param candidates all targets that may be probed. Without any nothing is
  /// lost.
  /// @return the probes to be made now.
  std::vector<ProbeTarget> StartProbes(std::vector<ProbeCandidate> candidates,
                                       TimePoint now);

  TargetLinks links() const { return this->current_links; }
  /// @return when the present or the last suspicion or loss began.
  TimePoint suspected_at() const { return this->current_suspected_at; }
  /// @return when the last suspicion or loss ended.
  TimePoint settled_at() const { return this->ended_at; }
  TimePoint lost_at() const { return this->current_lost_at; }
  /// @return when a target was last reached; the epoch if never.
  TimePoint reached_at() const { return this->last_sign_at; }
  /// @return the targets with a failure since the last suspicion ended well.
  std::size_t FailedTargetCount() const { return this->failures.size(); }
  /// @return the attempts from which no byte of a response has come.
  std::size_t SilentAttemptCount() const { return this->silent.size(); }
  /// @return probes since the last suspicion began.
  std::size_t probe_count() const { return this->probes_sent; }

 private:
  struct SilentAttempt {
    TargetId target;
    TimePoint sent_at{};
  };
  struct Failure {
    LinkFailure kind = LinkFailure::kBroken;
    TimePoint first_at{};
    TimePoint last_at{};
  };

  std::size_t RequiredTargets() const;
  bool HaveTargetsFailed(TimePoint now) const;
  bool HaveNoneConnected(TimePoint now) const;
  bool AreTargetsSilent(TimePoint now) const;
  std::vector<ProbeTarget> MakeProbes(std::vector<ProbeCandidate> candidates,
                                      std::size_t count);
  /// Adds what is known of them, and forgets the targets that are gone.
  void Annotate(std::vector<ProbeCandidate>& candidates, TimePoint now);
  std::vector<ProbeTarget> StartSuspicion(
      std::vector<ProbeCandidate> candidates,
      TimePoint now);
  /// Goes on with the suspicion, once all its first probes have failed.
  std::vector<ProbeTarget> StartFurtherProbes(
      std::vector<ProbeCandidate> candidates,
      TimePoint now);
  std::vector<ProbeTarget> StartReturnProbes(
      const std::vector<ProbeCandidate>& candidates,
      TimePoint now);
  void OnSuspectProbed(const TargetProbed& probed, TimePoint now);
  void OnLostProbed(const TargetProbed& probed, TimePoint now);
  void EndSuspicion(TargetLinks links, TimePoint now);

  TargetLinks current_links = TargetLinks::kReached;
  std::size_t target_count = 0;
  std::map<RequestId, SilentAttempt> silent;
  std::map<TargetId, TimePoint> signs;  ///< The last of each target.
  /// The last failures to connect, after which no probe has succeeded.
  std::map<TargetId, TimePoint> unconnected;
  TimePoint last_sign_at{};
  /// Of targets that have failed since the last suspicion ended well.
  std::map<TargetId, Failure> failures;

  std::set<TargetId> probed;      ///< In the present suspicion.
  std::set<TargetId> unanswered;  ///< Of these.
  bool has_further_probes = false;
  TimePoint current_suspected_at{};
  TimePoint ended_at{};  ///< The end of the last suspicion or loss.
  TimePoint current_lost_at{};
  std::size_t probes_sent = 0;

  // While targets are lost.
  TimePoint return_probes_at{};  ///< The last time.
  TargetId last_probed;          ///< In turn.
  std::deque<TimePoint> successes;
  std::optional<TargetId> last_reached;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_DETOUR_TARGET_REACHABILITY_H_
