#include "entry_suspects.h"

#include <algorithm>
#include <ranges>
#include <string>
#include <vector>

#include "cicadaloft/entry/reasons.h"

namespace cicadaloft {
namespace {

void TellOthers(EntryCore& core, const std::vector<TargetDeath>& deaths) {
  const auto& members = core.ledger.members().members();
  std::ranges::for_each(deaths, [&](const TargetDeath& death) {
    core.Log(core.suspects.IsBarred(death.fingerprint, core.now)
                 ? reason::kBarred
                 : reason::kSuspect,
             RequestId(), "target=" + death.target.value());
    std::ranges::for_each(members | std::views::keys, [&](const HostId& host) {
      if (host != core.settings.host) {
        core.Send(host, SuspectNotice{.fingerprint = death.fingerprint,
                                      .target = death.target});
      }
    });
  });
}

}  // namespace

void NoteBrokenRun(EntryCore& core,
                   const OpenRequest& request,
                   AttemptOutcome outcome) {
  const TargetId& target = request.running->target->id();
  if (outcome == AttemptOutcome::kNotSent) {
    NoteTargetDied(core, target, std::nullopt);
    return;
  }
  const bool has_broken = outcome == AttemptOutcome::kDiedUnstarted ||
                          outcome == AttemptOutcome::kDiedStarted;
  if (!has_broken) {
    return;
  }
  TellOthers(core, core.suspects.OnBrokenRun(
                       BrokenRun{.fingerprint = request.arrived.fingerprint,
                                 .target = target,
                                 .instance = request.running->instance,
                                 .had_started =
                                     outcome == AttemptOutcome::kDiedStarted},
                       core.now));
}

void NoteTargetDied(EntryCore& core,
                    const TargetId& target,
                    std::optional<TargetInstance> instance) {
  TellOthers(core, core.suspects.OnTargetDied(target, instance, core.now));
}

void OnSuspectNotice(EntryCore& core, const SuspectNotice& notice) {
  core.suspects.OnNotice(
      TargetDeath{.fingerprint = notice.fingerprint, .target = notice.target},
      core.now);
}

}  // namespace cicadaloft
