#include "scenarios/runner/scenario.h"

#include <algorithm>
#include <iostream>
#include <ranges>
#include <stdexcept>

#include "cicadaloft/core/result.h"

namespace cicadaloft::scenarios {
namespace {

constexpr Duration kSettle = std::chrono::milliseconds(50);
constexpr Duration kWatchInterval = std::chrono::milliseconds(20);
constexpr std::size_t kMaxPrinted = 20;

}  // namespace

Scenario::Scenario(const std::vector<ScriptLine>& lines,
                   const ScenarioOptions& options)
    : options(options),
      world(options.seed),
      load(this->world),
      invariants(this->world) {
  this->world.SetTrace(options.trace);
  std::ranges::for_each(lines,
                        [this](const ScriptLine& line) { this->Plan(line); });
}

void Scenario::Plan(const ScriptLine& line) {
  if (line.verb() == "expect") {
    this->expectations.push_back(line);
  } else if (line.at() == Duration{} && line.verb() != "run") {
    this->Describe(line);
  } else {
    this->course.push_back(line);
  }
}

bool Scenario::Run() {
  const TimePoint start = this->world.time().Now();
  std::ranges::for_each(this->world.Hosts(), [this](const HostId& host) {
    this->world.Start(host);
  });
  this->world.time().RunUntil(start + kSettle);
  this->Submit(this->first_items, {}, ScriptLine());
  this->WatchTickets();
  this->WatchPromises();
  Duration end = std::chrono::seconds(30);
  std::ranges::for_each(this->course, [&](const ScriptLine& line) {
    if (line.verb() == "run") {
      end = line.Time("for", end);
      return;
    }
    this->world.time().After(line.at() - kSettle,
                             [this, line] { this->Perform(line); });
  });
  this->world.time().RunUntil(start + end);
  this->invariants.CheckAtEnd();
  bool is_ok = this->world.Violations().empty();
  std::ranges::for_each(
      this->world.Violations() | std::views::take(kMaxPrinted),
      [](const auto& what) { std::cout << "VIOLATION " << what << "\n"; });
  std::ranges::for_each(this->expectations, [&](const ScriptLine& line) {
    is_ok = this->CheckExpectation(line) && is_ok;
  });
  if (this->options.table) {
    this->PrintTable();
  }
  return is_ok;
}

void Scenario::WatchTickets() {
  const auto& heard = this->world.HeardTickets();
  for (; this->heard_tickets < heard.size(); ++this->heard_tickets) {
    const HeardTicket& ticket = heard[this->heard_tickets];
    const bool is_accepted =
        IsOk(ticket.outcome) && ValueOf(ticket.outcome).accepted();
    this->verdicts.insert_or_assign(ticket.ticket.number, is_accepted);
    if (is_accepted) {
      this->invariants.OnAccepted(ticket.ticket,
                                  ValueOf(ticket.outcome).offset);
    }
  }
  this->world.time().After(kWatchInterval, [this] { this->WatchTickets(); });
}

void Scenario::WatchPromises() {
  constexpr Duration kInterval = std::chrono::milliseconds(100);
  this->invariants.CheckNow();
  this->world.time().After(kInterval, [this] { this->WatchPromises(); });
}

void Scenario::Submit(const std::vector<Item>& items,
                      const std::vector<ItemRef>& removed,
                      const ScriptLine& line) {
  const std::set<HostId> hosts =
      line.Has("host") ? this->world.HostsOf(line.Text("host", ""))
                       : this->world.Hosts();
  const auto number = static_cast<std::uint64_t>(
      line.Number("number", static_cast<double>(this->next_ticket)));
  this->next_ticket = std::max(this->next_ticket, number) + 1;
  const auto up = std::ranges::find_if(hosts, [this](const HostId& host) {
    return this->world.IsRunning(host);
  });
  if (up == hosts.end()) {
    throw std::runtime_error("no host to hand the ticket to");
  }
  this->world.Submit(*up, Ticket{.number = TicketNumber(number),
                                 .author = "scenario",
                                 .reason = "line",
                                 .items = items,
                                 .removed = removed});
}

RequestFigures Scenario::FiguresOf(const std::string& customer) const {
  RequestFigures figures;
  std::ranges::for_each(
      this->world.Requests() | std::views::values,
      [&](const SentRequest& request) {
        if (customer.empty() || request.customer.value() == customer) {
          Add(figures, request);
        }
      });
  Sort(figures);
  return figures;
}

double Scenario::Measure(const ScriptLine& line) {
  const std::string& what = line.Word(0);
  const RequestFigures figures = this->FiguresOf(line.Text("customer", ""));
  const auto milliseconds = [](Duration time) {
    return static_cast<double>(time / std::chrono::milliseconds(1));
  };
  const auto percentile = [&](const std::vector<Duration>& times) {
    return milliseconds(Percentile(times, line.Number("p", 0.99)));
  };
  if (what == "served") {
    return figures.ServedShare();
  }
  if (what == "sent") {
    return static_cast<double>(figures.sent);
  }
  if (what == "wrongly_refused") {
    return figures.WrongShare();
  }
  if (what == "first_byte_ms") {
    return percentile(figures.first_byte);
  }
  if (what == "cold_ms") {
    return percentile(figures.cold_first_byte);
  }
  if (what == "refused") {
    const auto found = figures.refusals.find(line.Text("kind", ""));
    return found == figures.refusals.end() ? 0
                                           : static_cast<double>(found->second);
  }
  if (what == "accepted") {
    const auto number = static_cast<std::uint64_t>(line.Number("ticket", 0));
    const auto found = this->verdicts.find(TicketNumber(number));
    constexpr double kUnheard = -1;
    return found == this->verdicts.end() ? kUnheard : found->second ? 1 : 0;
  }
  if (what == "runs") {
    return static_cast<double>(std::ranges::count_if(
        this->world.Requests() | std::views::values,
        [](const auto& r) { return r.saw == CallerSaw::kWholeAnswer; }));
  }
  if (what == "orders") {
    double sum = 0;
    std::ranges::for_each(
        this->world.log().History(), [&](const LogRecord& record) {
          const auto* order = std::get_if<PlacementRecord>(&record.body);
          const bool counts = order != nullptr &&
                              order->action == PlacementAction::kLoad &&
                              (!line.Has("model") ||
                               order->model.value() == line.Text("model", ""));
          sum += counts ? 1 : 0;
        });
    return sum;
  }
  if (what == "stopped") {
    return std::ranges::all_of(
               this->world.HostsOf(line.Text("host", "")),
               [this](const HostId& id) { return this->world.HasStopped(id); })
               ? 1
               : 0;
  }
  throw std::runtime_error("unknown expectation '" + what + "'");
}

bool Scenario::CheckExpectation(const ScriptLine& line) {
  const double measured = this->Measure(line);
  const std::string& relation = line.Word(1);
  const double bound = std::stod(line.Word(2));
  const bool is_ok = relation == ">="   ? measured >= bound
                     : relation == "<=" ? measured <= bound
                     : relation == "==" ? measured == bound
                                        : false;
  if (!is_ok) {
    std::cout << "EXPECTED line " << line.number() << ": " << line.Word(0)
              << " " << relation << " " << bound << ", measured " << measured
              << "\n";
  }
  return is_ok;
}

void Scenario::PrintTable() const {
  const auto row = [&](const std::string& name, const RequestFigures& f) {
    const auto ms = [](Duration time) {
      return time / std::chrono::milliseconds(1);
    };
    std::cout << "| " << name << " | " << f.sent << " | " << f.ServedShare()
              << " | " << f.WrongShare() << " | "
              << ms(Percentile(f.first_byte, 0.5)) << " | "
              << ms(Percentile(f.first_byte, 0.99)) << " | "
              << f.cold_first_byte.size() << " | "
              << ms(Percentile(f.cold_first_byte, 0.5)) << " | "
              << ms(Percentile(f.cold_first_byte, 0.95)) << " | "
              << ms(Percentile(f.cold_first_byte, 0.99)) << " | "
              << ms(Percentile(f.cold_first_byte, 0.999)) << " |\n";
  };
  std::cout << "| customer | sent | served | wrongly refused | p50 ms | p99 ms "
               "| cold | cold p50 | cold p95 | cold p99 | cold p99.9 |\n"
               "|---|---|---|---|---|---|---|---|---|---|---|\n";
  std::ranges::for_each(
      this->customers | std::views::keys,
      [&](const std::string& name) { row(name, this->FiguresOf(name)); });
  const RequestFigures all = this->FiguresOf("");
  row("all", all);
  std::ranges::for_each(all.refusals, [](const auto& refusal) {
    std::cout << "refused " << refusal.first << ": " << refusal.second << "\n";
  });
  Duration idle{};
  std::ranges::for_each(
      this->world.Targets() | std::views::values,
      [&](const auto& target) { idle += target->IdleTime(); });
  std::cout << "idle accelerator seconds: " << idle / std::chrono::seconds(1)
            << "\nlog records: " << this->world.log().History().size() << "\n";
}

}  // namespace cicadaloft::scenarios
