#ifndef CICADALOFT_TICKETS_CONFIG_H_
#define CICADALOFT_TICKETS_CONFIG_H_

#include <compare>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "cicadaloft/core/error_kind.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/tickets/messages.h"

namespace cicadaloft {

/// Items of one kind by name. Values are shared between configurations.
template <typename T>
using ItemMap = std::map<std::string, std::shared_ptr<const T>>;

/// What became of a ticket number; decided once.
struct TicketOutcome {
  const TicketNumber number;
  const LogOffset offset;              ///< Of the record that decided it.
  const std::string digest;            ///< Of the ticket's content.
  const std::optional<Error> refusal;  ///< None: accepted.
  const std::optional<TicketNumber> overtaken_by;  ///< Where a newer one won.

  bool accepted() const { return !this->refusal.has_value(); }

  friend auto operator<=>(const TicketOutcome&, const TicketOutcome&) = default;
  friend bool operator==(const TicketOutcome&, const TicketOutcome&) = default;
};

/// The configuration in force: the fold of all accepted tickets. It never
/// reverts, since an item only gives way to one of a higher ticket.
class Config {
 public:
  /// Outcomes that are kept; lower numbers than the kept ones are refused.
  static constexpr std::size_t kKeptOutcomes = 4096;

  Config() = default;
  /// Takes a configuration up again as a checkpoint holds it.
  Config(std::vector<Item> items,
         std::map<ItemRef, TicketNumber> versions,
         std::map<TicketNumber, TicketOutcome> outcomes,
         TicketNumber outcome_floor);

  /// @return the item of type T with this name, or null.
  template <typename T>
  const T* Find(const std::string& name) const {
    const ItemMap<T>& map = this->All<T>();
    const auto found = map.find(name);
    return found == map.end() ? nullptr : found->second.get();
  }

  template <typename T>
  const ItemMap<T>& All() const {
    return std::get<ItemMap<T>>(this->items);
  }

  /// @return the ticket that last set or removed the item.
  std::optional<TicketNumber> VersionOf(const ItemRef& ref) const;

  /// @return what became of the ticket, if it is known.
  const TicketOutcome* FindOutcome(TicketNumber number) const;

  const std::map<ItemRef, TicketNumber>& versions() const {
    return this->item_versions;
  }
  const std::map<TicketNumber, TicketOutcome>& outcomes() const {
    return this->ticket_outcomes;
  }
  /// Numbers up to this one were decided so long ago that they are refused.
  TicketNumber outcome_floor() const { return this->floor; }
  std::vector<Item> AllItems() const;

  /// Decides a ticket at its offset: takes all of it or nothing. A repeat of a
  /// decided ticket changes nothing.
  friend Config Apply(Config config, const Ticket& ticket, LogOffset offset);

  friend bool operator==(const Config& left, const Config& right);

 private:
  void Put(const Item& item);
  void Remove(const ItemRef& ref);

  std::tuple<ItemMap<DataCentre>,
             ItemMap<Customer>,
             ItemMap<ApiKey>,
             ItemMap<BackEnd>,
             ItemMap<Target>,
             ItemMap<ModelRoute>,
             ItemMap<PlainRoute>>
      items;
  std::map<ItemRef, TicketNumber> item_versions;
  std::map<TicketNumber, TicketOutcome> ticket_outcomes;
  TicketNumber floor;
};

Config Apply(Config config, const Ticket& ticket, LogOffset offset);

/// Why a ticket can't be accepted, and which newer ticket stands against it.
struct TicketRefusal {
  const Error error;
  const std::optional<TicketNumber> overtaken_by;

  friend auto operator<=>(const TicketRefusal&, const TicketRefusal&) = default;
  friend bool operator==(const TicketRefusal&, const TicketRefusal&) = default;
};

/// Checks a ticket against the configuration that it would change.
/// @return none if it would be accepted.
std::optional<TicketRefusal> CheckTicket(const Config& config,
                                         const Ticket& ticket);

/// Checks a ticket by itself: names, ranges, duplicates.
std::optional<Error> CheckTicketShape(const Ticket& ticket);

/// @return a digest of all that the ticket says.
std::string DigestOf(const Ticket& ticket);

/// A key as its caller sends it: "<key id>.<secret>".
/// @return the key's customer, or none for an unknown or withdrawn key.
std::optional<CustomerId> FindCustomerOfKey(const Config& config,
                                            const std::string& credential);

/// @return whether new work may go to `target`.
bool TakesNewWork(const Config& config, const Target& target);

}  // namespace cicadaloft

#endif  // CICADALOFT_TICKETS_CONFIG_H_
