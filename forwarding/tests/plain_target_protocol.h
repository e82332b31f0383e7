#ifndef CICADALOFT_FORWARDING_TESTS_PLAIN_TARGET_PROTOCOL_H_
#define CICADALOFT_FORWARDING_TESTS_PLAIN_TARGET_PROTOCOL_H_

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "cicadaloft/forwarding/header_rules.h"
#include "cicadaloft/forwarding/protocols.h"

namespace cicadaloft {

/// The request path for which PlainTargetProtocol fails.
inline constexpr char kFaultyPath[] = "/faulty";
/// The request path that PlainTargetProtocol can't send over another host.
inline constexpr char kUnforwardablePath[] = "/here";

/// Plain HTTP with header fields that report what happened to a request.
struct PlainTargetProtocol {
  static std::string FormatRequestHead(const CallerRequest& request,
                                       const Dispatch& dispatch,
                                       Duration) {
    if (request.path.ends_with(kFaultyPath)) {
      throw std::runtime_error("no request head");
    }
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
    text += "Host: " + dispatch.address + "\r\n";
    for (const HeaderField& field : request.fields) {
      text += field.name + ": " + field.value + "\r\n";
    }
    text += "X-Request-Id: " + request.arrival.request.value() + "\r\n";
    if (!request.body.empty()) {
      text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n";
  }

  static std::optional<std::string> FormatForwardedHead(
      const CallerRequest& request,
      const Dispatch& dispatch,
      const DetourHost& self,
      Duration) {
    if (request.path.ends_with(kUnforwardablePath)) {
      return std::nullopt;
    }
    return request.method + " " + request.path +
           " HTTP/1.1\r\nX-From: " + self.host.value() +
           "\r\nX-Configuration: " +
           std::to_string(dispatch.configuration.value()) +
           "\r\nContent-Length: " + std::to_string(request.body.size()) +
           "\r\n\r\n";
  }

  static std::string FormatProbe(const ProbeTarget& probe) {
    return "GET /probe HTTP/1.1\r\nHost: " + probe.address + "\r\n\r\n";
  }

  static ResponseMetadata ParseResponseMetadata(
      const CallerRequest&,
      const Dispatch&,
      int,
      const std::vector<HeaderField>& fields) {
    const auto has = [&](std::string_view name) {
      return FindField(fields, name) != nullptr;
    };
    return ResponseMetadata{.matches_request = !has("X-Stale"),
                            .names_request = !has("X-Nameless"),
                            .is_stamped = !has("X-Unstamped"),
                            .was_not_run = has("X-Not-Run"),
                            .is_outdated = has("X-Outdated"),
                            .host_configuration = StatedConfiguration(fields),
                            .is_misdirected = has("X-Not-Loaded"),
                            .is_other_instance = has("X-Other-Instance")};
  }
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_TESTS_PLAIN_TARGET_PROTOCOL_H_
