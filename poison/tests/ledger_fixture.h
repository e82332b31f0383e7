#ifndef CICADALOFT_POISON_TESTS_LEDGER_FIXTURE_H_
#define CICADALOFT_POISON_TESTS_LEDGER_FIXTURE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <string>
#include <vector>

#include "cicadaloft/poison/poison_ledger.h"

namespace cicadaloft {

inline Fingerprint Segment(std::uint64_t hash) {
  return Fingerprint{.kind = FingerprintKind::kPromptSegment, .hash = hash};
}

/// A ledger with two hosts that report to it.
class LedgerFixture {
 public:
  /// A target crashes; one host lost a request with these fingerprints, both
  /// see that the target is unreachable.
  void Crash(const std::string& target,
             const Fingerprints& fingerprints,
             std::uint64_t response_bytes = 0) {
    this->Lose(target, fingerprints, response_bytes);
    for (const char* host : {"h1", "h2"}) {
      this->ledger.OnEvidence(HostId(host),
                              CrashEvidence{.target = TargetId(target),
                                            .instance = TargetInstance(1),
                                            .is_unreachable = true},
                              this->now);
    }
  }

  /// Crashes one after the other.
  void CrashInTurn(const std::vector<std::string>& targets,
                   const Fingerprints& fingerprints) {
    for (const std::string& target : targets) {
      this->Crash(target, fingerprints);
      this->RunFor(PoisonLedger::kSameMoment);
    }
  }

  /// One host loses its connections to a target.
  void Lose(const std::string& target,
            const Fingerprints& fingerprints,
            std::uint64_t response_bytes = 0) {
    this->ledger.OnEvidence(
        HostId("h1"),
        CrashEvidence{.target = TargetId(target),
                      .instance = TargetInstance(1),
                      .is_unreachable = true,
                      .requests = {{.fingerprints = fingerprints,
                                    .response_bytes = response_bytes}}},
        this->now);
  }

  void Refute(const Fingerprint& fingerprint) {
    std::ranges::move(
        this->ledger.OnRefutation(
            PoisonRefutation{.fingerprints = {fingerprint}}, this->now),
        std::back_inserter(this->lifted));
  }

  /// A host has served it before the first crash.
  void ServedBefore(const Fingerprint& fingerprint) {
    this->ledger.OnRefutation(PoisonRefutation{.served_before = {fingerprint}},
                              this->now);
  }

  void RunFor(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += std::chrono::milliseconds(20);
      const auto decisions = this->ledger.Decide(
          [this](const TargetId& target, TargetInstance) {
            return std::ranges::find(this->ended, target) != this->ended.end();
          },
          this->now);
      std::ranges::copy(decisions.suspects, std::back_inserter(this->suspects));
      for (const PoisonBlock& block : decisions.blocks) {
        std::ranges::copy(block.fingerprints,
                          std::back_inserter(this->blocked));
        this->blocks.push_back(block);
      }
    }
  }

  TimePoint now{std::chrono::seconds(1000)};
  PoisonLedger ledger;
  std::vector<TargetId> ended;  ///< By the registry.
  std::vector<SuspectFingerprint> suspects;
  std::vector<PoisonBlock> blocks;
  Fingerprints blocked;  ///< Of all blocks, one after the other.
  std::vector<PoisonBlock> lifted;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_POISON_TESTS_LEDGER_FIXTURE_H_
