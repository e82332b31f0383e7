#ifndef CICADALOFT_POISON_POISON_LEDGER_H_
#define CICADALOFT_POISON_POISON_LEDGER_H_

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/poison/poison_blocks.h"
#include "cicadaloft/poison/poison_messages.h"

namespace cicadaloft {

/// Whether a target process has ended, as far as the registry shows.
template <typename F>
concept ProcessEndedPredicate = std::predicate<F, TargetId, TargetInstance>;

/// The lease holder's part in the detection of poison requests.
///
/// A crash breaks all requests that run on the target, so most fingerprints
/// among them belong to sound requests. Those with several crashed processes
/// are suspects: hosts are asked whether they were served, and one that was
/// served since its first crash is cleared. Of the others, the one that
/// explains most crashes is blocked, together with those that it can't be told
/// apart from: only requests that have all of these are refused, so that a
/// request with some of them shows which it is.
class PoisonLedger {
 public:
  static constexpr Duration kRefutationTime = std::chrono::milliseconds(300);
  /// The same while another fingerprint explains the crashes as well.
  static constexpr Duration kAmbiguityTime = std::chrono::seconds(1);
  static constexpr Duration kDecisionInterval = std::chrono::milliseconds(100);
  /// Crashes within this time may have one cause, such as a power failure,
  /// which takes all that targets were running. They count as one for what has
  /// been served before.
  static constexpr Duration kSameMoment = std::chrono::milliseconds(200);
  /// So many targets at one moment are enough for a part of requests that has
  /// never been served. The operator counts crashes from the fifth on.
  static constexpr std::size_t kMinCrashesAtOneMoment = 5;
  /// Crashes that lie further back don't count.
  static constexpr Duration kCrashTtl = std::chrono::minutes(1);
  static constexpr std::size_t kMaxCrashes = 128;
  /// Of all crashes together.
  static constexpr std::size_t kMaxFingerprints = 65'536;
  static constexpr std::size_t kMaxSuspectsPerMessage = 256;
  /// A block with fewer fingerprints than its requests have in common refuses
  /// the same requests, and seldom others.
  static constexpr std::size_t kMaxFingerprintsPerBlock = 32;

  /// What hosts must be told.
  struct Decisions {
    std::vector<SuspectFingerprint> suspects;
    std::vector<PoisonBlock> blocks;
  };

  void OnEvidence(const HostId& host,
                  const CrashEvidence& evidence,
                  TimePoint now);
  /// @return the blocks that are lifted by it.
  std::vector<PoisonBlock> OnRefutation(const PoisonRefutation& refutation,
                                        TimePoint now);
  /// Another host knows of a block.
  /// @return whether it is new here.
  bool OnBlock(const PoisonBlock& block, TimePoint now) {
    return this->blocks.Apply(block, now);
  }

  template <ProcessEndedPredicate F>
  Decisions Decide(F has_ended, TimePoint now) {
    for (auto& [process, crash] : this->crashes) {
      if (!crash.is_confirmed && has_ended(process.first, process.second)) {
        crash.is_confirmed = true;
        this->is_changed = true;
      }
    }
    return this->DecideByCrashes(now);
  }

  std::vector<PoisonBlock> Blocks(TimePoint now) const {
    return this->blocks.List(now);
  }

 private:
  using Process = std::pair<TargetId, TargetInstance>;
  struct Request {
    Fingerprints fingerprints;
    std::uint64_t response_bytes = 0;
  };
  struct Crash {
    TimePoint at{};
    std::set<HostId> hosts;  ///< That have lost connections to the process.
    bool is_unreachable = false;
    bool is_confirmed = false;
    Fingerprints explained_by;  ///< A block; empty: none.
    std::vector<Request> requests;
  };
  /// The confirmed crashes with one fingerprint.
  struct Tally {
    std::size_t crashes = 0;
    std::size_t moments = 0;  ///< At which there were crashes.
    std::size_t unexplained = 0;
    std::size_t requests = 0;
    std::uint64_t max_response_bytes = 0;
    /// Equal for fingerprints that are in the same requests.
    std::uint64_t requests_digest = 0;
    TimePoint first_at{};
    TimePoint last_moment_at{};
    const Crash* last_crash = nullptr;
    bool was_served = false;  ///< Before the first crash.

    void Add(const Crash& crash,
             const Request& request,
             std::uint64_t request_number);
  };
  using Tallies = std::map<Fingerprint, Tally>;
  using Candidate = Tallies::value_type;

  Decisions DecideByCrashes(TimePoint now);
  Tallies CountCrashes() const;
  void AddSuspects(const Tallies& tallies, Decisions& decisions, TimePoint now);
  void AddBlocks(const Tallies& tallies, Decisions& decisions, TimePoint now);
  /// @return the fingerprints that explain the crashes best, if there are
  /// enough of them.
  static std::vector<const Candidate*> BestExplanations(const Tallies& tallies);
  static bool HasEnoughCrashes(const Candidate* candidate);
  /// @return whether another part that requests share explains the crashes as
  /// well, as far as its requests show.
  static bool HasRival(const Candidate& best, const Tallies& tallies);
  bool IsQuestionOver(const Candidate& best,
                      const Tallies& tallies,
                      TimePoint now) const;
  void Block(const Fingerprints& fingerprints);
  void Forget(const Fingerprint& fingerprint);
  std::size_t CountFingerprints() const;
  void RemoveOldestCrashes();

  PoisonBlocks blocks;
  std::map<Process, Crash> crashes;
  std::map<Fingerprint, TimePoint> suspected_at;
  std::set<Fingerprint> served_before;  ///< Suspects, by what hosts have seen.
  TimePoint decided_at{};
  bool is_changed = false;  ///< Since then.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_POISON_POISON_LEDGER_H_
