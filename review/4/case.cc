// A caller's prompts come in batches, and all begin with the same part. Between
// two batches prompts come that begin with it too and have a part that crashes
// runners.

#include <memory>
#include <string>
#include <vector>

#include "../common/poison_case.h"

namespace review {
namespace {

constexpr int kHostCount = 3;
constexpr int kRunnerCount = 8;
constexpr int kBatchSize = 30;
constexpr int kBatchIntervalMs = 200;
constexpr int kFirstBatchMs = 7000;
constexpr int kFirstPoisonMs = 16000;
constexpr int kPoisonIntervalMs = 3000;
constexpr int kSecondBatchMs = 50000;
constexpr int kEndMs = 62000;
/// The part that begins each of the caller's prompts.
constexpr char kFirstPart[] = "e4402b7d:800,";

struct Batch {
  int sent = 0;
  int begun = 0;
};

// Sends sound prompts that begin with the first part, one after the other.
Batch SendBatch(Observations& seen,
                const Platform& platform,
                const std::string& name) {
  std::vector<std::thread> clients;
  for (int i = 0; i < kBatchSize; ++i) {
    clients.emplace_back([&, i] {
      const std::string own = std::to_string(20'000'000 + i);
      SendPrompt(seen, platform.caller_port(i % kHostCount),
                 name + std::to_string(i),
                 kFirstPart + ("91bd3f0" + std::to_string(i % 3)) + ":200," +
                     own + ":100");
    });
    Sleep(kBatchIntervalMs);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  Batch batch{.sent = kBatchSize};
  const std::lock_guard lock(seen.mutex);
  for (int i = 0; i < kBatchSize; ++i) {
    batch.begun += seen.begun.contains(name + std::to_string(i)) ? 1 : 0;
  }
  return batch;
}

void WaitUntil(const Observations& seen, std::int64_t time) {
  while (seen.record.Now() < time) {
    Sleep(10);
  }
}

int Run(const CaseOptions& options) {
  Observations seen(options);
  Platform platform(options.folder, kHostCount, kRunnerCount);
  platform.Put("keyed.op", "config", kEngineConfiguration);
  std::vector<std::unique_ptr<EngineRunner>> runners;
  for (int i = 0; i < kRunnerCount; ++i) {
    runners.push_back(std::make_unique<EngineRunner>(
        seen, platform, i, std::set<std::string>{"m0"},
        std::set<std::string>{"m0"}));
    runners.back()->Start();
  }
  for (int i = 0; i < kHostCount; ++i) {
    platform.StartHost(
        i, "recife-" + std::string(1, static_cast<char>('a' + i)), true);
  }
  for (int i = 0; i < kHostCount; ++i) {
    platform.WaitUntilReady(i);
  }
  std::vector<std::thread> tasks;
  tasks.emplace_back([&] {
    while (!seen.is_over) {
      for (const auto& runner : runners) {
        runner->Tick();
      }
      Sleep(20);
    }
  });
  // Other prompts of the same caller and model, all the time.
  tasks.emplace_back([&] {
    for (int i = 0; !seen.is_over; ++i) {
      const int status =
          SendPrompt(seen, platform.caller_port(i % kHostCount),
                     "other" + std::to_string(i),
                     "77aa00" + std::to_string(10 + i % 8) + ":400," +
                         std::to_string(30'000'000 + i) + ":100");
      ++(status == 200 ? seen.sound_served : seen.sound_failed);
      Sleep(50);
    }
  });
  tasks.emplace_back([&] {
    for (int i = 0; !seen.is_over; ++i) {
      WaitUntil(seen, kFirstPoisonMs + std::int64_t{i} * kPoisonIntervalMs);
      ++seen.poison_sent;
      SendPrompt(seen, platform.caller_port(i % kHostCount),
                 "poison" + std::to_string(i),
                 std::string(kFirstPart) + kPoisonPart + ":200," +
                     std::to_string(40'000'000 + i) + ":100");
    }
  });
  WaitUntil(seen, kFirstBatchMs);
  const Batch before = SendBatch(seen, platform, "first");
  WaitUntil(seen, kSecondBatchMs);
  std::int64_t last_crash = 0;
  {
    const std::lock_guard lock(seen.mutex);
    last_crash = seen.crashes.empty() ? 0 : seen.crashes.back();
  }
  const bool is_calm =
      seen.record.Now() > last_crash + std::int64_t{2} * kStabilityWindowMs;
  const Batch after = SendBatch(seen, platform, "second");
  WaitUntil(seen, kEndMs);
  seen.is_over = true;
  for (std::thread& task : tasks) {
    task.join();
  }
  for (const auto& runner : runners) {
    runner->Close();
  }
  if (before.begun == 0 || !is_calm) {
    Fail("no prompt was served before, or runners still crash");
  }
  const bool is_broken =
      after.begun * before.sent * 2 < before.begun * after.sent;
  const std::string result =
      "crashes " + std::to_string(seen.crashes.size()) +
      ", other prompts served " + std::to_string(seen.sound_served) +
      ", sound prompts with the first part that began: before " +
      std::to_string(before.begun) + " of " + std::to_string(before.sent) +
      ", after " + std::to_string(after.begun) + " of " +
      std::to_string(after.sent) + (is_broken ? ": LOST is broken" : ": held");
  seen.record.Write(result);
  std::cout << result << "\n";
  return is_broken ? kRuleBroken : kRuleHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::Run(review::ReadCaseOptions(argc, argv));
}
