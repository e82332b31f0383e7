#ifndef CICADALOFT_ENTRY_EVENT_NAMES_H_
#define CICADALOFT_ENTRY_EVENT_NAMES_H_

/// Stable tokens for the decision records of an entry.
namespace cicadaloft::event_names {

inline constexpr char kDispatch[] = "route.dispatch";
inline constexpr char kWait[] = "route.wait";
inline constexpr char kRefuse[] = "route.refuse";
inline constexpr char kRefuseEarly[] = "route.refuse_early";
inline constexpr char kWaited[] = "route.waited";
inline constexpr char kAttemptEnded[] = "route.attempt_ended";
inline constexpr char kAttemptBroken[] = "route.attempt_broken";
inline constexpr char kTargetCrash[] = "route.target_death";
inline constexpr char kPoisonRefuted[] = "route.poison_refuted";
inline constexpr char kPoisonBlock[] = "route.poison_block";
inline constexpr char kTargetLeaving[] = "route.target_leaving";
inline constexpr char kTargetRests[] = "route.target_rests";
inline constexpr char kTargetsLost[] = "targets.lost";
inline constexpr char kTargetsReached[] = "targets.reached";
inline constexpr char kDetour[] = "route.detour";
inline constexpr char kOutdatedHost[] = "route.outdated_host";
inline constexpr char kTargetBrittle[] = "route.target_brittle";
inline constexpr char kCallerDisconnected[] = "route.caller_gone";
inline constexpr char kModelLoadRequest[] = "route.model_wanted";
inline constexpr char kWarmupRequest[] = "route.warmup_wanted";
inline constexpr char kStreamResume[] = "stream.resume";
inline constexpr char kConfigurationAdopted[] = "configuration.adopted";
inline constexpr char kOlderConfigurationIgnored[] =
    "configuration.older_ignored";
inline constexpr char kConfigurationReceived[] = "configuration.received";
inline constexpr char kConfigurationsCompared[] = "configuration.compared";
inline constexpr char kEvacuations[] = "configuration.evacuations";
inline constexpr char kSharesChanged[] = "admission.shares";

}  // namespace cicadaloft::event_names

#endif  // CICADALOFT_ENTRY_EVENT_NAMES_H_
