#include "entry_core.h"

namespace cicadaloft {

PathKey PathKeyOf(const Call& call) {
  if (const auto* model = std::get_if<ModelCall>(&call)) {
    return model->model;
  }
  return std::get<ServiceCall>(call).route;
}

void EntryCore::Log(std::string_view reason,
                    const RequestId& request,
                    std::string detail) {
  this->Emit(DecisionLine{.reason = std::string(reason),
                          .request = request,
                          .detail = std::move(detail)});
}

void EntryCore::Send(const HostId& to, LinkMessage message) {
  this->Emit(SendLink{.envelope = Envelope{.from = this->settings.host,
                                           .to = to,
                                           .message = std::move(message)}});
}

}  // namespace cicadaloft
