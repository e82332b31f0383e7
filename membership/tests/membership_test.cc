#define BOOST_TEST_MODULE membership
#include <boost/test/unit_test.hpp>
#include <map>

#include "cicadaloft/membership/lease_keeper.h"
#include "cicadaloft/membership/member_table.h"
#include "cicadaloft/membership/share_table.h"

namespace cicadaloft {
namespace {

const DataCentreId kNorte("norte-a");
const DataCentreId kOther("norte-b");

Member MemberOf(const std::string& host, std::uint64_t incarnation = 1) {
  return Member{.host = HostId(host), .incarnation = Incarnation(incarnation)};
}

void Join(MemberTable& table,
          const std::string& host,
          std::uint64_t at,
          const DataCentreId& data_centre = kNorte,
          std::uint64_t incarnation = 1) {
  const Member member = MemberOf(host, incarnation);
  BOOST_REQUIRE(!table.Take(JoinRecord{.member = member,
                                       .data_centre = data_centre,
                                       .peer_address = "127.0.0.1:1"},
                            member, LogOffset(at)));
}

void Renew(MemberTable& table,
           const std::string& host,
           std::uint64_t at,
           std::uint64_t applied) {
  const Member member = MemberOf(host);
  BOOST_REQUIRE(!table.Take(
      RenewRecord{.renewals = {Renewal{.member = member,
                                       .applied = LogOffset(applied)}}},
      member, LogOffset(at)));
}

BOOST_AUTO_TEST_CASE(JoinsMoveNoDuty) {
  MemberTable table;
  Join(table, "h1", 0);
  const auto before = table.duties();
  BOOST_TEST(before.size() == 1 + kClaimBuckets);
  Join(table, "h2", 1);
  BOOST_TEST((table.duties() == before));
}

BOOST_AUTO_TEST_CASE(ARenewalAfterTheOneSeenSavesTheMember) {
  MemberTable table;
  Join(table, "h1", 0);
  Join(table, "h2", 1);
  const EvictRecord evict{.member = MemberOf("h1"),
                          .last_renewal = LogOffset(0)};
  Renew(table, "h1", 2, 2);
  BOOST_TEST(
      table.Take(evict, MemberOf("h2"), LogOffset(3), false).has_value());
  const EvictRecord later{.member = MemberOf("h1"),
                          .last_renewal = LogOffset(2)};
  BOOST_TEST(
      !table.Take(later, MemberOf("h2"), LogOffset(4), false).has_value());
  BOOST_TEST(table.Owns(MemberOf("h2"), DutyId{.kind = DutyKind::kPlacement,
                                               .data_centre = kNorte}));
}

BOOST_AUTO_TEST_CASE(StrangersOfAnotherDataCentreMayNotEvict) {
  MemberTable table;
  Join(table, "h1", 0);
  Join(table, "x1", 1, kOther);
  const EvictRecord evict{.member = MemberOf("h1"),
                          .last_renewal = LogOffset(0)};
  BOOST_TEST(
      table.Take(evict, MemberOf("x1"), LogOffset(2), false).has_value());
  BOOST_TEST(
      !table.Take(evict, MemberOf("x1"), LogOffset(2), true).has_value());
}

BOOST_AUTO_TEST_CASE(AClaimsHomeCountsOnlyOnceAllHaveAppliedIt) {
  MemberTable table;
  Join(table, "h1", 0);
  std::string moved;
  for (int i = 0; i < 100 && moved.empty(); ++i) {
    MemberTable both = table;
    Join(both, "x1", 1, kOther);
    Renew(both, "h1", 2, 2);
    const std::string key = std::to_string(i);
    moved = both.ClaimsDutyOf(key)->data_centre == kOther ? key : "";
  }
  BOOST_REQUIRE(!moved.empty());
  Join(table, "x1", 1, kOther);
  BOOST_TEST((table.ClaimsDutyOf(moved)->data_centre == kNorte));
  Renew(table, "h1", 2, 2);
  BOOST_TEST((table.ClaimsDutyOf(moved)->data_centre == kOther));
}

BOOST_AUTO_TEST_CASE(AJoinersShareBeginsAfterTheOthersHaveShrunk) {
  const std::map<DataCentreId, std::uint32_t> weights = {{kNorte, 1}};
  MemberTable table;
  ShareTable shares;
  const auto update = [&](std::uint64_t at) {
    shares.Update(table, SplitEvenly(table, weights, LogOffset(at)));
  };
  Join(table, "h1", 0);
  update(0);
  BOOST_TEST(shares.FractionOf(HostId("h1")) == 1.0);
  Join(table, "h2", 1);
  update(1);
  BOOST_TEST(shares.FractionOf(HostId("h1")) == 0.5);
  BOOST_TEST(shares.FractionOf(HostId("h2")) == 0.0);
  Renew(table, "h1", 2, 1);
  update(2);
  BOOST_TEST(shares.FractionOf(HostId("h2")) == 0.0);
  Renew(table, "h1", 3, 2);
  update(3);
  BOOST_TEST(shares.FractionOf(HostId("h2")) == 0.5);
}

LeaseKeeper MakeLease() {
  using std::chrono::milliseconds;
  return LeaseKeeper(LeaseTerms{.lease_term = milliseconds(6000),
                                .renew_interval = milliseconds(2000),
                                .suspension_limit = milliseconds(1000),
                                .stale_message_time = milliseconds(500)});
}

constexpr TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::milliseconds(milliseconds));
}

BOOST_AUTO_TEST_CASE(ALeaseRunsFromWhenItsRenewalWasMade) {
  LeaseKeeper lease = MakeLease();
  lease.NoteRenewal(SequenceNumber(1), At(0));
  BOOST_TEST(!lease.HasLease(At(0)));
  lease.NoteReadBack(SequenceNumber(1));
  BOOST_TEST(lease.HasLease(At(5999)));
  BOOST_TEST(!lease.HasLease(At(6000)));
}

BOOST_AUTO_TEST_CASE(ARenewalThatWasWithdrawnNeverCounts) {
  LeaseKeeper lease = MakeLease();
  lease.NoteRenewal(SequenceNumber(1), At(0));
  lease.NoteRenewal(SequenceNumber(2), At(3000));
  lease.Withdraw(SequenceNumber(2));
  lease.NoteReadBack(SequenceNumber(3));
  BOOST_TEST(!lease.HasLease(At(6000)));
}

BOOST_AUTO_TEST_CASE(ARenewalMadeBeforeASuspensionConfirmsNothing) {
  LeaseKeeper lease = MakeLease();
  lease.NoteEvent(At(0));
  lease.NoteRenewal(SequenceNumber(1), At(0));
  BOOST_TEST(lease.NoteEvent(At(2000)));
  lease.NoteReadBack(SequenceNumber(1));
  BOOST_TEST(!lease.IsConfirmed());
  lease.NoteRenewal(SequenceNumber(2), At(2000));
  lease.NoteReadBack(SequenceNumber(2));
  BOOST_TEST(lease.IsConfirmed());
}

BOOST_AUTO_TEST_CASE(ADataCentreTakenOutKeepsItsShareUntilItHasAppliedIt) {
  MemberTable table;
  ShareTable shares;
  Join(table, "h1", 0);
  Join(table, "x1", 1, kOther);
  const std::map<DataCentreId, std::uint32_t> both = {{kNorte, 1}, {kOther, 1}};
  Renew(table, "h1", 2, 2);
  shares.Update(table, SplitEvenly(table, both, LogOffset(2)));
  BOOST_TEST(shares.FractionOf(HostId("h1")) == 0.5);
  const std::map<DataCentreId, std::uint32_t> one = {{kNorte, 1}};
  shares.Update(table, SplitEvenly(table, one, LogOffset(3)));
  BOOST_TEST(shares.FractionOf(HostId("h1")) == 0.5);
  BOOST_TEST(shares.FractionOf(HostId("x1")) == 0.0);
  Renew(table, "x1", 4, 4);
  shares.Update(table, SplitEvenly(table, one, LogOffset(4)));
  BOOST_TEST(shares.FractionOf(HostId("h1")) == 1.0);
}

}  // namespace
}  // namespace cicadaloft
