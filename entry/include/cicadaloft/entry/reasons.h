#ifndef CICADALOFT_ENTRY_REASONS_H_
#define CICADALOFT_ENTRY_REASONS_H_

#include <string_view>

/// The stable tokens of an entry's decision lines. A refusal's token is
/// kRefusePrefix and the token of its ErrorKind.
namespace cicadaloft::reason {

inline constexpr std::string_view kRefusePrefix = "refuse.";

inline constexpr std::string_view kRouteLocal = "route.local_least_loaded";
inline constexpr std::string_view kRoutePrefixHit = "route.prefix_hit";
inline constexpr std::string_view kRouteRegion = "route.region";
inline constexpr std::string_view kRouteLastResort = "route.last_resort";
inline constexpr std::string_view kRoutePermit = "route.permit";

inline constexpr std::string_view kWaitTokens = "wait.tokens";
inline constexpr std::string_view kWaitClaim = "wait.claim";
inline constexpr std::string_view kWaitRoom = "wait.room";
inline constexpr std::string_view kWaitReplica = "wait.no_replica";

inline constexpr std::string_view kRetry = "retry";
inline constexpr std::string_view kTruncated = "end.truncated_answer";
inline constexpr std::string_view kCallerGone = "end.caller_gone";
inline constexpr std::string_view kCancelKey = "cancel.key_withdrawn";
inline constexpr std::string_view kCancelPermit = "cancel.permit_ends";
inline constexpr std::string_view kEject = "target.ejected";
inline constexpr std::string_view kSuspect = "suspect.noted";
inline constexpr std::string_view kBarred = "suspect.barred";
inline constexpr std::string_view kSuspended = "share.suspended";
inline constexpr std::string_view kUsable = "share.usable";

}  // namespace cicadaloft::reason

#endif  // CICADALOFT_ENTRY_REASONS_H_
