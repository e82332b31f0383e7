#include <algorithm>
#include <sstream>
#include <type_traits>

#include "cicadaloft/core/result.h"
#include "cicadaloft/core/sha256.h"
#include "cicadaloft/tickets/config.h"

namespace cicadaloft {
namespace {

/// Writes fields one after another, each with its length, so that no two
/// tickets write the same text.
class FieldWriter {
 public:
  FieldWriter& Add(const std::string& text) {
    this->out << text.size() << ':' << text;
    return *this;
  }
  FieldWriter& Add(double number) {
    this->out << std::hexfloat << number << ';';
    return *this;
  }
  FieldWriter& Add(std::uint64_t number) {
    this->out << number << ';';
    return *this;
  }
  template <typename Tag>
  FieldWriter& Add(const Id<Tag>& id) {
    return this->Add(id.value());
  }
  template <typename T>
  FieldWriter& Add(const std::vector<T>& values) {
    this->Add(std::uint64_t{values.size()});
    std::ranges::for_each(values, [this](const T& value) { this->Add(value); });
    return *this;
  }

  std::string Text() const { return this->out.str(); }

 private:
  std::ostringstream out;
};

std::uint64_t NumberOf(auto value) {
  return static_cast<std::uint64_t>(value);
}

void AddItem(FieldWriter& writer, const Item& item) {
  writer.Add(std::uint64_t{item.index()});
  std::visit(
      Overloaded{
          [&](const DataCentre& v) {
            writer.Add(v.id).Add(v.region).Add(NumberOf(v.state));
            writer.Add(NumberOf(v.share_weight));
          },
          [&](const Customer& v) {
            writer.Add(v.id).Add(v.requests_per_second).Add(v.burst_requests);
            writer.Add(NumberOf(v.weight));
          },
          [&](const ApiKey& v) {
            writer.Add(v.id).Add(v.customer).Add(v.salt).Add(v.secret_hash);
          },
          [&](const BackEnd& v) {
            writer.Add(v.id).Add(NumberOf(v.kind));
            writer.Add(NumberOf(v.checks_fencing));
            writer.Add(NumberOf(v.store_concurrency));
            writer.Add(NumberOf(v.adapter_concurrency));
            writer.Add(NumberOf(v.initial_concurrency));
          },
          [&](const Target& v) {
            writer.Add(v.id).Add(v.back_end).Add(v.data_centre);
            writer.Add(v.address).Add(v.memory_mib);
            writer.Add(NumberOf(v.max_concurrency)).Add(NumberOf(v.draining));
          },
          [&](const ModelRoute& v) {
            writer.Add(v.model).Add(v.back_end);
            writer.Add(v.base.value_or(ModelId())).Add(v.memory_mib);
            writer.Add(NumberOf(v.max_replicas)).Add(NumberOf(v.open_to_all));
            writer.Add(NumberOf(v.idempotent)).Add(v.customers);
          },
          [&](const PlainRoute& v) {
            writer.Add(v.route).Add(v.back_end).Add(NumberOf(v.open_to_all));
            writer.Add(v.methods).Add(v.idempotent_methods).Add(v.customers);
          },
      },
      item);
}

}  // namespace

std::string DigestOf(const Ticket& ticket) {
  FieldWriter writer;
  writer.Add(ticket.number.value()).Add(ticket.author).Add(ticket.reason);
  std::ranges::for_each(ticket.items,
                        [&](const Item& item) { AddItem(writer, item); });
  writer.Add(std::uint64_t{ticket.removed.size()});
  std::ranges::for_each(ticket.removed, [&](const ItemRef& ref) {
    writer.Add(NumberOf(ref.kind)).Add(ref.name);
  });
  return Sha256Hex(writer.Text());
}

}  // namespace cicadaloft
