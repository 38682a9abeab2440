#include "rattanweir/process/server_performance/latency_model.h"

#include "rattanweir/base/random/random.h"

#include <catch2/catch.hpp>

#include <random>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr Tokens kShort{ 290 };
constexpr Tokens kLong{ 3'720 };

// A server with 80 ms of fixed cost and 93 tokens per millisecond, of which one
// response in ten waits for another 500 ms.
nanoseconds
ObservedAt(Tokens aTokens, RandomEngine& aRandom)
{
  const double prefillMs = static_cast<double>(aTokens.Value()) / 93;
  const bool waits =
    std::uniform_real_distribution<double>(0, 1)(aRandom) < 0.1;
  const double noise =
    std::uniform_real_distribution<double>(0.9, 1.1)(aRandom);
  const double ms = (80 + prefillMs) * noise + (waits ? 500 : 0);
  return nanoseconds(static_cast<std::int64_t>(ms * 1e6));
}

// Guards against estimates that leave out the fixed cost of the first token,
// and against those that follow a few long waits.
TEST_CASE("the median of short and of long prompts is learned from 100 "
          "responses")
{
  for (const std::uint64_t seed : { 1U, 2U, 3U, 4U, 5U }) {
    INFO("seed " << seed);
    RandomEngine random(seed);
    LatencyModel model(
      { .m_initialCostPerToken = std::chrono::microseconds(1'000) / 60 });
    for (int response = 0; response < 100; ++response) {
      const Tokens tokens = response % 10 == 0 ? kLong : kShort;
      model.Observe({ .m_tokens = tokens,
                      .m_estimate = model.Estimate(tokens),
                      .m_observed = ObservedAt(tokens, random) });
    }
    for (const Tokens tokens : { kShort, kLong }) {
      const double trueMs = 80 + static_cast<double>(tokens.Value()) / 93;
      const double estimatedMs =
        static_cast<double>(model.Estimate(tokens).count()) / 1e6;
      INFO(tokens.Value() << " tokens: " << estimatedMs << " ms");
      CHECK(estimatedMs / trueMs >= 0.8);
      CHECK(estimatedMs / trueMs <= 1.25);
    }
  }
}

TEST_CASE("learned costs stay within their bounds")
{
  LatencyModel model;
  for (int response = 0; response < 1'000; ++response) {
    model.Observe({ .m_tokens = kShort,
                    .m_estimate = model.Estimate(kShort),
                    .m_observed = std::chrono::hours(1) });
  }
  CHECK(model.FixedCost() <= std::chrono::seconds(5));
  for (int response = 0; response < 1'000; ++response) {
    model.Observe({ .m_tokens = kShort,
                    .m_estimate = std::chrono::hours(1),
                    .m_observed = milliseconds(1) });
  }
  CHECK(model.FixedCost() == nanoseconds::zero());
  CHECK(model.CostPerToken().count() >= 0);
}

} // namespace
} // namespace rattanweir
