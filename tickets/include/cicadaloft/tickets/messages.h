#ifndef CICADALOFT_TICKETS_MESSAGES_H_
#define CICADALOFT_TICKETS_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/core/id.h"

namespace cicadaloft {

enum class DataCentreState {
  kInService,
  kOut,  ///< Its hosts and targets get no new work.
};

struct DataCentre {
  const DataCentreId id;
  const RegionId region;
  const DataCentreState state = DataCentreState::kInService;
  const std::uint32_t share_weight = 1;  ///< Its part of every rate; >= 1.

  friend auto operator<=>(const DataCentre&, const DataCentre&) = default;
  friend bool operator==(const DataCentre&, const DataCentre&) = default;
};

struct Customer {
  const CustomerId id;
  const double requests_per_second = 0;  ///< Over all hosts together; > 0.
  const double burst_requests = 0;       ///< Over all hosts together; >= 1.
  const std::uint32_t weight = 1;        ///< Part in fair waiting; >= 1.

  friend auto operator<=>(const Customer&, const Customer&) = default;
  friend bool operator==(const Customer&, const Customer&) = default;
};

/// A caller's key. The secret itself is in no record.
struct ApiKey {
  const KeyId id;
  const CustomerId customer;
  const std::string salt;         ///< Hex.
  const std::string secret_hash;  ///< SHA-256 of salt + secret, hex.

  friend auto operator<=>(const ApiKey&, const ApiKey&) = default;
  friend bool operator==(const ApiKey&, const ApiKey&) = default;
};

enum class BackEndKind { kModel, kPlain };

/// A group of targets that can run the same models or the same service.
struct BackEnd {
  const BackEndId id;
  const BackEndKind kind = BackEndKind::kModel;
  const bool checks_fencing = true;  ///< Its targets refuse old tokens.
  /// Loads from the weight store at once, over all data centres, at full
  /// speed.
  const std::uint32_t store_concurrency = 4;
  /// Adapter loads at once, over all data centres, at full speed.
  const std::uint32_t adapter_concurrency = 30;
  /// Requests at once that a fresh target bears.
  const std::uint32_t initial_concurrency = 2;

  friend auto operator<=>(const BackEnd&, const BackEnd&) = default;
  friend bool operator==(const BackEnd&, const BackEnd&) = default;
};

struct Target {
  const TargetId id;
  const BackEndId back_end;
  const DataCentreId data_centre;
  const std::string address;  ///< "IP:port".
  const std::uint64_t memory_mib = 0;
  const std::uint32_t max_concurrency = 8;  ///< Requests at once, warmed up.
  const bool draining = false;              ///< Gets no new work.

  friend auto operator<=>(const Target&, const Target&) = default;
  friend bool operator==(const Target&, const Target&) = default;
};

/// A model or adapter that callers may name.
struct ModelRoute {
  const ModelId model;
  const BackEndId back_end;
  const std::optional<ModelId> base;  ///< Set for adapters.
  const std::uint64_t memory_mib = 0;
  const std::uint32_t max_replicas = 1;
  const bool open_to_all = false;  ///< Needs no key.
  const bool idempotent = true;
  const std::vector<CustomerId> customers;  ///< Empty: every customer.

  friend auto operator<=>(const ModelRoute&, const ModelRoute&) = default;
  friend bool operator==(const ModelRoute&, const ModelRoute&) = default;
};

/// A plain service beside the model engines.
struct PlainRoute {
  const RouteId route;
  const BackEndId back_end;
  const bool open_to_all = false;
  const std::vector<std::string> methods;             ///< Allowed ones.
  const std::vector<std::string> idempotent_methods;  ///< May be repeated.
  const std::vector<CustomerId> customers;            ///< Empty: every one.

  friend auto operator<=>(const PlainRoute&, const PlainRoute&) = default;
  friend bool operator==(const PlainRoute&, const PlainRoute&) = default;
};

using Item = std::variant<DataCentre,
                          Customer,
                          ApiKey,
                          BackEnd,
                          Target,
                          ModelRoute,
                          PlainRoute>;

/// In the order of Item's alternatives.
enum class ItemKind {
  kDataCentre,
  kCustomer,
  kKey,
  kBackEnd,
  kTarget,
  kModelRoute,
  kPlainRoute,
};

/// Names one item of the configuration.
struct ItemRef {
  const ItemKind kind;
  const std::string name;

  friend auto operator<=>(const ItemRef&, const ItemRef&) = default;
  friend bool operator==(const ItemRef&, const ItemRef&) = default;
};

/// A numbered change: the whole new state of each item it touches.
struct Ticket {
  const TicketNumber number;
  const std::string author;
  const std::string reason;
  const std::vector<Item> items;
  const std::vector<ItemRef> removed;

  friend auto operator<=>(const Ticket&, const Ticket&) = default;
  friend bool operator==(const Ticket&, const Ticket&) = default;
};

/// A ticket, as it stands in the log.
struct TicketRecord {
  const Ticket ticket;

  friend auto operator<=>(const TicketRecord&, const TicketRecord&) = default;
  friend bool operator==(const TicketRecord&, const TicketRecord&) = default;
};

/// @return the name under which the configuration holds `item`.
ItemRef RefOf(const Item& item);

}  // namespace cicadaloft

#endif  // CICADALOFT_TICKETS_MESSAGES_H_
