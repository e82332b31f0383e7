// Stand-in for a plain service that counts its runs. See docs/PROTOCOLS.md.

#include <docopt/docopt.h>

#include "fakes/fake_http.h"

namespace cicadaloft::fakes {
namespace {

constexpr char kUsage[] = R"(Stand-in for a plain service.

Usage:
  fake_service [--listen ADDRESS]

Options:
  --listen ADDRESS  IP:port; port 0 lets the kernel choose
                    [default: 127.0.0.1:0].
)";

class Service {
 public:
  asio::awaitable<void> operator()(Exchange& exchange) {
    const std::string path = exchange.Path();
    if (path == "/seen") {
      co_await exchange.Answer(200, Object("runs", this->runs));
    } else if (path == "/admin/faults") {
      this->SetFaults(exchange.Body());
      co_await exchange.Answer(204, nullptr);
    } else {
      co_await this->Run(exchange, path);
    }
  }

 private:
  asio::awaitable<void> Run(Exchange& exchange, std::string path) {
    this->runs.push_back(Object(
        "method", std::string(exchange.request().method_string()), "path", path,
        "request_id", exchange.Header("X-Request-Id"), "idempotency_key",
        exchange.Header("Idempotency-Key"), "headers", exchange.Headers()));
    if (this->slow_ms > 0) {
      co_await Sleep(std::chrono::milliseconds(this->slow_ms));
    }
    if (this->close_after_run > 0) {
      --this->close_after_run;
      exchange.Abort();
      co_return;
    }
    if (this->truncate_next > 0) {
      --this->truncate_next;
      co_await exchange.Write(
          "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\npart");
      exchange.Abort();
      co_return;
    }
    co_await exchange.Answer(200, Object("run", this->runs.size(), "path", path,
                                         "echo", exchange.request().body()));
  }

  void SetFaults(const Json& faults) {
    this->slow_ms = faults.value("slow_ms", this->slow_ms);
    this->truncate_next = faults.value("truncate_next", this->truncate_next);
    this->close_after_run =
        faults.value("close_after_run", this->close_after_run);
  }

  Json runs = Json::array();
  int slow_ms = 0;
  int truncate_next = 0;
  int close_after_run = 0;
};

}  // namespace
}  // namespace cicadaloft::fakes

int main(int argc, char** argv) {
  auto arguments =
      docopt::docopt(cicadaloft::fakes::kUsage, {argv + 1, argv + argc}, true);
  boost::asio::io_context context;
  cicadaloft::fakes::Service service;
  cicadaloft::fakes::Serve(context, arguments["--listen"].asString(), service);
}
