#include "cicadaloft/tickets/ticket_codec.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "cicadaloft/tickets/item_json.h"

namespace cicadaloft {

/// A ticket as operators write it: its items in one list a kind.
struct TicketFile {
  const TicketNumber number;
  const std::string author;
  const std::string reason;
  const std::vector<DataCentre> data_centres;
  const std::vector<Customer> customers;
  const std::vector<ApiKey> keys;
  const std::vector<BackEnd> back_ends;
  const std::vector<Target> targets;
  const std::vector<ModelRoute> model_routes;
  const std::vector<PlainRoute> plain_routes;
  const std::vector<ItemRef> removed;
};

template <>
inline constexpr auto kJsonFields<TicketFile> =
    std::tuple(Required("ticket", &TicketFile::number),
               Required("author", &TicketFile::author),
               Required("reason", &TicketFile::reason),
               Defaulted("data_centres", &TicketFile::data_centres),
               Defaulted("customers", &TicketFile::customers),
               Defaulted("keys", &TicketFile::keys),
               Defaulted("back_ends", &TicketFile::back_ends),
               Defaulted("targets", &TicketFile::targets),
               Defaulted("model_routes", &TicketFile::model_routes),
               Defaulted("plain_routes", &TicketFile::plain_routes),
               Defaulted("removed", &TicketFile::removed));

namespace {

constexpr JsonLimits kTicketLimits{.max_bytes = std::size_t{8} << 20,
                                   .max_depth = 16,
                                   .max_values = 500'000};
constexpr int kIndent = 2;  ///< Spaces a level.

/// Lists of items in the order of Item's alternatives.
constexpr auto kItemLists = std::to_array<const char*>(
    {"data_centres", "customers", "keys", "back_ends", "targets",
     "model_routes", "plain_routes"});

std::vector<Item> ItemsOf(const TicketFile& file) {
  std::vector<Item> items;
  const auto append = [&](const auto&... lists) {
    (std::ranges::copy(lists, std::back_inserter(items)), ...);
  };
  append(file.data_centres, file.customers, file.keys, file.back_ends,
         file.targets, file.model_routes, file.plain_routes);
  return items;
}

/// @return the item's fields, without its kind.
Json FieldsOf(const Item& item) {
  return std::visit([](const auto& value) { return ToJson(value); }, item);
}

std::string Written(const Json& json) {
  return json.dump(kIndent) + "\n";
}

}  // namespace

Result<Ticket> ParseTicket(std::string_view text) {
  const Result<Json> json =
      ParseJson(text, kTicketLimits, JsonComments::kAllowed);
  if (!IsOk(json)) {
    return Fail(ErrorKind::kTicketMalformed, ErrorOf(json).message);
  }
  JsonReader reader;
  const auto file = FromJson<TicketFile>(ValueOf(json), reader);
  return reader.Finish(Ticket{.number = file.number,
                              .author = file.author,
                              .reason = file.reason,
                              .items = ItemsOf(file),
                              .removed = file.removed},
                       ErrorKind::kTicketMalformed);
}

std::string FormatTicket(const Ticket& ticket) {
  Json json = Json::object({{"ticket", ToJson(ticket.number)},
                            {"author", ToJson(ticket.author)},
                            {"reason", ToJson(ticket.reason)}});
  std::ranges::for_each(ticket.items, [&](const Item& item) {
    json[kItemLists.at(item.index())].push_back(FieldsOf(item));
  });
  if (!ticket.removed.empty()) {
    json["removed"] = ToJson(ticket.removed);
  }
  return Written(json);
}

std::string FormatConfig(const Config& config) {
  Json json = Json::object();
  std::ranges::for_each(kItemLists,
                        [&](const char* list) { json[list] = Json::array(); });
  std::ranges::for_each(config.AllItems(), [&](const Item& item) {
    Json fields = FieldsOf(item);
    fields.erase("salt");
    fields.erase("secret_hash");
    const auto version = config.VersionOf(RefOf(item));
    fields["ticket"] = version.value_or(TicketNumber()).value();
    json[kItemLists.at(item.index())].push_back(std::move(fields));
  });
  return Written(json);
}

std::string FormatOutcome(const TicketOutcome& outcome) {
  return Written(ToJson(outcome));
}

Result<TicketOutcome> ParseOutcome(std::string_view text) {
  const Result<Json> json =
      ParseJson(text, kTicketLimits, JsonComments::kRefused);
  if (!IsOk(json)) {
    return ErrorOf(json);
  }
  JsonReader reader;
  return reader.Finish(FromJson<TicketOutcome>(ValueOf(json), reader),
                       ErrorKind::kMalformedRequest);
}

}  // namespace cicadaloft
