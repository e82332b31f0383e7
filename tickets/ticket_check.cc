#include <algorithm>
#include <cctype>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <set>

#include "cicadaloft/core/result.h"
#include "cicadaloft/tickets/config.h"

namespace cicadaloft {
namespace {

constexpr std::size_t kMaxNameBytes = 200;
constexpr std::size_t kMaxTicketItems = 10000;
constexpr std::size_t kMaxReasonBytes = 2000;

std::optional<Error> Malformed(const ItemRef& ref, const std::string& what) {
  return Fail(ErrorKind::kTicketMalformed, "'" + ref.name + "': " + what);
}

bool IsName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::ranges::all_of(name, [](unsigned char c) {
           return std::isgraph(c) != 0 && c != '"' && c != '\\';
         });
}

bool IsPositive(double number) {
  return std::isfinite(number) && number > 0;
}

std::optional<Error> CheckShapeOf(const ItemRef& ref, const Item& item) {
  if (!IsName(ref.name)) {
    return Malformed(ref, "expected a name of 1 to 200 visible characters");
  }
  return std::visit(
      Overloaded{
          [&](const DataCentre& value) -> std::optional<Error> {
            if (value.region.empty()) {
              return Malformed(ref, "expected a region");
            }
            if (value.share_weight < 1) {
              return Malformed(ref, "expected share_weight of 1 or more");
            }
            return std::nullopt;
          },
          [&](const Customer& value) -> std::optional<Error> {
            if (!IsPositive(value.requests_per_second)) {
              return Malformed(ref, "expected requests_per_second above 0");
            }
            if (!IsPositive(value.burst_requests) || value.burst_requests < 1) {
              return Malformed(ref, "expected burst_requests of 1 or more");
            }
            if (value.weight < 1) {
              return Malformed(ref, "expected weight of 1 or more");
            }
            return std::nullopt;
          },
          [&](const ApiKey& value) -> std::optional<Error> {
            constexpr std::size_t kHashDigits = 64;
            if (ref.name.find('.') != std::string::npos) {
              return Malformed(ref, "expected a key id without a dot");
            }
            if (value.secret_hash.size() != kHashDigits || value.salt.empty()) {
              return Malformed(ref, "expected a salt and a SHA-256 in hex");
            }
            return std::nullopt;
          },
          [&](const BackEnd& value) -> std::optional<Error> {
            if (value.store_concurrency < 1 || value.adapter_concurrency < 1 ||
                value.initial_concurrency < 1) {
              return Malformed(ref, "expected concurrencies of 1 or more");
            }
            return std::nullopt;
          },
          [&](const Target& value) -> std::optional<Error> {
            if (value.address.find(':') == std::string::npos) {
              return Malformed(ref, "expected an address as IP:port");
            }
            if (value.max_concurrency < 1) {
              return Malformed(ref, "expected max_concurrency of 1 or more");
            }
            return std::nullopt;
          },
          [&](const ModelRoute& value) -> std::optional<Error> {
            if (value.memory_mib < 1) {
              return Malformed(ref, "expected memory_mib of 1 or more");
            }
            if (value.max_replicas < 1) {
              return Malformed(ref, "expected max_replicas of 1 or more");
            }
            return std::nullopt;
          },
          [&](const PlainRoute& value) -> std::optional<Error> {
            if (value.methods.empty()) {
              return Malformed(ref, "expected at least one method");
            }
            return std::nullopt;
          },
      },
      item);
}

/// The configuration as it would stand after a ticket.
class ConfigAfter {
 public:
  ConfigAfter(const Config& config, const Ticket& ticket)
      : config(config), ticket(ticket) {}

  template <typename T>
  const T* Find(const std::string& name) const {
    const auto named = [&](const Item& item) {
      return std::holds_alternative<T>(item) && RefOf(item).name == name;
    };
    const auto set = std::ranges::find_if(this->ticket.items, named);
    if (set != this->ticket.items.end()) {
      return &std::get<T>(*set);
    }
    static const auto kKind =
        static_cast<ItemKind>(Item(std::in_place_type<T>).index());
    const auto removed = [&](const ItemRef& ref) {
      return ref.name == name && ref.kind == kKind;
    };
    if (std::ranges::any_of(this->ticket.removed, removed)) {
      return nullptr;
    }
    return this->config.Find<T>(name);
  }

  bool HasAll(const std::vector<CustomerId>& customers) const {
    return std::ranges::all_of(customers, [this](const CustomerId& id) {
      return this->Find<Customer>(id.value()) != nullptr;
    });
  }

  bool HasBackEnd(const BackEndId& id, BackEndKind kind) const {
    const auto* back_end = this->Find<BackEnd>(id.value());
    return back_end != nullptr && back_end->kind == kind;
  }

 private:
  const Config& config;
  const Ticket& ticket;
};

std::optional<Error> CheckReferencesOf(const ConfigAfter& after,
                                       const Item& item) {
  const std::string name = RefOf(item).name;
  const auto dangling = [&](const std::string& what) {
    return std::optional<Error>(
        Fail(ErrorKind::kTicketDangling, "'" + name + "' " + what));
  };
  return std::visit(
      Overloaded{
          [&](const ApiKey& value) -> std::optional<Error> {
            return after.Find<Customer>(value.customer.value()) != nullptr
                       ? std::nullopt
                       : dangling("names an unknown customer");
          },
          [&](const Target& value) -> std::optional<Error> {
            if (after.Find<BackEnd>(value.back_end.value()) == nullptr) {
              return dangling("names an unknown back end");
            }
            return after.Find<DataCentre>(value.data_centre.value()) != nullptr
                       ? std::nullopt
                       : dangling("names an unknown data centre");
          },
          [&](const ModelRoute& value) -> std::optional<Error> {
            if (!after.HasBackEnd(value.back_end, BackEndKind::kModel)) {
              return dangling("names no back end of kind model");
            }
            if (!after.HasAll(value.customers)) {
              return dangling("names an unknown customer");
            }
            if (!value.base.has_value()) {
              return std::nullopt;
            }
            const auto* base = after.Find<ModelRoute>(value.base->value());
            const bool fits = base != nullptr && !base->base.has_value() &&
                              base->back_end == value.back_end;
            return fits ? std::nullopt
                        : dangling("names no base model of its back end");
          },
          [&](const PlainRoute& value) -> std::optional<Error> {
            if (!after.HasBackEnd(value.back_end, BackEndKind::kPlain)) {
              return dangling("names no back end of kind plain");
            }
            return after.HasAll(value.customers)
                       ? std::nullopt
                       : dangling("names an unknown customer");
          },
          [](const auto&) -> std::optional<Error> { return std::nullopt; },
      },
      item);
}

std::optional<Error> CheckReferences(const Config& config,
                                     const Ticket& ticket) {
  const ConfigAfter after(config, ticket);
  const auto check_all = [&](const auto& items) {
    std::optional<Error> error;
    std::ranges::find_if(items, [&](const Item& item) {
      if (std::optional<Error> found = CheckReferencesOf(after, item)) {
        error.emplace(*found);
      }
      return error.has_value();
    });
    return error;
  };
  if (auto error = check_all(ticket.items)) {
    return error;
  }
  // Items that stay may refer to what the ticket removes or changes in kind.
  std::set<ItemRef> touched(ticket.removed.begin(), ticket.removed.end());
  std::ranges::transform(ticket.items, std::inserter(touched, touched.end()),
                         RefOf);
  std::vector<Item> staying;
  std::ranges::copy_if(
      config.AllItems(), std::back_inserter(staying),
      [&](const Item& item) { return !touched.contains(RefOf(item)); });
  return check_all(staying);
}

}  // namespace

std::optional<Error> CheckTicketShape(const Ticket& ticket) {
  const auto malformed = [](const std::string& what) {
    return std::optional<Error>(Fail(ErrorKind::kTicketMalformed, what));
  };
  if (ticket.number.value() == 0) {
    return malformed("expected a ticket number of 1 or more");
  }
  if (ticket.author.empty() || ticket.author.size() > kMaxNameBytes) {
    return malformed("expected an author of 1 to 200 characters");
  }
  if (ticket.reason.size() > kMaxReasonBytes) {
    return malformed("expected a reason of at most 2000 characters");
  }
  const std::size_t touched = ticket.items.size() + ticket.removed.size();
  if (touched == 0 || touched > kMaxTicketItems) {
    return malformed("expected 1 to 10000 items");
  }
  std::set<ItemRef> seen(ticket.removed.begin(), ticket.removed.end());
  if (seen.size() != ticket.removed.size()) {
    return malformed("an item is removed twice");
  }
  std::optional<Error> error;
  std::ranges::find_if(ticket.items, [&](const Item& item) {
    const ItemRef ref = RefOf(item);
    if (!seen.insert(ref).second) {
      error.emplace(Fail(ErrorKind::kTicketMalformed,
                         "'" + ref.name + "' is named twice"));
    } else if (std::optional<Error> found = CheckShapeOf(ref, item)) {
      error.emplace(*found);
    }
    return error.has_value();
  });
  return error;
}

std::optional<TicketRefusal> CheckTicket(const Config& config,
                                         const Ticket& ticket) {
  const auto refuse = [](const Error& error,
                         std::optional<TicketNumber> overtaken_by) {
    return std::optional<TicketRefusal>(
        TicketRefusal{.error = error, .overtaken_by = overtaken_by});
  };
  if (const std::optional<Error> error = CheckTicketShape(ticket)) {
    return refuse(*error, std::nullopt);
  }
  if (const TicketOutcome* outcome = config.FindOutcome(ticket.number);
      outcome != nullptr || ticket.number <= config.outcome_floor()) {
    return refuse(Fail(ErrorKind::kTicketOvertaken,
                       "the ticket's number has been used before"),
                  ticket.number);
  }
  std::optional<TicketNumber> newest;
  const auto look_at = [&](const ItemRef& ref) {
    const std::optional<TicketNumber> version = config.VersionOf(ref);
    newest = std::max(newest, version);
  };
  std::ranges::for_each(ticket.items, look_at, RefOf);
  std::ranges::for_each(ticket.removed, look_at);
  if (newest.has_value() && *newest >= ticket.number) {
    return refuse(Fail(ErrorKind::kTicketOvertaken,
                       "ticket " + std::to_string(newest->value()) +
                           " has already set an item of this one"),
                  newest);
  }
  if (const std::optional<Error> error = CheckReferences(config, ticket)) {
    return refuse(*error, std::nullopt);
  }
  return std::nullopt;
}

}  // namespace cicadaloft
