#include "cicadaloft/tickets/config.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "cicadaloft/core/result.h"
#include "cicadaloft/core/sha256.h"

namespace cicadaloft {
namespace {

template <typename T>
bool SameItems(const ItemMap<T>& left, const ItemMap<T>& right) {
  return std::ranges::equal(left, right, [](const auto& l, const auto& r) {
    return l.first == r.first && *l.second == *r.second;
  });
}

}  // namespace

Config::Config(std::vector<Item> items,
               std::map<ItemRef, TicketNumber> versions,
               std::map<TicketNumber, TicketOutcome> outcomes,
               TicketNumber outcome_floor)
    : item_versions(std::move(versions)),
      ticket_outcomes(std::move(outcomes)),
      floor(outcome_floor) {
  std::ranges::for_each(items, [this](const Item& item) { this->Put(item); });
}

std::optional<TicketNumber> Config::VersionOf(const ItemRef& ref) const {
  const auto found = this->item_versions.find(ref);
  if (found == this->item_versions.end()) {
    return std::nullopt;
  }
  return found->second;
}

const TicketOutcome* Config::FindOutcome(TicketNumber number) const {
  const auto found = this->ticket_outcomes.find(number);
  return found == this->ticket_outcomes.end() ? nullptr : &found->second;
}

std::vector<Item> Config::AllItems() const {
  std::vector<Item> all;
  std::apply(
      [&](const auto&... maps) {
        const auto append = [&](const auto& map) {
          std::ranges::transform(
              map, std::back_inserter(all),
              [](const auto& entry) { return Item(*entry.second); });
        };
        (append(maps), ...);
      },
      this->items);
  return all;
}

void Config::Put(const Item& item) {
  const std::string name = RefOf(item).name;
  std::visit(
      [&]<typename T>(const T& value) {
        std::get<ItemMap<T>>(this->items)
            .insert_or_assign(name, std::make_shared<const T>(value));
      },
      item);
}

void Config::Remove(const ItemRef& ref) {
  const auto erase = [&]<std::size_t I>() {
    if (static_cast<std::size_t>(ref.kind) == I) {
      std::get<I>(this->items).erase(ref.name);
    }
  };
  [&]<std::size_t... Is>(std::index_sequence<Is...>) {
    (erase.template operator()<Is>(), ...);
  }(std::make_index_sequence<std::variant_size_v<Item>>());
}

Config Apply(Config config, const Ticket& ticket, LogOffset offset) {
  if (ticket.number <= config.floor ||
      config.FindOutcome(ticket.number) != nullptr) {
    return config;
  }
  const std::optional<TicketRefusal> refusal = CheckTicket(config, ticket);
  if (!refusal.has_value()) {
    std::ranges::for_each(ticket.items, [&](const Item& item) {
      config.Put(item);
      config.item_versions.insert_or_assign(RefOf(item), ticket.number);
    });
    std::ranges::for_each(ticket.removed, [&](const ItemRef& ref) {
      config.Remove(ref);
      config.item_versions.insert_or_assign(ref, ticket.number);
    });
  }
  config.ticket_outcomes.emplace(
      ticket.number,
      TicketOutcome{.number = ticket.number,
                    .offset = offset,
                    .digest = DigestOf(ticket),
                    .refusal = refusal.has_value()
                                   ? std::optional(refusal->error)
                                   : std::nullopt,
                    .overtaken_by = refusal.has_value() ? refusal->overtaken_by
                                                        : std::nullopt});
  if (config.ticket_outcomes.size() > Config::kKeptOutcomes) {
    const auto oldest = config.ticket_outcomes.begin();
    config.floor = oldest->first;
    config.ticket_outcomes.erase(oldest);
  }
  return config;
}

bool operator==(const Config& left, const Config& right) {
  const auto same_items = [&]<std::size_t... Is>(std::index_sequence<Is...>) {
    return (SameItems(std::get<Is>(left.items), std::get<Is>(right.items)) &&
            ...);
  };
  return same_items(std::make_index_sequence<std::variant_size_v<Item>>()) &&
         left.item_versions == right.item_versions &&
         left.ticket_outcomes == right.ticket_outcomes &&
         left.floor == right.floor;
}

std::optional<CustomerId> FindCustomerOfKey(const Config& config,
                                            const std::string& credential) {
  const auto dot = credential.find('.');
  if (dot == std::string::npos) {
    return std::nullopt;
  }
  const auto* key = config.Find<ApiKey>(credential.substr(0, dot));
  if (key == nullptr) {
    return std::nullopt;
  }
  const std::string hash = Sha256Hex(key->salt + credential.substr(dot + 1));
  if (!EqualInConstantTime(hash, key->secret_hash)) {
    return std::nullopt;
  }
  return key->customer;
}

bool TakesNewWork(const Config& config, const Target& target) {
  const auto* data_centre = config.Find<DataCentre>(target.data_centre.value());
  return !target.draining && data_centre != nullptr &&
         data_centre->state == DataCentreState::kInService;
}

}  // namespace cicadaloft
