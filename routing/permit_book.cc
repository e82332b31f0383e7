#include "cicadaloft/routing/permit_book.h"

#include <algorithm>
#include <ranges>

namespace cicadaloft {

std::uint64_t LentPermits::Add(const LentPermit& lent, TimePoint now) {
  // The clock goes on over restarts, so numbers don't come twice.
  const auto from_clock =
      static_cast<std::uint64_t>(now.time_since_epoch().count());
  this->last_number = std::max(this->last_number + 1, from_clock);
  this->by_number.emplace(this->last_number, lent);
  return this->last_number;
}

std::optional<LentPermit> LentPermits::TakeBack(std::uint64_t permit,
                                                const HostId& borrower) {
  const auto found = this->by_number.find(permit);
  if (found == this->by_number.end() || found->second.borrower != borrower) {
    return std::nullopt;
  }
  std::optional<LentPermit> lent(found->second);
  this->by_number.erase(found);
  return lent;
}

std::vector<LentPermit> LentPermits::TakeEnded(TimePoint now) {
  std::vector<LentPermit> ended;
  std::erase_if(this->by_number, [&](const auto& entry) {
    if (entry.second.ends > now) {
      return false;
    }
    ended.push_back(entry.second);
    return true;
  });
  return ended;
}

std::optional<HostId> PermitAsks::PickLender(const std::vector<HostId>& lenders,
                                             TimePoint now) {
  const auto may_ask = [&](const HostId& lender) {
    const Ask& ask = this->asks[lender];
    const bool is_open =
        ask.asked_at.has_value() && now - *ask.asked_at < kAskTerm;
    return !is_open && now >= ask.not_before;
  };
  const auto lender = std::ranges::find_if(lenders, may_ask);
  if (lender == lenders.end()) {
    return std::nullopt;
  }
  this->asks[*lender].asked_at = now;
  return *lender;
}

std::optional<TimePoint> PermitAsks::OnAnswer(const HostId& lender,
                                              bool has_lent,
                                              TimePoint now) {
  const auto found = this->asks.find(lender);
  if (found == this->asks.end() || !found->second.asked_at.has_value()) {
    return std::nullopt;
  }
  Ask& ask = found->second;
  const TimePoint asked_at = *ask.asked_at;
  ask.asked_at.reset();
  if (has_lent) {
    ask.back_off = kFirstBackOff;
    return asked_at;
  }
  ask.not_before = now + ask.back_off;
  ask.back_off = std::min(kLongestBackOff, ask.back_off * 2);
  return asked_at;
}

std::size_t PermitAsks::OpenAsks(TimePoint now) const {
  return std::ranges::count_if(
      this->asks | std::views::values, [&](const Ask& ask) {
        return ask.asked_at.has_value() && now - *ask.asked_at < kAskTerm;
      });
}

}  // namespace cicadaloft
