#include <algorithm>
#include <memory>

#include "entry_requests.h"

namespace cicadaloft {
namespace {

/// What both kinds of routes say of a call.
struct RouteTerms {
  const bool open_to_all = false;
  const std::vector<CustomerId>& customers;
  const bool is_method_allowed = true;
  const bool is_idempotent = true;
};

bool Contains(const std::vector<std::string>& methods,
              const std::string& method) {
  return std::ranges::find(methods, method) != methods.end();
}

std::optional<RouteTerms> TermsOf(const Config& config, const Call& call) {
  if (const auto* model = std::get_if<ModelCall>(&call)) {
    const auto* route = config.Find<ModelRoute>(model->model.value());
    if (route == nullptr) {
      return std::nullopt;
    }
    return RouteTerms{.open_to_all = route->open_to_all,
                      .customers = route->customers,
                      .is_idempotent = route->idempotent};
  }
  const auto& service = std::get<ServiceCall>(call);
  const auto* route = config.Find<PlainRoute>(service.route.value());
  if (route == nullptr) {
    return std::nullopt;
  }
  return RouteTerms{
      .open_to_all = route->open_to_all,
      .customers = route->customers,
      .is_method_allowed = Contains(route->methods, service.method),
      .is_idempotent = Contains(route->idempotent_methods, service.method)};
}

std::optional<CustomerId> CustomerOf(EntryCore& core,
                                     const std::string& credential,
                                     const std::optional<KeyId>& key) {
  if (!key.has_value()) {
    return std::nullopt;
  }
  const auto& keys = core.ledger.config().All<ApiKey>();
  const auto found = keys.find(key->value());
  if (found == keys.end()) {
    return std::nullopt;
  }
  const std::optional<CustomerId> customer =
      core.keys.Check(credential, found->second);
  const bool is_known =
      customer.has_value() &&
      core.ledger.config().Find<Customer>(customer->value()) != nullptr;
  return is_known ? customer : std::nullopt;
}

}  // namespace

Result<Permission> Authorize(EntryCore& core, const RequestArrived& arrived) {
  const std::optional<KeyId> key = KeyIdOf(arrived.credential);
  const std::optional<CustomerId> customer =
      CustomerOf(core, arrived.credential, key);
  const std::optional<RouteTerms> terms =
      TermsOf(core.ledger.config(), arrived.call);
  const bool is_open = terms.has_value() && terms->open_to_all;
  if (!customer.has_value() && !is_open) {
    return Fail(ErrorKind::kUnauthenticated, "a valid key was expected");
  }
  if (!terms.has_value()) {
    return Fail(ErrorKind::kUnknownRoute, "no such model or service");
  }
  const bool is_listed =
      terms->customers.empty() ||
      (customer.has_value() && std::ranges::find(terms->customers, *customer) !=
                                   terms->customers.end());
  if (!is_open && !is_listed) {
    return Fail(ErrorKind::kForbidden, "the route is not open to the customer");
  }
  if (!terms->is_method_allowed) {
    return Fail(ErrorKind::kMethodNotAllowed, "the route has not this method");
  }
  return Permission{.customer = customer,
                    .key = customer.has_value() ? key : std::nullopt,
                    .is_idempotent = terms->is_idempotent};
}

}  // namespace cicadaloft
