#include "rattanweir/process/account_rate/account_rates.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ClientAccountId kAccount("anna");
// Sizes from the users' specification: the rate of its large accounts and the
// excess that it allows. The limiter's tolerance is half of that excess.
constexpr double kRate = 470'000;
constexpr double kAllowedExcess = 190'000;
constexpr Tokens kTolerance{ 95'000 };
constexpr Tokens kCost{ 500 };

FleetConfig
Config(double aRate)
{
  return FleetConfig(
    { .m_accounts = {
        { .m_id = kAccount, .m_ratePerSecond = aRate, .m_burst = aRate } } });
}

// Instances that gossip their usage every 500 ms.
class Fixture
{
public:
  Fixture(std::size_t aInstances, double aRate = kRate)
    : m_rate(aRate)
    , m_instances(aInstances)
    , m_publishedUsages(aInstances)
  {
    for (std::size_t index = 0; index < aInstances; ++index) {
      m_rates.push_back(std::make_unique<AccountRates>(
        AccountRatesOptions{ .m_clock = m_clock, .m_tolerance = kTolerance }));
      m_rates.back()->Configure(Config(aRate));
    }
  }

  // Applies a load for `aLength`; `aLoad` returns the load of an instance as a
  // multiple of the account's rate.
  void Run(seconds aLength,
           const std::function<double(std::size_t)>& aLoad,
           Tokens aCost = kCost)
  {
    constexpr milliseconds kStep{ 10 };
    std::vector<double> due(m_instances, 0);
    for (milliseconds at{}; at < aLength; at += kStep) {
      for (std::size_t index = 0; index < m_instances; ++index) {
        due[index] += aLoad(index) * m_rate * 0.01 / double(aCost.Value());
        for (; due[index] >= 1; due[index] -= 1) {
          Admit(index, aCost);
        }
      }
      m_clock.Advance(kStep);
      if (at % milliseconds(500) == milliseconds(0)) {
        PublishUsages();
      }
      if (at % milliseconds(100) == milliseconds(0)) {
        SetPeers();
      }
    }
  }

  void Admit(std::size_t aInstance, Tokens aCost)
  {
    ++m_offered;
    if (std::holds_alternative<WithinRate>(
          m_rates[aInstance]->Admit(kAccount, aCost))) {
      ++m_admitted;
      m_times.push_back({ m_clock.SteadyNow(), double(aCost.Value()) });
    }
  }

  // Partitions all instances from each other.
  void StopGossip() { m_isGossipStopped = true; }

  // Returns the maximum number of tokens admitted in any 8 s.
  double MaxInWindow() const
  {
    double maxTokens = 0;
    double sum = 0;
    std::deque<std::pair<SteadyTime, double>> window;
    for (const auto& [at, tokens] : m_times) {
      window.emplace_back(at, tokens);
      sum += tokens;
      while (at - window.front().first > seconds(8)) {
        sum -= window.front().second;
        window.pop_front();
      }
      maxTokens = std::max(maxTokens, sum);
    }
    return maxTokens;
  }

  // Returns the users' limit for 8 s: rate and burst (1 s of the rate) plus
  // 25 %, plus the allowed excess.
  double AllowedInWindow() const { return m_rate * 9 * 1.25 + kAllowedExcess; }

  double AdmittedFraction() const
  {
    return double(m_admitted) / double(m_offered);
  }

private:
  void PublishUsages()
  {
    if (m_isGossipStopped) {
      return;
    }
    ++m_sequence;
    for (std::size_t index = 0; index < m_instances; ++index) {
      m_publishedUsages[index] = m_rates[index]->LocalUsages();
    }
  }

  void SetPeers()
  {
    for (std::size_t index = 0; index < m_instances; ++index) {
      std::vector<PeerUsage> peers;
      for (std::size_t other = 0; other < m_instances; ++other) {
        if (other != index) {
          peers.push_back({ .m_id = InstanceId(std::to_string(other)),
                            .m_incarnation = Incarnation(1),
                            .m_sequence = m_sequence,
                            .m_usages = m_publishedUsages[other] });
        }
      }
      m_rates[index]->SetPeers(peers);
    }
  }

  double m_rate;
  std::size_t m_instances;
  ManualClock m_clock;
  std::vector<std::unique_ptr<AccountRates>> m_rates;
  std::vector<AccountUsages> m_publishedUsages;
  std::uint64_t m_sequence = 0;
  bool m_isGossipStopped = false;
  std::vector<std::pair<SteadyTime, double>> m_times;
  std::size_t m_offered = 0;
  std::size_t m_admitted = 0;
};

TEST_CASE(
  "an account within its rate is admitted at whichever instances it connects")
{
  Fixture fixture(8);
  // The load is on two instances and then moves to two others.
  const auto loadAt = [&](std::size_t aBusy) {
    return
      [aBusy](std::size_t aIndex) { return aIndex / 2 == aBusy ? 0.4 : 0.02; };
  };
  fixture.Run(seconds(8), loadAt(0));
  fixture.Run(seconds(8), loadAt(1));
  fixture.Run(seconds(8), loadAt(3));
  CHECK(fixture.AdmittedFraction() > 0.995);
  CHECK(fixture.MaxInWindow() <= fixture.AllowedInWindow());
}

TEST_CASE("large requests of a small account do not starve")
{
  // Each request costs more than half of the tokens of one second.
  Fixture fixture(8, 47'000);
  fixture.Run(
    seconds(24), [](std::size_t) { return 0.1; }, Tokens(30'000));
  CHECK(fixture.AdmittedFraction() > 0.98);
}

TEST_CASE("an account far over its rate is admitted at its rate")
{
  for (const double times : { 2.0, 4.2, 8.0 }) {
    for (const std::size_t instances : { 3U, 8U, 24U }) {
      INFO(times << " times the rate at " << instances << " instances");
      Fixture fixture(instances);
      const auto load = [&](double aTimes) {
        return [&, aTimes](std::size_t) { return aTimes / double(instances); };
      };
      fixture.Run(seconds(8), load(0.55));
      fixture.Run(seconds(16), load(times));
      CHECK(fixture.MaxInWindow() <= fixture.AllowedInWindow());
      CHECK(fixture.MaxInWindow() >= 0.95 * kRate * 8);
    }
  }
}

TEST_CASE("a partitioned fleet does not admit the rate twice")
{
  Fixture fixture(8);
  fixture.Run(seconds(8), [](std::size_t) { return 0.55 / 8; });
  fixture.StopGossip();
  // The demand at each instance grows to half of the rate within about 1 s.
  double load = 0.55 / 8;
  fixture.Run(seconds(16), [&](std::size_t) {
    load = std::min(load + 0.0005, 0.5);
    return load;
  });
  CHECK(fixture.MaxInWindow() <= fixture.AllowedInWindow());
}

TEST_CASE("instances of a partitioned fleet admit an unchanged load")
{
  Fixture fixture(8);
  fixture.Run(seconds(8), [](std::size_t) { return 0.55 / 8; });
  fixture.StopGossip();
  fixture.Run(seconds(16), [](std::size_t) { return 0.55 / 8; });
  CHECK(fixture.AdmittedFraction() > 0.99);
}

TEST_CASE("a request larger than the burst is admitted and delays later ones")
{
  ManualClock clock;
  AccountRates rates({ .m_clock = clock });
  rates.Configure(Config(1'000));
  CHECK(
    std::holds_alternative<WithinRate>(rates.Admit(kAccount, Tokens(5'000))));
  const RateDecision second = rates.Admit(kAccount, Tokens(10));
  REQUIRE(std::holds_alternative<OverRate>(second));
  clock.Advance(std::get<OverRate>(second).m_retryAfter);
  CHECK(std::holds_alternative<WithinRate>(rates.Admit(kAccount, Tokens(10))));
}

TEST_CASE("a peer's restart does not deduct its earlier usage twice")
{
  ManualClock clock;
  AccountRates rates({ .m_clock = clock, .m_initialBurstFraction = 1 });
  rates.Configure(Config(1'000));
  AccountUsages usages;
  PeerUsage peer{ .m_id = InstanceId("p"),
                  .m_incarnation = Incarnation(1),
                  .m_usages = usages };
  usages[kAccount].m_admitted = 50'000;
  rates.SetPeers({ peer });
  CHECK(rates.BucketLevel(kAccount) == 1'000);
  peer.m_sequence = 1;
  usages[kAccount].m_admitted = 50'400;
  rates.SetPeers({ peer });
  CHECK(rates.BucketLevel(kAccount) == 600);
  peer.m_incarnation = Incarnation(2);
  usages[kAccount].m_admitted = 100;
  rates.SetPeers({ peer });
  CHECK(rates.BucketLevel(kAccount) == 600);
}

TEST_CASE("earlier usage of peers is not deducted from a new account")
{
  ManualClock clock;
  AccountRates rates({ .m_clock = clock, .m_initialBurstFraction = 1 });
  const AccountUsages usages{ { kAccount, { .m_admitted = 50'000 } } };
  PeerUsage peer{ .m_id = InstanceId("p"),
                  .m_incarnation = Incarnation(1),
                  .m_usages = usages };
  rates.SetPeers({ peer });
  rates.Configure(Config(1'000));
  rates.SetPeers({ peer });
  peer.m_sequence = 1;
  rates.SetPeers({ peer });
  CHECK(rates.BucketLevel(kAccount) == 1'000);
}

TEST_CASE("usage is deducted once whatever the order of the peers")
{
  ManualClock clock;
  AccountRates rates({ .m_clock = clock, .m_initialBurstFraction = 1 });
  rates.Configure(Config(1'000));
  AccountUsages first{ { kAccount, { .m_admitted = 500 } } };
  AccountUsages second{ { kAccount, { .m_admitted = 7'000 } } };
  PeerUsage a{ .m_id = InstanceId("a"), .m_usages = first };
  PeerUsage b{ .m_id = InstanceId("b"), .m_usages = second };
  rates.SetPeers({ a, b });
  rates.SetPeers({ b, a });
  CHECK(rates.BucketLevel(kAccount) == 1'000);
  a.m_sequence = 1;
  b.m_sequence = 1;
  first.at(kAccount).m_admitted += 200;
  second.at(kAccount).m_admitted += 300;
  rates.SetPeers({ a, b });
  rates.SetPeers({ b });
  CHECK(rates.BucketLevel(kAccount) == 500);
}

TEST_CASE("an account without a rate is always admitted")
{
  ManualClock clock;
  AccountRates rates({ .m_clock = clock });
  rates.Configure(Config(0));
  CHECK(std::holds_alternative<WithinRate>(
    rates.Admit(kAccount, Tokens(1'000'000))));
}

TEST_CASE("a new configuration keeps the bucket level of an account")
{
  ManualClock clock;
  AccountRates rates({ .m_clock = clock });
  rates.Configure(Config(1'000));
  rates.Admit(kAccount, Tokens(5'000));
  rates.Configure(Config(1'000));
  CHECK(std::holds_alternative<OverRate>(rates.Admit(kAccount, Tokens(10))));
}

} // namespace
} // namespace rattanweir
