#include "cicadaloft/routing/prompt_cache.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "cicadaloft/routing/estimated_cost.h"
#include "cicadaloft/routing/target_capacity.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kCapacity = 10'000;
const std::optional<ModelPath> kPath(ModelPath{.model = ModelId("m")});
const std::vector<PromptPart> kParts = {{.hash = 1, .tokens = 100},
                                        {.hash = 2, .tokens = 200},
                                        {.hash = 3, .tokens = 500}};

BOOST_AUTO_TEST_SUITE(prompt_cache)

// Guards against hits that are counted for another model, or behind a part that
// differs.
BOOST_AUTO_TEST_CASE(OnlyTheSameBeginningOfTheSameModelCounts) {
  PromptCache cache;
  cache.OnUse(ChainParts(kPath, kParts), 0);
  const auto cached = [&](const std::optional<ModelPath>& path,
                          const std::vector<PromptPart>& parts) {
    return cache.CachedTokens(ChainParts(path, parts), 0, kCapacity);
  };
  BOOST_TEST(cached(kPath, kParts) == 800);
  const PromptPart other{.hash = 9, .tokens = 70};
  BOOST_TEST(cached(kPath, {kParts[0], kParts[1], other}) == 300);
  BOOST_TEST(cached(kPath, {other, kParts[1], kParts[2]}) == 0);
  BOOST_TEST(cached(kPath, {kParts[1], kParts[0]}) == 0);
  BOOST_TEST(cached(ModelPath{.model = ModelId("n")}, kParts) == 0);
  BOOST_TEST(cached(ModelPath{.model = ModelId("m"), .adapter = AdapterId("a")},
                    kParts) == 0);
  BOOST_TEST(cached(std::nullopt, kParts) == 0);
}

// Guards against a preference for a target that has long evicted the parts.
BOOST_AUTO_TEST_CASE(PartsAreEvictedLeastRecentlyUsedFirst) {
  PromptCache cache;
  const PromptChain first = ChainParts(kPath, {kParts[0]});
  const PromptChain second = ChainParts(kPath, {kParts[1]});
  cache.OnUse(first, 0);
  cache.OnUse(second, 1000);
  BOOST_TEST(cache.CachedTokens(first, kCapacity + 500, kCapacity) == 0);
  BOOST_TEST(cache.CachedTokens(second, kCapacity + 500, kCapacity) == 200);
  cache.OnUse(first, kCapacity);
  BOOST_TEST(cache.CachedTokens(first, kCapacity + 2000, kCapacity) == 100);
  BOOST_TEST(cache.CachedTokens(second, kCapacity + 2000, kCapacity) == 0);
}

BOOST_AUTO_TEST_CASE(MemoryIsBounded) {
  PromptCache cache;
  for (std::uint64_t i = 0; i < 10 * PromptCache::kMaxParts; ++i) {
    cache.OnUse(ChainParts(kPath, {{.hash = i, .tokens = 1}}), 0);
  }
  std::size_t kept = 0;
  for (std::uint64_t i = 0; i < 10 * PromptCache::kMaxParts; ++i) {
    const PromptChain chain = ChainParts(kPath, {{.hash = i, .tokens = 1}});
    kept += cache.CachedTokens(chain, 0, kCapacity) > 0 ? 1 : 0;
  }
  BOOST_TEST(kept == PromptCache::kMaxParts);
  const std::vector<PromptPart> many(1000, kParts[0]);
  BOOST_TEST(ChainParts(kPath, many).size() == kMaxChainedParts);
}

BOOST_AUTO_TEST_CASE(PartOfTheRequestItselfIsNotShared) {
  BOOST_TEST(SharedKey({}) == 0U);
  BOOST_TEST(SharedKey(ChainParts(kPath, {kParts[0]})) == 0U);
  const auto key = SharedKey(ChainParts(kPath, kParts));
  BOOST_TEST(key != 0U);
  BOOST_TEST(SharedKey(ChainParts(kPath, {kParts[0], kParts[2]})) == key);
}

struct Target {
  Target() { this->Report(0); }

  void Report(std::uint32_t running) {
    this->capacity.OnReport(
        {.running = running, .slots = 16, .work_time_percent = 100}, this->kind,
        this->pace, this->now);
  }
  void Send(const PromptChain& prompt) {
    this->capacity.OnDispatch(this->size);
    this->capacity.OnStart(this->size, prompt, this->kind, this->pace,
                           this->now);
    this->capacity.OnEnd(this->size, true);
  }
  double Cached(const PromptChain& prompt) const {
    return this->capacity.CachedTokens(prompt, this->kind, this->pace,
                                       this->now);
  }

  TimePoint now{seconds(1000)};
  TargetKind kind{.slots = 16, .memory_tokens = 20'000};
  RequestSize size{.prompt_tokens = 800, .output_tokens = 200, .events = 20};
  ServicePace pace;
  TargetCapacity capacity;
};

// Guards against parts that count as kept although the requests of this host or
// of others have taken their memory.
BOOST_FIXTURE_TEST_CASE(RequestsTakeTheMemoryOfKeptParts, Target) {
  const PromptChain prompt = ChainParts(kPath, kParts);
  this->Send(prompt);
  BOOST_TEST(this->Cached(prompt) == 800);
  for (std::uint64_t i = 10; i < 40; ++i) {
    this->Send(ChainParts(kPath, {{.hash = i, .tokens = 800}}));
  }
  BOOST_TEST(this->Cached(prompt) == 0);
  this->Send(prompt);
  BOOST_TEST(this->Cached(prompt) == 800);
  for (int i = 0; i < 20; ++i) {
    this->now += seconds(1);
    this->Report(15);
  }
  BOOST_TEST(this->Cached(prompt) == 0);
}

BOOST_FIXTURE_TEST_CASE(NothingIsKnownWithoutStatedMemory, Target) {
  const PromptChain prompt = ChainParts(kPath, kParts);
  this->kind.memory_tokens = 0;
  this->Send(prompt);
  BOOST_TEST(this->Cached(prompt) == 0);
}

// Guards against a queue at the target that has the prefix: the wait for a slot
// is longer than the prefill that it saves.
BOOST_FIXTURE_TEST_CASE(TimeSavedIsWeighedAgainstTheWait, Target) {
  const auto cost = [&](std::uint32_t running, double cached) {
    this->Report(running);
    return CostOf(this->capacity.Estimate(this->size, cached, ModelId("m"),
                                          this->kind, this->pace, this->now),
                  Duration::zero(), false);
  };
  BOOST_TEST((cost(4, 300) < cost(4, 0)));
  BOOST_TEST((cost(12, 300) > cost(4, 0)));
  BOOST_TEST((cost(18, 800) > cost(12, 0)));
  // No more is saved than the prompt has.
  BOOST_TEST((cost(4, 1e9) == cost(4, 800)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
