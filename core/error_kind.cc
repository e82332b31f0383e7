#include "cicadaloft/core/error_kind.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace cicadaloft {
namespace {

using enum ErrorKind;
using enum RunState;

// In the order of the enumerators.
constexpr std::array kErrorInfos = {
    ErrorInfo{kMalformedRequest, "malformed_request", 400, kNotRun, false,
              "Correct the request."},
    ErrorInfo{kUnauthenticated, "unauthenticated", 401, kNotRun, false,
              "Send a valid API key."},
    ErrorInfo{kUnknownRoute, "unknown_route", 404, kNotRun, false,
              "Check the name of the model or service."},
    ErrorInfo{kMethodNotAllowed, "method_not_allowed", 405, kNotRun, false,
              "Use a method that this path supports."},
    ErrorInfo{kBodyTooLarge, "body_too_large", 413, kNotRun, false,
              "Send a smaller body."},
    ErrorInfo{kHeaderTooLarge, "header_too_large", 431, kNotRun, false,
              "Send fewer or shorter header fields."},
    ErrorInfo{kSlowCaller, "slow_caller", 408, kNotRun, true,
              "Send the complete request within the time limit."},
    ErrorInfo{kTooManyConnections, "too_many_connections", 503, kNotRun, true,
              "Try again later or through another host."},
    ErrorInfo{kMemoryLimit, "memory_limit", 503, kNotRun, true,
              "Try again later or through another host."},
    ErrorInfo{kRateLimited, "rate_limited", 429, kNotRun, true,
              "Try again after the time in Retry-After."},
    ErrorInfo{kQueueFull, "queue_full", 503, kNotRun, true,
              "Try again after the time in Retry-After."},
    ErrorInfo{kNoCapacity, "no_capacity", 503, kNotRun, true,
              "Try again after the time in Retry-After."},
    ErrorInfo{kStopping, "stopping", 503, kNotRun, true,
              "Try again through another host."},
    ErrorInfo{kNotConfigured, "not_configured", 503, kNotRun, true,
              "Try again through another host."},
    ErrorInfo{kOutdatedConfiguration, "outdated_configuration", 503, kNotRun,
              true, "Try again through another host."},
    ErrorInfo{kPoisonRequest, "poison_request", 500, kUnknown, false,
              "Targets failed while running this request; change it."},
    ErrorInfo{kStreamOriginUnknown, "stream_origin_unknown", 503, kNotRun,
              false, "Begin the stream afresh."},
    ErrorInfo{kStreamOriginUnreachable, "stream_origin_unreachable", 503,
              kNotRun, true, "Try again after the time in Retry-After."},
    ErrorInfo{kStreamVersionGone, "stream_version_gone", 503, kNotRun, false,
              "Begin the stream afresh."},
    ErrorInfo{kTargetUnreachable, "target_unreachable", 503, kNotRun, true,
              "Try again after the time in Retry-After."},
    ErrorInfo{kTargetFailed, "target_failed", 502, kUnknown, false,
              "Repeat only if the request is idempotent."},
    ErrorInfo{kTargetTimeout, "target_timeout", 504, kUnknown, false,
              "Repeat only if the request is idempotent."},
    ErrorInfo{kStoreUnavailable, "store_unavailable", 503, kNotRun, true,
              "Try again after the time in Retry-After."},
    ErrorInfo{kStoreUnanswered, "store_unanswered", 502, kUnknown, true,
              "Find out whether the call took effect before repeating it."},
    ErrorInfo{kRecordMalformed, "record_malformed", 500, kNotRun, false,
              "Report the record's key."},
    ErrorInfo{kLinkRefused, "link_refused", 403, kNotRun, false,
              "Check the shared secret in both hosts' settings."},
    ErrorInfo{kSettingsInvalid, "settings_invalid", 500, kNotRun, false,
              "Correct the settings file."},
    ErrorInfo{kInternal, "internal", 500, kUnknown, false,
              "Report the request's id to the operator."},
};

static_assert(kErrorInfos.size() == static_cast<std::size_t>(kInternal) + 1);

}  // namespace

const ErrorInfo& GetErrorInfo(ErrorKind kind) {
  return kErrorInfos[static_cast<std::size_t>(kind)];
}

std::optional<ErrorKind> ErrorKindFromToken(std::string_view token) {
  const auto* info = std::ranges::find(kErrorInfos, token, &ErrorInfo::token);
  if (info == kErrorInfos.end()) {
    return std::nullopt;
  }
  return info->kind;
}

std::string_view ToString(RunState state) {
  switch (state) {
    case kNotRun:
      return "not run";
    case kUnknown:
      return "unknown";
    case kRan:
      return "ran";
  }
  return "unknown";
}

}  // namespace cicadaloft
