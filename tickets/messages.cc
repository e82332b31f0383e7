#include "cicadaloft/tickets/messages.h"

#include "cicadaloft/core/result.h"

namespace cicadaloft {

ItemRef RefOf(const Item& item) {
  const auto kind = static_cast<ItemKind>(item.index());
  return std::visit(
      Overloaded{
          [&](const ModelRoute& route) {
            return ItemRef{.kind = kind, .name = route.model.value()};
          },
          [&](const PlainRoute& route) {
            return ItemRef{.kind = kind, .name = route.route.value()};
          },
          [&](const auto& other) {
            return ItemRef{.kind = kind, .name = other.id.value()};
          },
      },
      item);
}

}  // namespace cicadaloft
