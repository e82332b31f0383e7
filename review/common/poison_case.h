#ifndef CICADALOFT_REVIEW_COMMON_POISON_CASE_H_
#define CICADALOFT_REVIEW_COMMON_POISON_CASE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "engine_runner.h"
#include "harness.h"

/// Clients that send prompts with a part that crashes runners and sound ones,
/// and the check of the rule BUDGET on them.
namespace review {

inline constexpr int kCrashesBeforeWindow = 5;
inline constexpr int kStabilityWindowMs = 3000;
inline constexpr int kAllowedRequests = 3;

inline constexpr char kEngineConfiguration[] = R"({
  "version": 1,
  "routes": [{"name": "chat", "hostname": "provador.example",
    "path_prefix": "/chat/", "route_kind": "streaming", "timeout_ms": 10000,
    "target_latency_ms": 250, "priority": 1, "service": "modelos",
    "max_attempts": 1, "gap_aim_ms": 200, "sticky": true}],
  "services": [{"name": "modelos", "max_connections": 360,
    "engine": {"weights_mb": 220000, "adapter_slots": 8, "loads_per_s": 3.1,
      "models": [{"name": "m0", "weights_mb": 72700, "load_time_s": 6.0,
        "adapters": 0, "adapter_size_mb": 66, "warmup_s": 0.4,
        "disk_s": 0.52}]}}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
    "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
  "tenants": [{"name": "optica", "api_keys": ["review-key-0001"],
    "priority": 1, "unit": "tokens", "plain_tokens": 200}]
})";

/// @return the tokens of all parts of a Prompt-Prefix.
inline int CountTokens(const std::string& prefix) {
  int tokens = 0;
  for (std::size_t colon = prefix.find(':'); colon != std::string::npos;
       colon = prefix.find(':', colon + 1)) {
    tokens += std::atoi(prefix.c_str() + colon + 1);
  }
  return tokens;
}

/// Sends one prompt. @return the answer's status; 0 without a whole answer.
inline int SendPrompt(Observations& seen,
                      int port,
                      const std::string& id,
                      const std::string& prefix) {
  const auto connection = Connection::Open(port);
  const bool is_sent =
      connection != nullptr &&
      connection->Write(
          Format("POST /chat/live HTTP/1.1",
                 {{"Host", "provador.example"},
                  {"Request-Id", id},
                  {"Model", "m0"},
                  {"Token-Counts", std::to_string(CountTokens(prefix)) + ",70"},
                  {"Prompt-Prefix", prefix},
                  {"Deadline-Ms", "10000"},
                  {"Authorization", "Bearer review-key-0001"}},
                 "prompt " + id));
  const auto answer = is_sent ? ReadMessage(*connection, 10'500) : std::nullopt;
  const int status = answer ? answer->Status() : 0;
  seen.record.Write("answered " + id + " " + std::to_string(status));
  return status;
}

/// Sizes and timing of a case.
struct PoisonCase {
  int host_count = 3;
  int runner_count = 8;
  int start_ms = 8000;  ///< When the first prompts with the part are sent.
  int end_ms = 60000;
  int interval_ms = 0;  ///< Between two groups of prompts with the part.
  int group_size = 1;   ///< Prompts with the part that are sent together.
  /// Interval between two sound prompts of one of the sound clients.
  int sound_interval_ms = 100;
  bool answers_before_crash = false;
  /// @return the Prompt-Prefix of the prompt with this number.
  std::function<std::string(int number, bool is_poison)> prefix;
};

inline int RunPoisonCase(const CaseOptions& options, const PoisonCase& plan) {
  Observations seen(options);
  seen.answers_before_crash = plan.answers_before_crash;
  Platform platform(options.folder, plan.host_count, plan.runner_count);
  platform.Put("keyed.op", "config", kEngineConfiguration);
  std::vector<std::unique_ptr<EngineRunner>> runners;
  for (int i = 0; i < plan.runner_count; ++i) {
    runners.push_back(std::make_unique<EngineRunner>(
        seen, platform, i, std::set<std::string>{"m0"},
        std::set<std::string>{"m0"}));
    runners.back()->Start();
  }
  for (int i = 0; i < plan.host_count; ++i) {
    platform.StartHost(
        i, "recife-" + std::string(1, static_cast<char>('a' + i)), true);
  }
  for (int i = 0; i < plan.host_count; ++i) {
    platform.WaitUntilReady(i);
  }
  seen.record.Write("hosts are ready");
  std::atomic<int> number = 0;
  std::vector<std::thread> clients;
  constexpr int kSoundClients = 6;
  for (int i = 0; i < kSoundClients; ++i) {
    clients.emplace_back([&, i] {
      while (!seen.is_over) {
        const int own = ++number;
        const int status =
            SendPrompt(seen, platform.caller_port((own + i) % plan.host_count),
                       "s" + std::to_string(own), plan.prefix(own, false));
        ++(status == 200 ? seen.sound_served : seen.sound_failed);
        Sleep(plan.sound_interval_ms);
      }
    });
  }
  clients.emplace_back([&] {
    std::vector<std::thread> group;
    std::int64_t next = plan.start_ms;
    while (!seen.is_over) {
      if (seen.record.Now() < next) {
        Sleep(20);
        continue;
      }
      next += plan.interval_ms;
      for (int i = 0; i < plan.group_size; ++i) {
        const int own = ++number;
        ++seen.poison_sent;
        group.emplace_back([&, own, i] {
          SendPrompt(seen, platform.caller_port(i % plan.host_count),
                     "p" + std::to_string(own), plan.prefix(own, true));
        });
      }
    }
    for (std::thread& client : group) {
      client.join();
    }
  });
  while (seen.record.Now() < plan.end_ms) {
    for (const auto& runner : runners) {
      runner->Tick();
    }
    Sleep(20);
  }
  seen.is_over = true;
  for (std::thread& client : clients) {
    client.join();
  }
  for (const auto& runner : runners) {
    runner->Close();
  }
  if (seen.sound_served == 0 || seen.poison_sent == 0) {
    Fail("no request was served");
  }
  const bool has_window =
      seen.crashes.size() >= static_cast<std::size_t>(kCrashesBeforeWindow);
  const std::int64_t counted_from =
      has_window ? seen.crashes[kCrashesBeforeWindow - 1] + kStabilityWindowMs
                 : 0;
  const auto late =
      has_window ? std::ranges::count_if(
                       seen.poison_arrivals,
                       [&](std::int64_t at) { return at > counted_from; })
                 : 0;
  const bool is_broken = late > kAllowedRequests;
  const std::string result =
      "sound prompts served " + std::to_string(seen.sound_served) +
      ", not served " + std::to_string(seen.sound_failed) +
      "; prompts with the part sent " + std::to_string(seen.poison_sent) +
      ", crashes " + std::to_string(seen.crashes.size()) +
      ", prompts with the part that ran later than 3 s after the fifth crash " +
      std::to_string(late) + (is_broken ? ": BUDGET is broken" : ": held");
  seen.record.Write(result);
  std::cout << result << "\n";
  return is_broken ? kRuleBroken : kRuleHeld;
}

}  // namespace review

#endif  // CICADALOFT_REVIEW_COMMON_POISON_CASE_H_
