#ifndef CICADALOFT_CORE_CONTROL_REASONS_H_
#define CICADALOFT_CORE_CONTROL_REASONS_H_

/// The stable tokens of a steward's decision lines.
namespace cicadaloft::reasons {

// Membership.
inline constexpr char kJoin[] = "member.join";
inline constexpr char kLeave[] = "member.leave";
inline constexpr char kEvict[] = "member.evict";
inline constexpr char kHandover[] = "member.handover";
inline constexpr char kRightsGained[] = "member.rights_gained";
inline constexpr char kRightsLost[] = "member.rights_lost";
inline constexpr char kSuspended[] = "member.suspended";

// Placement.
inline constexpr char kLoadDecided[] = "place.load";
inline constexpr char kLoadAhead[] = "place.load_ahead";
inline constexpr char kReplicaDecided[] = "place.replica";
inline constexpr char kUnloadDecided[] = "place.unload";
inline constexpr char kDecisionRejected[] = "place.rejected";
inline constexpr char kOrderSent[] = "place.order";
inline constexpr char kOrderWithheld[] = "place.order_withheld";
inline constexpr char kOrderEnded[] = "place.order_ended";
inline constexpr char kOutcomeReconciled[] = "place.reconciled";
inline constexpr char kTargetRestarted[] = "place.target_instance";
inline constexpr char kStrayAdopted[] = "place.stray_adopted";
inline constexpr char kNoCapacity[] = "place.no_capacity";
inline constexpr char kPassedOn[] = "place.passed_on";

// Claims.
inline constexpr char kClaimGranted[] = "claim.granted";
inline constexpr char kClaimUnavailable[] = "claim.unavailable";
inline constexpr char kClaimOrphaned[] = "claim.runner_departed";

}  // namespace cicadaloft::reasons

#endif  // CICADALOFT_CORE_CONTROL_REASONS_H_
