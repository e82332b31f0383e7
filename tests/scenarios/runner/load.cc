#include "scenarios/runner/load.h"

#include <algorithm>
#include <cmath>
#include <ranges>

#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/core/result.h"

namespace cicadaloft::scenarios {
namespace {

constexpr double kMicrosecondsASecond = 1e6;
constexpr Duration kResendAfter = std::chrono::milliseconds(300);

/// @return a number in [0, 1) that is the same with every standard library.
double Uniform(std::mt19937_64& random) {
  constexpr int kMantissaBits = 53;
  constexpr int kWordBits = 64;
  return std::ldexp(
      static_cast<double>(random() >> (kWordBits - kMantissaBits)),
      -kMantissaBits);
}

std::size_t ChooseBySkew(std::mt19937_64& random,
                         std::size_t count,
                         double skew) {
  double total = 0;
  for (std::size_t i = 1; i <= count; ++i) {
    total += std::pow(static_cast<double>(i), -skew);
  }
  double left = Uniform(random) * total;
  for (std::size_t i = 1; i < count; ++i) {
    left -= std::pow(static_cast<double>(i), -skew);
    if (left < 0) {
      return i - 1;
    }
  }
  return count - 1;
}

}  // namespace

bool IdealBucket::Take(TimePoint now) {
  const double seconds =
      static_cast<double>((now - this->since).count()) / kMicrosecondsASecond;
  this->level = std::min(this->burst, this->level + seconds * this->rate);
  this->since = now;
  if (this->level < 1) {
    return false;
  }
  this->level -= 1;
  return true;
}

LoadGenerator::LoadGenerator(World& world) : world(world) {
  world.on_ended = [this](const SentRequest& request) {
    this->OnEnded(request);
  };
}

void LoadGenerator::SetCustomer(const Customer& customer) {
  this->buckets.insert_or_assign(
      customer.id,
      IdealBucket(customer.requests_per_second, customer.burst_requests,
                  this->world.time().Now()));
}

void LoadGenerator::Begin(const LoadPlan& plan) {
  this->SendNext(std::make_shared<const LoadPlan>(plan),
                 this->world.time().Now() + plan.length);
}

void LoadGenerator::SendNext(const std::shared_ptr<const LoadPlan>& plan,
                             TimePoint end) {
  const double gap_seconds =
      -std::log(1 - Uniform(this->world.random())) / plan->rate;
  const Duration gap(
      static_cast<Duration::rep>(gap_seconds * kMicrosecondsASecond));
  if (this->world.time().Now() + gap > end) {
    return;
  }
  this->world.time().After(gap, [this, plan, end] {
    const std::string key =
        plan->with_key ? "idem-" + std::to_string(this->next_request) : "";
    this->SendOne(*plan, key, plan->resends);
    this->SendNext(plan, end);
  });
}

Call LoadGenerator::MakeCall(const LoadPlan& plan) {
  if (!plan.service.empty()) {
    return ServiceCall{.route = RouteId(plan.service), .method = plan.method};
  }
  const std::size_t index =
      ChooseBySkew(this->world.random(), plan.models.size(), plan.skew);
  return ModelCall{.model = ModelId(plan.models[index]),
                   .prefix_hash = this->world.random()() % 16,
                   .cost_tokens = plan.cost_tokens};
}

void LoadGenerator::SendOne(const LoadPlan& plan,
                            const std::string& idempotency_key,
                            int resends_left) {
  const TimePoint now = this->world.time().Now();
  const auto bucket = this->buckets.find(plan.customer);
  const bool inside = bucket != this->buckets.end() && bucket->second.Take(now);
  const std::optional<HostId> host = this->world.ChooseHost(plan.hosts);
  if (!host.has_value()) {
    return;
  }
  const RequestId id("q" + std::to_string(this->next_request++));
  const Call call = this->MakeCall(plan);
  const auto* model = std::get_if<ModelCall>(&call);
  const bool is_cold =
      model != nullptr &&
      std::ranges::none_of(
          this->world.Targets() | std::views::values, [&](const auto& target) {
            const auto found = target->models().find(model->model);
            return found != target->models().end() && found->second.loaded;
          });
  const std::uint64_t fingerprint = plan.is_poison ? StableHash("poison")
                                    : idempotency_key.empty()
                                        ? StableHash(id.value())
                                        : StableHash(idempotency_key);
  SentRequest request{
      .arrived =
          RequestArrived{
              .request = id,
              .credential =
                  plan.key.empty() ? "" : plan.key.value() + ".secret",
              .call = call,
              .request_class = plan.request_class,
              .timeout = plan.timeout,
              .idempotency_key = idempotency_key.empty()
                                     ? std::nullopt
                                     : std::optional(idempotency_key),
              .fingerprint = fingerprint},
      .customer = plan.customer,
      .key = plan.key,
      .host = *host,
      .at = now,
      .work = plan.work,
      .is_poison = plan.is_poison,
      .is_idempotent = plan.is_idempotent,
      .was_cold = is_cold,
      .was_inside_rate = inside,
      .resends_left = resends_left};
  if (resends_left > 0) {
    this->resends.emplace(id, Resend{.plan = plan,
                                     .idempotency_key = idempotency_key,
                                     .left = resends_left});
  }
  this->world.Send(std::move(request));
}

void LoadGenerator::OnEnded(const SentRequest& request) {
  const auto found = this->resends.find(request.arrived.request);
  if (found == this->resends.end() || request.saw == CallerSaw::kWholeAnswer) {
    return;
  }
  const Resend resend = found->second;
  this->resends.erase(found);
  this->world.time().After(kResendAfter, [this, resend] {
    this->SendOne(resend.plan, resend.idempotency_key, resend.left - 1);
  });
}

}  // namespace cicadaloft::scenarios
