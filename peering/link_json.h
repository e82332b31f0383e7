#ifndef CICADALOFT_PEERING_LINK_JSON_H_
#define CICADALOFT_PEERING_LINK_JSON_H_

#include <array>
#include <string_view>
#include <tuple>

#include "cicadaloft/ledger/record_json.h"
#include "cicadaloft/peering/messages.h"

namespace cicadaloft {

template <>
inline constexpr auto kJsonFields<RelayRecords> =
    std::tuple(Required("records", &RelayRecords::records),
               Required("next", &RelayRecords::next));

template <>
inline constexpr auto kJsonFields<LogPosition> =
    std::tuple(Required("next", &LogPosition::next),
               Required("log_reachable", &LogPosition::log_reachable),
               Required("applied_by_entry", &LogPosition::applied_by_entry));

template <>
inline constexpr auto kJsonFields<StateRequest> =
    std::tuple(Required("from", &StateRequest::from));

template <>
inline constexpr auto kJsonFields<StateTransfer> =
    std::tuple(Required("checkpoint", &StateTransfer::checkpoint));

template <>
inline constexpr auto kJsonFields<AppendForMe> =
    std::tuple(Required("record", &AppendForMe::record));

template <>
inline constexpr auto kJsonFields<MirrorRecord> =
    std::tuple(Required("record", &MirrorRecord::record));

template <>
inline constexpr auto kJsonFields<MirrorAck> =
    std::tuple(Required("sequence", &MirrorAck::sequence));

template <>
inline constexpr auto kJsonFields<MirrorRequest> =
    std::tuple(Required("duty", &MirrorRequest::duty));

template <>
inline constexpr auto kJsonFields<MirrorReply> =
    std::tuple(Required("duty", &MirrorReply::duty),
               Required("records", &MirrorReply::records));

template <>
inline constexpr auto kJsonFields<DemandReport> =
    std::tuple(Required("host", &DemandReport::host),
               Required("demands", &DemandReport::demands));

template <>
inline constexpr auto kJsonFields<TargetNews> =
    std::tuple(Required("report", &TargetNews::report));

template <>
inline constexpr auto kJsonFields<NoCapacityNotice> =
    std::tuple(Required("model", &NoCapacityNotice::model),
               Required("retry_after_us", &NoCapacityNotice::retry_after));

template <>
inline constexpr auto kJsonFields<BorrowTokens> =
    std::tuple(Required("borrower", &BorrowTokens::borrower),
               Required("customer", &BorrowTokens::customer),
               Required("wanted_requests", &BorrowTokens::wanted_requests));

template <>
inline constexpr auto kJsonFields<LendTokens> =
    std::tuple(Required("lender", &LendTokens::lender),
               Required("customer", &LendTokens::customer),
               Required("requests", &LendTokens::requests));

template <>
inline constexpr auto kJsonFields<BorrowPermit> =
    std::tuple(Required("borrower", &BorrowPermit::borrower),
               Required("target", &BorrowPermit::target));

template <>
inline constexpr auto kJsonFields<LendPermit> =
    std::tuple(Required("lender", &LendPermit::lender),
               Required("target", &LendPermit::target),
               Required("permit", &LendPermit::permit),
               Required("duration_us", &LendPermit::duration));

template <>
inline constexpr auto kJsonFields<ReturnPermit> =
    std::tuple(Required("borrower", &ReturnPermit::borrower),
               Required("target", &ReturnPermit::target),
               Required("permit", &ReturnPermit::permit));

template <>
inline constexpr auto kJsonFields<SuspectNotice> =
    std::tuple(Required("fingerprint", &SuspectNotice::fingerprint),
               Required("target", &SuspectNotice::target));

template <>
inline constexpr auto kJsonFields<ShareLease> =
    std::tuple(Required("usable", &ShareLease::usable),
               Required("confirmed_at", &ShareLease::confirmed_at));

template <>
inline constexpr auto kJsonTokens<LinkMessage> =
    std::to_array<std::string_view>(
        {"relay_records", "log_position",   "state_request", "state_transfer",
         "append_for_me", "mirror_record",  "mirror_ack",    "mirror_request",
         "mirror_reply",  "demand_report",  "target_news",   "no_capacity",
         "borrow_tokens", "lend_tokens",    "borrow_permit", "lend_permit",
         "return_permit", "suspect_notice", "share_lease",   "claim_ask",
         "claim_reply",   "claim_finished"});

template <>
inline constexpr auto kJsonFields<Envelope> =
    std::tuple(Required("from", &Envelope::from),
               Required("to", &Envelope::to),
               Required("message", &Envelope::message));

}  // namespace cicadaloft

#endif  // CICADALOFT_PEERING_LINK_JSON_H_
