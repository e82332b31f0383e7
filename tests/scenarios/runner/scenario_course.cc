// What the lines of a scenario describe and do.

#include <algorithm>
#include <iterator>
#include <ranges>
#include <sstream>
#include <stdexcept>

#include "cicadaloft/core/sha256.h"
#include "scenarios/runner/scenario.h"

namespace cicadaloft::scenarios {
namespace {

constexpr const char* kSalt = "00";
constexpr const char* kSecret = "secret";

std::vector<std::string> SplitByComma(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  std::string part;
  while (std::getline(in, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

std::uint32_t Count(const ScriptLine& line, const char* name, double fallback) {
  return static_cast<std::uint32_t>(line.Number(name, fallback));
}

Target WithDraining(const Target& target, bool draining) {
  return Target{.id = target.id,
                .back_end = target.back_end,
                .data_centre = target.data_centre,
                .address = target.address,
                .memory_mib = target.memory_mib,
                .max_concurrency = target.max_concurrency,
                .draining = draining};
}

Customer MakeCustomer(const ScriptLine& line) {
  return Customer{.id = CustomerId(line.Word(0)),
                  .requests_per_second = line.Number("rate", 10),
                  .burst_requests = line.Number("burst", 10),
                  .weight = Count(line, "weight", 1)};
}

ApiKey MakeKey(const std::string& id, const std::string& customer) {
  return ApiKey{.id = KeyId(id),
                .customer = CustomerId(customer),
                .salt = kSalt,
                .secret_hash = Sha256Hex(std::string(kSalt) + kSecret)};
}

}  // namespace

void Scenario::Describe(const ScriptLine& line) {
  const std::string& verb = line.verb();
  if (verb == "datacentre") {
    const DataCentre item{.id = DataCentreId(line.Word(0)),
                          .region = RegionId(line.Text("region", "region")),
                          .share_weight = Count(line, "weight", 1)};
    this->data_centres.emplace(line.Word(0), item);
    this->first_items.emplace_back(item);
  } else if (verb == "host") {
    this->world.AddHost(HostId(line.Word(0)),
                        DataCentreId(line.Text("dc", "")));
  } else if (verb == "backend") {
    const BackEnd item{.id = BackEndId(line.Word(0)),
                       .kind = line.Text("kind", "model") == "model"
                                   ? BackEndKind::kModel
                                   : BackEndKind::kPlain,
                       .checks_fencing = line.Flag("fencing", true),
                       .store_concurrency = Count(line, "store", 4),
                       .adapter_concurrency = Count(line, "adapters", 30),
                       .initial_concurrency = Count(line, "initial", 2)};
    this->back_ends.emplace(line.Word(0), item);
    this->first_items.emplace_back(item);
  } else if (verb == "target") {
    this->DescribeTargets(line);
  } else if (verb == "model") {
    this->DescribeModels(line);
  } else if (verb == "service") {
    this->first_items.emplace_back(PlainRoute{
        .route = RouteId(line.Word(0)),
        .back_end = BackEndId(line.Text("backend", "")),
        .open_to_all = line.Flag("open", false),
        .methods = SplitByComma(line.Text("methods", "GET,POST")),
        .idempotent_methods = SplitByComma(line.Text("idempotent", "GET"))});
  } else if (verb == "customer") {
    const Customer item = MakeCustomer(line);
    this->customers.emplace(line.Word(0), item);
    this->load.SetCustomer(item);
    this->first_items.emplace_back(item);
    this->first_items.emplace_back(MakeKey(line.Word(0), line.Word(0)));
  } else {
    throw std::runtime_error("line " + std::to_string(line.number()) +
                             ": unknown word '" + verb + "'");
  }
}

void Scenario::DescribeTargets(const ScriptLine& line) {
  const std::uint32_t count = Count(line, "count", 1);
  const BackEnd& back_end = this->back_ends.at(line.Text("backend", ""));
  for (std::uint32_t i = 0; i < count; ++i) {
    const std::string name =
        count == 1 ? line.Word(0) : line.Word(0) + "-" + std::to_string(i + 1);
    const Target item{
        .id = TargetId(name),
        .back_end = back_end.id,
        .data_centre = DataCentreId(line.Text("dc", "")),
        .address = name + ":80",
        .memory_mib = static_cast<std::uint64_t>(line.Number("memory", 1000)),
        .max_concurrency = Count(line, "concurrency", 8)};
    this->target_items.emplace(name, item);
    this->first_items.emplace_back(item);
    this->world.AddTarget(item, back_end,
                          line.Time("load", std::chrono::milliseconds(300)));
  }
}

void Scenario::DescribeModels(const ScriptLine& line) {
  const std::uint32_t count = Count(line, "count", 1);
  const std::vector<std::string> bases = SplitByComma(line.Text("base", ""));
  for (std::uint32_t i = 0; i < count; ++i) {
    const std::string name =
        count == 1 ? line.Word(0) : line.Word(0) + "-" + std::to_string(i + 1);
    const std::optional<ModelId> base =
        bases.empty() ? std::nullopt
                      : std::optional(ModelId(bases[i % bases.size()]));
    this->models.push_back(name);
    this->first_items.emplace_back(ModelRoute{
        .model = ModelId(name),
        .back_end = BackEndId(line.Text("backend", "")),
        .base = base,
        .memory_mib = static_cast<std::uint64_t>(line.Number("memory", 200)),
        .max_replicas = Count(line, "replicas", 1),
        .open_to_all = line.Flag("open", false),
        .idempotent = line.Flag("idempotent", true)});
  }
}

void Scenario::Perform(const ScriptLine& line) {
  const std::string& verb = line.verb();
  if (verb == "load") {
    this->BeginLoad(line);
  } else if (verb == "outage") {
    this->world.log().SetOutage(line.Word(0) == "on");
  } else if (verb == "slow") {
    this->world.log().SetSlowness(line.Time("by", Duration{}));
  } else if (verb == "lose-answers") {
    this->world.log().LoseAppendAnswers(std::stoi(line.Word(0)));
  } else if (verb == "keep-records") {
    this->world.log().KeepRecords(
        static_cast<std::size_t>(std::stoul(line.Word(0))));
  } else if (verb == "cut" || verb == "heal") {
    this->PerformCut(line, verb == "cut");
  } else if (verb == "ticket") {
    this->PerformTicket(line);
  } else if (verb == "random-faults") {
    this->PerformRandomFaults(line);
  } else if (verb.starts_with("target-")) {
    this->PerformOnTarget(line);
  } else {
    this->PerformOnHosts(line);
  }
}

void Scenario::PerformCut(const ScriptLine& line, bool is_cut) {
  const auto apply = [&](const std::string& from, const std::string& to) {
    if (is_cut) {
      this->world.Cut(from, to);
    } else {
      this->world.Heal(from, to);
    }
  };
  apply(line.Word(0), line.Word(1));
  if (!line.Flag("one-way", false)) {
    apply(line.Word(1), line.Word(0));
  }
}

void Scenario::PerformOnHosts(const ScriptLine& line) {
  const std::string& verb = line.verb();
  std::ranges::for_each(
      this->world.HostsOf(line.Word(0)), [&](const HostId& host) {
        if (verb == "kill") {
          this->world.Kill(host);
        } else if (verb == "start") {
          this->world.Start(host);
        } else if (verb == "freeze") {
          this->world.Freeze(host);
        } else if (verb == "resume") {
          this->world.Resume(host);
        } else if (verb == "stop") {
          this->world.Stop(host);
        } else if (verb == "unlist" || verb == "list") {
          this->world.SetListed(host, verb == "list");
        } else {
          throw std::runtime_error("line " + std::to_string(line.number()) +
                                   ": unknown word '" + verb + "'");
        }
      });
}

void Scenario::PerformOnTarget(const ScriptLine& line) {
  FakeTarget& target = this->world.TargetOf(TargetId(line.Word(0)));
  if (line.verb() == "target-crash") {
    target.Crash();
  } else if (line.verb() == "target-kill") {
    target.SetDead(true);
  } else if (line.verb() == "target-start") {
    target.SetDead(false);
  } else if (line.verb() == "target-slow") {
    target.SetSlowness(std::stod(line.Word(1)));
  } else if (line.verb() == "target-lose-answers") {
    target.LoseOrderAnswers(std::stoi(line.Word(1)));
  } else {
    throw std::runtime_error("line " + std::to_string(line.number()) +
                             ": unknown word '" + line.verb() + "'");
  }
}

void Scenario::PerformTicket(const ScriptLine& line) {
  const std::string& what = line.Word(0);
  const std::string& name = line.Word(1);
  if (what == "out" || what == "back") {
    const DataCentre& before = this->data_centres.at(name);
    this->Submit(
        {DataCentre{.id = before.id,
                    .region = before.region,
                    .state = what == "out" ? DataCentreState::kOut
                                           : DataCentreState::kInService,
                    .share_weight = before.share_weight}},
        {}, line);
  } else if (what == "drain" || what == "undrain") {
    this->Submit({WithDraining(this->target_items.at(name), what == "drain")},
                 {}, line);
  } else if (what == "withdraw") {
    this->Submit({}, {ItemRef{.kind = ItemKind::kKey, .name = name}}, line);
  } else if (what == "key") {
    this->Submit({MakeKey(name, line.Text("customer", name))}, {}, line);
  } else if (what == "rate") {
    const Customer item{.id = CustomerId(name),
                        .requests_per_second = line.Number("rate", 10),
                        .burst_requests = line.Number("burst", 10),
                        .weight = Count(line, "weight", 1)};
    this->load.SetCustomer(item);
    this->Submit({item}, {}, line);
  } else {
    throw std::runtime_error("line " + std::to_string(line.number()) +
                             ": unknown ticket '" + what + "'");
  }
}

void Scenario::BeginLoad(const ScriptLine& line) {
  LoadPlan plan;
  const std::string customer = line.Text("customer", "");
  plan.customer = CustomerId(customer);
  plan.key = KeyId(line.Text("key", customer));
  const std::string named = line.Text("model", "");
  if (named == "*") {
    plan.models = this->models;
  } else {
    plan.models = SplitByComma(named);
  }
  plan.service = line.Text("service", "");
  plan.method = line.Text("method", "POST");
  plan.rate = line.Number("rate", 1);
  plan.skew = line.Number("skew", 1);
  plan.length = line.Time("for", std::chrono::seconds(1));
  plan.timeout = line.Time("timeout", plan.timeout);
  plan.work = line.Time("work", plan.work);
  plan.request_class = line.Text("class", "interactive") == "batch"
                           ? RequestClass::kBatch
                           : RequestClass::kInteractive;
  plan.hosts = line.Has("hosts") ? std::set<HostId>() : this->world.Hosts();
  std::ranges::for_each(SplitByComma(line.Text("hosts", "")),
                        [&](const std::string& name) {
                          plan.hosts.merge(this->world.HostsOf(name));
                        });
  plan.is_idempotent = line.Flag("idempotent", plan.service.empty());
  plan.with_key = line.Flag("with-key", false);
  plan.is_poison = line.Flag("poison", false);
  plan.resends = static_cast<int>(line.Number("resends", 0));
  plan.cost_tokens = line.Number("cost", 100);
  this->load.Begin(plan);
}

/// Plans faults at random times: `at T random-faults for=30s every=2s`.
void Scenario::PerformRandomFaults(const ScriptLine& line) {
  const Duration length = line.Time("for", std::chrono::seconds(30));
  const Duration every = line.Time("every", std::chrono::seconds(2));
  const Duration lasts = line.Time("lasts", std::chrono::seconds(3));
  const std::set<HostId> all = this->world.Hosts();
  const std::vector<HostId> hosts(all.begin(), all.end());
  std::vector<std::string> centres;
  std::ranges::copy(this->data_centres | std::views::keys,
                    std::back_inserter(centres));
  auto& random = this->world.random();
  for (Duration at{}; at < length; at += every) {
    const HostId& host = hosts[random() % hosts.size()];
    const std::string& centre = centres[random() % centres.size()];
    const std::string& other = centres[random() % centres.size()];
    const Duration end = at + lasts / 2 + Duration(random() % lasts.count());
    auto target = this->target_items.begin();
    std::advance(target, random() % this->target_items.size());
    const TargetId target_id(target->first);
    constexpr int kKinds = 8;
    auto& time = this->world.time();
    switch (random() % kKinds) {
      case 0:
        time.After(at, [this, host] { this->world.Kill(host); });
        time.After(end, [this, host] { this->world.Start(host); });
        break;
      case 1:
        time.After(at, [this, host] { this->world.Freeze(host); });
        time.After(end, [this, host] { this->world.Resume(host); });
        break;
      case 2:
        time.After(at, [this] { this->world.log().SetOutage(true); });
        time.After(end, [this] { this->world.log().SetOutage(false); });
        break;
      case 3:
        time.After(at, [this, centre] { this->world.Cut(centre, "log"); });
        time.After(end, [this, centre] { this->world.Heal(centre, "log"); });
        break;
      case 4:
        time.After(at,
                   [this, centre, other] { this->world.Cut(centre, other); });
        time.After(end,
                   [this, centre, other] { this->world.Heal(centre, other); });
        break;
      case 5:
        time.After(at, [this] { this->world.log().LoseAppendAnswers(2); });
        break;
      case 6:
        time.After(
            at, [this, target_id] { this->world.TargetOf(target_id).Crash(); });
        break;
      default:
        time.After(at, [this, target_id] {
          this->world.TargetOf(target_id).LoseOrderAnswers(1);
        });
        break;
    }
  }
}

}  // namespace cicadaloft::scenarios
