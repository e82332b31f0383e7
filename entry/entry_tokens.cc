#include "entry_tokens.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <iterator>
#include <ranges>
#include <tuple>
#include <utility>

#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/entry/reasons.h"
#include "entry_requests.h"

namespace cicadaloft {
namespace {

/// Hosts that are asked at once for one customer's tokens.
constexpr std::size_t kFewestAsked = 2;
constexpr std::size_t kMostAsked = 8;

/// Two hosts that both lack tokens give way to each other in turns this long.
constexpr Duration kPrecedenceTurn = std::chrono::milliseconds(500);

/// A host asks for less than this no more.
constexpr double kLeastAsked = 1e-6;

void EmptyBuckets(EntryCore& core) {
  std::ranges::for_each(
      core.rates | std::views::values,
      [&](CustomerRate& rate) { rate.bucket.Empty(core.now); });
}

/// Members with a part of the rates: mates of the data centre first, then
/// larger parts before smaller ones.
std::vector<HostId> FindLenders(const EntryCore& core) {
  struct Peer {
    bool is_mate;
    double fraction;
    HostId host;
  };
  std::vector<Peer> peers;
  for (const auto& [host, info] : core.ledger.members().members()) {
    const double fraction = core.ledger.shares().FractionOf(host);
    if (host != core.settings.host && fraction > 0) {
      peers.push_back(
          Peer{.is_mate = info.data_centre == core.settings.data_centre,
               .fraction = fraction,
               .host = host});
    }
  }
  std::ranges::sort(peers, std::greater<>{}, [](const Peer& peer) {
    return std::tuple(peer.is_mate, peer.fraction, peer.host);
  });
  std::vector<HostId> hosts;
  std::ranges::transform(peers, std::back_inserter(hosts), &Peer::host);
  return hosts;
}

double Missing(EntryCore& core, CustomerRate& rate) {
  return static_cast<double>(rate.short_of_tokens.size()) -
         rate.bucket.Available(core.now);
}

void Borrow(EntryCore& core, const CustomerId& customer, CustomerRate& rate) {
  const double missing = Missing(core, rate);
  if (missing < kLeastAsked || !core.is_link_up) {
    return;
  }
  const double peer_stock = std::max(rate.bucket.capacity(), kLeastAsked);
  const auto wanted_peers = static_cast<std::size_t>(
      std::min(std::ceil(missing / peer_stock), double{kMostAsked}));
  const std::vector<HostId> peers = rate.asks.Pick(
      core.lenders, std::max(wanted_peers, kFewestAsked), core.now);
  std::ranges::for_each(peers, [&](const HostId& peer) {
    core.Send(peer,
              BorrowTokens{.borrower = core.settings.host,
                           .customer = customer,
                           .wanted_requests =
                               missing / static_cast<double>(peers.size())});
  });
}

/// @return time until the tokens for the first `position` waiting requests
/// have come, by this host's part and by what others lend.
std::optional<Duration> ExpectedWait(EntryCore& core,
                                     const CustomerId& customer,
                                     CustomerRate& rate,
                                     std::size_t position) {
  const auto* item = core.ledger.config().Find<Customer>(customer.value());
  if (!core.share.is_usable || item == nullptr) {
    return std::nullopt;
  }
  const double own = rate.bucket.rate();
  const double hoped_for = core.is_link_up && !core.lenders.empty()
                               ? std::max(0.0, item->requests_per_second - own)
                               : 0.0;
  const double income = own + rate.asks.Income(hoped_for, core.now);
  const double missing =
      static_cast<double>(position) - rate.bucket.Available(core.now);
  // Others may still hold a whole burst.
  const double stock_elsewhere =
      hoped_for > 0 && income >= item->requests_per_second * 0.99
          ? item->burst_requests - rate.bucket.capacity()
          : 0.0;
  const double seconds =
      std::max(0.0, missing - stock_elsewhere) / std::max(income, 1e-9);
  constexpr double kLongestSeconds = 1e6;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, kLongestSeconds)));
}

/// Refuses from the end those who can't be served in time.
void RefuseHopeless(EntryCore& core,
                    const CustomerId& customer,
                    CustomerRate& rate) {
  while (!rate.short_of_tokens.empty()) {
    OpenRequest& last = *rate.short_of_tokens.rbegin()->second;
    const std::optional<Duration> wait =
        ExpectedWait(core, customer, rate, rate.short_of_tokens.size());
    if (!wait.has_value() || core.now + *wait <= last.deadline) {
      return;
    }
    RefuseOpen(core, last,
               Fail(ErrorKind::kRateLimited, "the customer's rate is used up"),
               RunState::kNotRun, wait);
  }
}

void ServeCustomer(EntryCore& core,
                   const CustomerId& customer,
                   CustomerRate& rate) {
  while (!rate.short_of_tokens.empty() && rate.bucket.TryTake(core.now)) {
    OpenRequest& request = *rate.short_of_tokens.begin()->second;
    rate.short_of_tokens.erase(rate.short_of_tokens.begin());
    OnTokenTaken(core, request);
  }
  RefuseHopeless(core, customer, rate);
  Borrow(core, customer, rate);
}

/// Where two hosts lack tokens of the same customer, one of them collects what
/// both have.
bool GoesFirst(const EntryCore& core,
               const HostId& borrower,
               const CustomerId& customer) {
  const auto turn = core.now.time_since_epoch() / kPrecedenceTurn;
  const std::string key = customer.value() + "/" + std::to_string(turn);
  return RendezvousWeight(key, borrower.value()) >
         RendezvousWeight(key, core.settings.host.value());
}

/// Parts of a token that the borrower can't complete in time are lost, so only
/// whole ones are lent, unless no host ever has a whole one.
double MostToLend(EntryCore& core,
                  const BorrowTokens& ask,
                  CustomerRate& rate) {
  if (rate.bucket.capacity() >= 1) {
    return rate.short_of_tokens.empty()
               ? std::min(std::ceil(ask.wanted_requests),
                          std::floor(rate.bucket.Available(core.now)))
               : 0.0;
  }
  const bool keeps_all = !rate.short_of_tokens.empty() &&
                         !GoesFirst(core, ask.borrower, ask.customer);
  return keeps_all ? 0.0 : ask.wanted_requests;
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
  core.lenders = FindLenders(core);
}

void TakeToken(EntryCore& core, OpenRequest& request) {
  if (!request.customer.has_value()) {
    OnTokenTaken(core, request);
    return;
  }
  CustomerRate& rate = core.rates[*request.customer];
  rate.retries.OnRequest();
  const bool has_turn = rate.short_of_tokens.empty() && core.share.is_usable;
  if (has_turn && rate.bucket.TryTake(core.now)) {
    OnTokenTaken(core, request);
    return;
  }
  request.phase = RequestPhase::kShortOfTokens;
  rate.short_of_tokens.emplace(request.number, &request);
  core.short_customers.insert(*request.customer);
  const std::optional<Duration> wait =
      ExpectedWait(core, *request.customer, rate, rate.short_of_tokens.size());
  const bool is_too_late =
      wait.has_value() && core.now + *wait > request.deadline;
  // One customer may not take the whole room for waiting.
  const bool is_too_many =
      rate.short_of_tokens.size() > core.settings.max_waiting / 2;
  if (is_too_late || is_too_many) {
    RefuseOpen(core, request,
               Fail(ErrorKind::kRateLimited, "the customer's rate is used up"),
               RunState::kNotRun, wait);
    return;
  }
  core.Log(reason::kWaitTokens, request.arrived.request,
           "customer=" + request.customer->value());
  if (core.share.is_usable) {
    Borrow(core, *request.customer, rate);
  }
}

void ServeShortOfTokens(EntryCore& core) {
  if (!core.share.is_usable) {
    return;
  }
  const std::set<CustomerId> customers = core.short_customers;
  std::ranges::for_each(customers, [&](const CustomerId& customer) {
    ServeCustomer(core, customer, core.rates[customer]);
    if (core.rates[customer].short_of_tokens.empty()) {
      core.short_customers.erase(customer);
    }
  });
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

void OnBorrowTokens(EntryCore& core, const BorrowTokens& ask) {
  const auto found = core.rates.find(ask.customer);
  double given = 0;
  if (found != core.rates.end() && core.share.is_usable &&
      std::isfinite(ask.wanted_requests) && ask.wanted_requests > 0) {
    CustomerRate& rate = found->second;
    given = rate.bucket.Lend(MostToLend(core, ask, rate), 0, core.now);
  }
  // An answer without tokens lets the borrower ask another host.
  core.Send(ask.borrower, LendTokens{.lender = core.settings.host,
                                     .customer = ask.customer,
                                     .requests = given});
}

void OnLendTokens(EntryCore& core, const LendTokens& loan) {
  const auto found = core.rates.find(loan.customer);
  if (found == core.rates.end() || !std::isfinite(loan.requests)) {
    return;
  }
  CustomerRate& rate = found->second;
  const std::optional<TimePoint> asked_at =
      rate.asks.OnAnswer(loan.lender, loan.requests, core.now);
  if (!asked_at.has_value() || !core.share.is_usable) {
    return;
  }
  rate.bucket.TakeLoan(loan.requests, *asked_at, core.now);
  ServeCustomer(core, loan.customer, rate);
}

}  // namespace cicadaloft
