#include "entry_tokens.h"

#include <algorithm>
#include <ranges>

#include "cicadaloft/entry/reasons.h"
#include "entry_requests.h"

namespace cicadaloft {
namespace {

void EmptyBuckets(EntryCore& core) {
  std::ranges::for_each(
      core.rates | std::views::values,
      [&](CustomerRate& rate) { rate.bucket.Empty(core.now); });
}

void ServeCustomer(EntryCore& core, CustomerRate& rate) {
  while (!rate.short_of_tokens.empty() && rate.bucket.TryTake(core.now)) {
    OpenRequest& request = *rate.short_of_tokens.begin()->second;
    rate.short_of_tokens.erase(rate.short_of_tokens.begin());
    OnTokenTaken(core, request);
  }
}

}  // namespace

void SyncRates(EntryCore& core) {
  const double fraction = core.ledger.shares().FractionOf(core.settings.host);
  const auto& customers = core.ledger.config().All<Customer>();
  std::ranges::for_each(customers | std::views::values, [&](const auto& item) {
    core.rates[item->id].bucket.SetShare(item->requests_per_second * fraction,
                                         item->burst_requests * fraction,
                                         core.now);
  });
  std::erase_if(core.rates, [&](const auto& rate) {
    return !customers.contains(rate.first.value()) &&
           rate.second.short_of_tokens.empty();
  });
}

void TakeToken(EntryCore& core, OpenRequest& request) {
  if (!request.customer.has_value()) {
    OnTokenTaken(core, request);
    return;
  }
  CustomerRate& rate = core.rates[*request.customer];
  const bool has_turn = rate.short_of_tokens.empty() && core.share.is_usable;
  if (has_turn && rate.bucket.TryTake(core.now)) {
    OnTokenTaken(core, request);
    return;
  }
  request.phase = RequestPhase::kShortOfTokens;
  rate.short_of_tokens.emplace(request.number, &request);
  core.Log(reason::kWaitTokens, request.arrived.request,
           "customer=" + request.customer->value());
}

void ServeShortOfTokens(EntryCore& core) {
  if (!core.share.is_usable) {
    return;
  }
  std::ranges::for_each(core.rates | std::views::values,
                        [&](CustomerRate& rate) { ServeCustomer(core, rate); });
}

void OnSuspension(EntryCore& core) {
  EmptyBuckets(core);
  core.share =
      ShareUse{.is_usable = false, .confirmed_from = core.ledger.next()};
  core.Log(reason::kSuspended, RequestId(), "cause=gap");
}

void OnShareLease(EntryCore& core, const ShareLease& lease) {
  const bool is_usable =
      lease.usable && lease.confirmed_at >= core.share.confirmed_from;
  if (is_usable == core.share.is_usable) {
    return;
  }
  EmptyBuckets(core);
  core.share.is_usable = is_usable;
  core.Log(is_usable ? reason::kUsable : reason::kSuspended, RequestId(),
           "cause=steward");
}

}  // namespace cicadaloft
