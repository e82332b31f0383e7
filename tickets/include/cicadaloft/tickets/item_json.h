#ifndef CICADALOFT_TICKETS_ITEM_JSON_H_
#define CICADALOFT_TICKETS_ITEM_JSON_H_

#include <array>
#include <string_view>
#include <tuple>

#include "cicadaloft/codec/json_containers.h"
#include "cicadaloft/tickets/config.h"
#include "cicadaloft/tickets/messages.h"

namespace cicadaloft {

template <>
inline constexpr auto kJsonTokens<DataCentreState> =
    std::to_array<std::string_view>({"in_service", "out"});

template <>
inline constexpr auto kJsonTokens<BackEndKind> =
    std::to_array<std::string_view>({"model", "plain"});

template <>
inline constexpr auto kJsonTokens<ItemKind> = std::to_array<std::string_view>(
    {"data_centre", "customer", "key", "back_end", "target", "model_route",
     "plain_route"});

template <>
inline constexpr auto kJsonTokens<Item> = kJsonTokens<ItemKind>;

template <>
inline constexpr auto kJsonFields<DataCentre> =
    std::tuple(Required("id", &DataCentre::id),
               Required("region", &DataCentre::region),
               Defaulted("state", &DataCentre::state),
               Defaulted("share_weight", &DataCentre::share_weight));

template <>
inline constexpr auto kJsonFields<Customer> =
    std::tuple(Required("id", &Customer::id),
               Required("requests_per_second", &Customer::requests_per_second),
               Required("burst_requests", &Customer::burst_requests),
               Defaulted("weight", &Customer::weight));

template <>
inline constexpr auto kJsonFields<ApiKey> =
    std::tuple(Required("id", &ApiKey::id),
               Required("customer", &ApiKey::customer),
               Required("salt", &ApiKey::salt),
               Required("secret_hash", &ApiKey::secret_hash));

template <>
inline constexpr auto kJsonFields<BackEnd> =
    std::tuple(Required("id", &BackEnd::id),
               Defaulted("kind", &BackEnd::kind),
               Defaulted("checks_fencing", &BackEnd::checks_fencing),
               Defaulted("store_concurrency", &BackEnd::store_concurrency),
               Defaulted("adapter_concurrency", &BackEnd::adapter_concurrency),
               Defaulted("initial_concurrency", &BackEnd::initial_concurrency));

template <>
inline constexpr auto kJsonFields<Target> =
    std::tuple(Required("id", &Target::id),
               Required("back_end", &Target::back_end),
               Required("data_centre", &Target::data_centre),
               Required("address", &Target::address),
               Defaulted("memory_mib", &Target::memory_mib),
               Defaulted("max_concurrency", &Target::max_concurrency),
               Defaulted("draining", &Target::draining));

template <>
inline constexpr auto kJsonFields<ModelRoute> =
    std::tuple(Required("model", &ModelRoute::model),
               Required("back_end", &ModelRoute::back_end),
               Defaulted("base", &ModelRoute::base),
               Required("memory_mib", &ModelRoute::memory_mib),
               Defaulted("max_replicas", &ModelRoute::max_replicas),
               Defaulted("open_to_all", &ModelRoute::open_to_all),
               Defaulted("idempotent", &ModelRoute::idempotent),
               Defaulted("customers", &ModelRoute::customers));

template <>
inline constexpr auto kJsonFields<PlainRoute> =
    std::tuple(Required("route", &PlainRoute::route),
               Required("back_end", &PlainRoute::back_end),
               Defaulted("open_to_all", &PlainRoute::open_to_all),
               Required("methods", &PlainRoute::methods),
               Defaulted("idempotent_methods", &PlainRoute::idempotent_methods),
               Defaulted("customers", &PlainRoute::customers));

template <>
inline constexpr auto kJsonFields<ItemRef> =
    std::tuple(Required("kind", &ItemRef::kind),
               Required("name", &ItemRef::name));

/// As in the log, where the items keep their order.
template <>
inline constexpr auto kJsonFields<Ticket> =
    std::tuple(Required("ticket", &Ticket::number),
               Required("author", &Ticket::author),
               Required("reason", &Ticket::reason),
               Required("items", &Ticket::items),
               Required("removed", &Ticket::removed));

template <>
inline constexpr auto kJsonFields<TicketRecord> =
    std::tuple(Required("ticket", &TicketRecord::ticket));

template <>
inline constexpr auto kJsonFields<Error> =
    std::tuple(Required("kind", &Error::kind),
               Required("message", &Error::message));

template <>
inline constexpr auto kJsonFields<TicketOutcome> =
    std::tuple(Required("ticket", &TicketOutcome::number),
               Required("offset", &TicketOutcome::offset),
               Required("digest", &TicketOutcome::digest),
               Defaulted("refusal", &TicketOutcome::refusal),
               Defaulted("overtaken_by", &TicketOutcome::overtaken_by));

/// The whole state, as checkpoints hold it.
template <>
struct JsonCodec<Config> {
  static Json Encode(const Config& config);
  static Config Decode(const Json& json, JsonReader& reader);
};

}  // namespace cicadaloft

#endif  // CICADALOFT_TICKETS_ITEM_JSON_H_
