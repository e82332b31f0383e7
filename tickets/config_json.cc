#include <algorithm>
#include <iterator>
#include <map>
#include <ranges>
#include <set>
#include <vector>

#include "cicadaloft/tickets/item_json.h"

namespace cicadaloft {

/// What a Config is made of.
struct ConfigParts {
  const std::vector<Item> items;
  const std::map<ItemRef, TicketNumber> versions;
  const std::vector<TicketOutcome> outcomes;
  const TicketNumber outcome_floor;
};

template <>
inline constexpr auto kJsonFields<ConfigParts> =
    std::tuple(Required("items", &ConfigParts::items),
               Required("versions", &ConfigParts::versions),
               Required("outcomes", &ConfigParts::outcomes),
               Required("outcome_floor", &ConfigParts::outcome_floor));

Json JsonCodec<Config>::Encode(const Config& config) {
  std::vector<TicketOutcome> outcomes;
  std::ranges::copy(config.outcomes() | std::views::values,
                    std::back_inserter(outcomes));
  return ToJson(ConfigParts{.items = config.AllItems(),
                            .versions = config.versions(),
                            .outcomes = std::move(outcomes),
                            .outcome_floor = config.outcome_floor()});
}

Config JsonCodec<Config>::Decode(const Json& json, JsonReader& reader) {
  const auto parts = FromJson<ConfigParts>(json, reader);
  std::set<ItemRef> names;
  std::ranges::transform(parts.items, std::inserter(names, names.end()), RefOf);
  std::map<TicketNumber, TicketOutcome> outcomes;
  std::ranges::for_each(parts.outcomes, [&](const TicketOutcome& outcome) {
    outcomes.emplace(outcome.number, outcome);
  });
  if (names.size() != parts.items.size() ||
      outcomes.size() != parts.outcomes.size()) {
    reader.Fail("expected each item and each outcome once");
  }
  return Config(parts.items, parts.versions, std::move(outcomes),
                parts.outcome_floor);
}

}  // namespace cicadaloft
