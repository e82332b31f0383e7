#include "scenarios/runner/world.h"

#include <algorithm>
#include <iostream>
#include <ranges>

#include "cicadaloft/core/result.h"

namespace cicadaloft::scenarios {
namespace {

constexpr Duration kLocalDelay = std::chrono::microseconds(60);
constexpr Duration kHostListInterval = std::chrono::seconds(1);
constexpr Duration kFailedRead = std::chrono::milliseconds(200);
constexpr Duration kLinkCheck = std::chrono::milliseconds(50);
constexpr Duration kLinkTimeout = std::chrono::seconds(3);
constexpr std::string_view kLog = "log";

}  // namespace

World::World(std::uint64_t seed) : fake_log(this->clock), random_source(seed) {
  this->UpdateLinks();
}

void World::AddHost(const HostId& id, const DataCentreId& data_centre) {
  Host host;
  host.id = id;
  host.data_centre = data_centre;
  this->hosts.emplace(id, std::move(host));
}

void World::AddTarget(const Target& target,
                      const BackEnd& back_end,
                      Duration load_time) {
  this->targets.emplace(
      target.id, std::make_unique<FakeTarget>(this->clock, this->store, target,
                                              back_end, load_time));
}

void World::Start(const HostId& id) {
  Host& host = this->At(id);
  if (host.is_up) {
    return;
  }
  host.is_up = true;
  host.is_frozen = false;
  host.is_listed = true;
  host.is_leaving = false;
  host.has_stopped = false;
  host.incarnation =
      static_cast<std::uint64_t>(this->clock.Now().time_since_epoch().count());
  host.active_since = this->clock.Now();
  host.held_links.clear();
  host.links_up.clear();
  host.backlog.clear();
  host.entry.emplace(
      EntrySettings{.host = id, .data_centre = host.data_centre});
  host.steward.emplace(StewardSettings{
      .self = Member{.host = id, .incarnation = Incarnation(host.incarnation)},
      .data_centre = host.data_centre,
      .peer_address = id.value() + ":1"});
  const std::uint64_t incarnation = host.incarnation;
  this->Give(id, StewardEvent(PeerChanged{.peer = id, .is_up = true}));
  this->Give(id, EntryEvent(LinkChanged{.is_up = true}));
  this->TickEntry(id, incarnation);
  this->TickSteward(id, incarnation);
  this->ReadHostList(id, incarnation);
}

void World::Kill(const HostId& id) {
  if (!this->At(id).is_up) {
    return;
  }
  std::ranges::for_each(
      this->requests | std::views::values, [&](SentRequest& request) {
        request.host_failed |= request.host == id && !request.ended;
      });
  this->EndProcesses(id);
}

void World::EndProcesses(const HostId& id) {
  Host& host = this->At(id);
  host.is_up = false;
  host.is_frozen = false;
  host.incarnation = 0;
  host.backlog.clear();
  this->LoseRequestsOf(id);
  host.entry.reset();
  host.steward.reset();
  std::ranges::for_each(this->hosts | std::views::values, [&](Host& other) {
    if (other.links_up.erase(id) > 0 && other.is_up) {
      this->Later(other.id, kLocalDelay, [this, peer = id, to = other.id] {
        this->Give(to, StewardEvent(PeerChanged{.peer = peer, .is_up = false}));
      });
    }
  });
  host.links_up.clear();
  constexpr Duration kListLag = std::chrono::seconds(2);
  this->clock.After(kListLag, [this, id] {
    Host& later = this->At(id);
    later.is_listed = later.is_listed && later.is_up;
  });
}

void World::Freeze(const HostId& id) {
  Host& host = this->At(id);
  host.is_frozen = host.is_up;
  host.frozen_at = this->clock.Now();
  std::ranges::for_each(this->requests | std::views::values,
                        [&](SentRequest& request) {
                          if (request.host == id && !request.ended) {
                            request.host_failed = true;
                          }
                        });
}

void World::Resume(const HostId& id) {
  Host& host = this->At(id);
  if (!host.is_frozen) {
    return;
  }
  host.is_frozen = false;
  host.active_since = this->clock.Now();
  std::ranges::for_each(std::exchange(host.backlog, {}),
                        [](const auto& action) { action(); });
}

void World::Stop(const HostId& id) {
  Host& host = this->At(id);
  host.is_leaving = true;
  this->Give(id, EntryEvent(EntryStopRequested{}));
  this->Give(id, StewardEvent(StewardStopRequested{}));
}

void World::Cut(const std::string& from, const std::string& to) {
  this->cuts.emplace(from, to);
}

void World::Heal(const std::string& from, const std::string& to) {
  this->cuts.erase(std::pair(from, to));
  std::ranges::for_each(this->hosts | std::views::values, [this](Host& host) {
    host.active_since = this->clock.Now();
  });
}

void World::SetListed(const HostId& id, bool is_listed) {
  this->At(id).is_listed = is_listed;
}

void World::Submit(const HostId& id, const Ticket& ticket) {
  const std::uint64_t call = this->next_call++;
  this->submitted.emplace(call, ticket);
  this->Give(id, StewardEvent(TicketSubmitted{.call = call, .ticket = ticket}));
}

std::set<HostId> World::Hosts() const {
  const auto ids = this->hosts | std::views::keys;
  return {ids.begin(), ids.end()};
}

std::set<HostId> World::HostsOf(const std::string& name) const {
  std::set<HostId> found;
  std::ranges::for_each(this->hosts | std::views::values, [&](const Host& h) {
    if (h.id.value() == name || h.data_centre.value() == name) {
      found.insert(h.id);
    }
  });
  return found;
}

void World::AddViolation(const std::string& what) {
  const auto now_ms =
      this->clock.Now().time_since_epoch() / std::chrono::milliseconds(1);
  constexpr Duration::rep kStartMs = 3600000;
  this->broken.push_back("at " + std::to_string(now_ms - kStartMs) +
                         " ms: " + what);
}

bool World::IsRunning(const HostId& id) const {
  const Host& host = this->At(id);
  return host.is_up && !host.is_frozen && !host.is_leaving;
}

bool World::IsCutFromLog(const HostId& id) const {
  const Host& host = this->At(id);
  const std::string log(kLog);
  return this->cuts.contains({id.value(), log}) ||
         this->cuts.contains({host.data_centre.value(), log});
}

const StewardState& World::StewardOf(const HostId& id) const {
  return *this->At(id).steward;
}

const EntryState& World::EntryOf(const HostId& id) const {
  return *this->At(id).entry;
}

// Delivery.

void World::Later(const HostId& id, Duration delay, VirtualTime::Action act) {
  const std::uint64_t incarnation = this->At(id).incarnation;
  this->clock.After(delay, [this, id, incarnation, act = std::move(act)] {
    Host& host = this->At(id);
    if (!host.is_up || host.incarnation != incarnation) {
      return;
    }
    if (host.is_frozen) {
      host.backlog.push_back(act);
      return;
    }
    act();
  });
}

void World::Give(const HostId& id, const EntryEvent& event) {
  Host& host = this->At(id);
  if (!host.is_up) {
    return;
  }
  Step<EntryState, EntryEffect> step =
      Decide(std::move(*host.entry), event, this->clock.Now());
  host.entry.emplace(std::move(step.state));
  std::ranges::for_each(
      step.effects, [&](const EntryEffect& effect) { this->Do(host, effect); });
}

void World::Give(const HostId& id, const StewardEvent& event) {
  Host& host = this->At(id);
  if (!host.is_up) {
    return;
  }
  const LogOffset before = host.steward->ledger().next();
  Step<StewardState, StewardEffect> step =
      Decide(std::move(*host.steward), event, this->clock.Now());
  host.steward.emplace(std::move(step.state));
  if (host.steward->ledger().next() < before) {
    this->AddViolation("steward " + id.value() + " went back in the log");
  }
  std::ranges::for_each(step.effects, [&](const StewardEffect& effect) {
    this->Do(host, effect);
  });
}

void World::TickEntry(const HostId& id, std::uint64_t incarnation) {
  Host& host = this->At(id);
  if (host.incarnation != incarnation) {
    return;
  }
  if (!host.is_frozen) {
    this->Give(id, EntryEvent(EntryTick{}));
  }
  this->clock.After(kEntryTickInterval, [this, id, incarnation] {
    this->TickEntry(id, incarnation);
  });
}

void World::TickSteward(const HostId& id, std::uint64_t incarnation) {
  Host& host = this->At(id);
  if (host.incarnation != incarnation) {
    return;
  }
  if (!host.is_frozen) {
    this->Give(id, StewardEvent(StewardTick{}));
  }
  this->clock.After(kStewardTickInterval, [this, id, incarnation] {
    this->TickSteward(id, incarnation);
  });
}

void World::ReadHostList(const HostId& id, std::uint64_t incarnation) {
  Host& host = this->At(id);
  if (host.incarnation != incarnation) {
    return;
  }
  if (!host.is_frozen && !this->IsCutFromLog(id) && !this->fake_log.IsOut()) {
    std::vector<HostListEntry> entries;
    std::ranges::for_each(this->hosts | std::views::values, [&](Host& other) {
      if (other.is_listed) {
        entries.push_back(HostListEntry{.host = other.id,
                                        .data_centre = other.data_centre,
                                        .peer_address = other.id.value() + ":1",
                                        .leaving = other.is_leaving});
      }
    });
    this->Give(id, StewardEvent(HostListRead{.hosts = entries}));
  }
  this->clock.After(kHostListInterval, [this, id, incarnation] {
    this->ReadHostList(id, incarnation);
  });
}

void World::ReadLogFor(Host& host, LogOffset from) {
  const HostId id = host.id;
  if (this->IsCutFromLog(id)) {
    this->Later(id, kFailedRead,
                [this, id] { this->Give(id, StewardEvent(LogReadFailed{})); });
    return;
  }
  const std::uint64_t incarnation = host.incarnation;
  this->fake_log.Read(from, [this, id, incarnation](const auto& read) {
    if (this->At(id).incarnation != incarnation) {
      return;
    }
    const bool failed = !read.has_value() || this->IsCutFromLog(id);
    const StewardEvent event =
        failed ? StewardEvent(LogReadFailed{}) : StewardEvent(*read);
    this->Later(id, Duration{}, [this, id, event] { this->Give(id, event); });
  });
}

void World::AppendFor(Host& host, const AppendRecords& append) {
  const HostId id = host.id;
  const SequenceNumber last = append.records.back().sequence;
  const std::uint64_t incarnation = host.incarnation;
  const auto answer = [this, id, incarnation, last](bool is_ok) {
    if (this->At(id).incarnation != incarnation) {
      return;
    }
    const bool heard = is_ok && !this->IsCutFromLog(id);
    this->Later(id, Duration{}, [this, id, last, heard] {
      this->Give(id,
                 StewardEvent(AppendAnswered{.last = last, .is_ok = heard}));
    });
  };
  if (this->IsCutFromLog(id)) {
    this->clock.After(kFailedRead, [answer] { answer(false); });
    return;
  }
  this->fake_log.Append(append.records, answer);
}

// Links.

bool World::IsCut(const Host& from, const Host& to) const {
  const auto cut = [&](const std::string& a, const std::string& b) {
    return this->cuts.contains({a, b});
  };
  return cut(from.id.value(), to.id.value()) ||
         cut(from.id.value(), to.data_centre.value()) ||
         cut(from.data_centre.value(), to.id.value()) ||
         cut(from.data_centre.value(), to.data_centre.value());
}

Duration World::DelayBetween(const DataCentreId& from, const DataCentreId& to) {
  constexpr Duration kInside = std::chrono::microseconds(200);
  constexpr Duration kBetween = std::chrono::microseconds(1000);
  std::uniform_int_distribution<int> jitter(0, 100);
  return (from == to ? kInside : kBetween) +
         Duration(jitter(this->random_source));
}

void World::UpdateLinks() {
  const auto answers = [this](const Host& host) {
    return host.is_up && (!host.is_frozen ||
                          this->clock.Now() - host.frozen_at < kLinkTimeout);
  };
  std::ranges::for_each(this->hosts | std::views::values, [&](Host& host) {
    std::ranges::for_each(this->hosts | std::views::values, [&](Host& peer) {
      if (!(host.id < peer.id)) {
        return;
      }
      const bool held = host.held_links.contains(peer.id) ||
                        peer.held_links.contains(host.id);
      const bool can = answers(host) && answers(peer) &&
                       !this->IsCut(host, peer) && !this->IsCut(peer, host);
      const bool is_up = host.links_up.contains(peer.id);
      if ((held && can) != is_up) {
        this->SetLink(host, peer, held && can);
      }
    });
  });
  this->clock.After(kLinkCheck, [this] { this->UpdateLinks(); });
}

void World::SetLink(Host& from, Host& to, bool is_up) {
  const auto set = [&](Host& at, const Host& peer) {
    if (is_up) {
      at.links_up.insert(peer.id);
    } else {
      at.links_up.erase(peer.id);
    }
    if (at.is_up) {
      this->Later(
          at.id, kLocalDelay, [this, id = at.id, peer = peer.id, is_up] {
            this->Give(id,
                       StewardEvent(PeerChanged{.peer = peer, .is_up = is_up}));
          });
    }
  };
  set(from, to);
  set(to, from);
}

}  // namespace cicadaloft::scenarios
