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
// What the users' sheets have: a few accounts of this size, and their
// tolerance, of which half is used.
constexpr double kRate = 470'000;
constexpr double kToleratedTokens = 190'000;
constexpr Tokens kTolerance{ 95'000 };
constexpr Tokens kCost{ 500 };

FleetConfig
Config(double aRate)
{
  return FleetConfig(
    { .m_accounts = {
        { .m_id = kAccount, .m_ratePerSecond = aRate, .m_burst = aRate } } });
}

// Instances that tell each other what they admitted a while after it was.
class Fixture
{
public:
  Fixture(std::size_t aInstances, double aRate = kRate)
    : m_rate(aRate)
    , m_instances(aInstances)
    , m_told(aInstances)
  {
    for (std::size_t index = 0; index < aInstances; ++index) {
      m_rates.push_back(std::make_unique<AccountRates>(
        AccountRatesOptions{ .m_clock = m_clock, .m_tolerance = kTolerance }));
      m_rates.back()->Configure(Config(aRate));
    }
  }

  // Plays a load of so many times the rate for each instance.
  void Play(seconds aLength,
            const std::function<double(std::size_t)>& aLoad,
            Tokens aCost = kCost)
  {
    constexpr milliseconds kStep{ 10 };
    std::vector<double> due(m_instances, 0);
    for (milliseconds at{}; at < aLength; at += kStep) {
      for (std::size_t index = 0; index < m_instances; ++index) {
        due[index] += aLoad(index) * m_rate * 0.01 / double(aCost.Value());
        for (; due[index] >= 1; due[index] -= 1) {
          Ask(index, aCost);
        }
      }
      m_clock.Advance(kStep);
      if (at % milliseconds(500) == milliseconds(0)) {
        Tell();
      }
      if (at % milliseconds(100) == milliseconds(0)) {
        SetPeers();
      }
    }
  }

  void Ask(std::size_t aInstance, Tokens aCost)
  {
    ++m_asked;
    if (std::holds_alternative<WithinRate>(
          m_rates[aInstance]->Admit(kAccount, aCost))) {
      ++m_admitted;
      m_times.push_back({ m_clock.SteadyNow(), double(aCost.Value()) });
    }
  }

  // From now on nobody hears of anybody.
  void Cut() { m_isCut = true; }

  // The most tokens admitted in any 8 s.
  double MaxInWindow() const
  {
    double most = 0;
    double sum = 0;
    std::deque<std::pair<SteadyTime, double>> window;
    for (const auto& [at, tokens] : m_times) {
      window.emplace_back(at, tokens);
      sum += tokens;
      while (at - window.front().first > seconds(8)) {
        sum -= window.front().second;
        window.pop_front();
      }
      most = std::max(most, sum);
    }
    return most;
  }

  // Rate and burst with the quarter and the tokens that the users allow.
  double AllowedIn8s() const { return m_rate * 9 * 1.25 + kToleratedTokens; }

  double Served() const { return double(m_admitted) / double(m_asked); }

private:
  void Tell()
  {
    if (m_isCut) {
      return;
    }
    ++m_sequence;
    for (std::size_t index = 0; index < m_instances; ++index) {
      m_told[index] = m_rates[index]->LocalUsages();
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
                            .m_usages = m_told[other] });
        }
      }
      m_rates[index]->SetPeers(peers);
    }
  }

  double m_rate;
  std::size_t m_instances;
  ManualClock m_clock;
  std::vector<std::unique_ptr<AccountRates>> m_rates;
  std::vector<AccountUsages> m_told;
  std::uint64_t m_sequence = 0;
  bool m_isCut = false;
  std::vector<std::pair<SteadyTime, double>> m_times;
  std::size_t m_asked = 0;
  std::size_t m_admitted = 0;
};

TEST_CASE("an account within its rate is not refused, wherever it connects")
{
  Fixture fixture(8);
  // The load sits on two instances, and on two others after that.
  const auto at = [&](std::size_t aBusy) {
    return
      [aBusy](std::size_t aIndex) { return aIndex / 2 == aBusy ? 0.4 : 0.02; };
  };
  fixture.Play(seconds(8), at(0));
  fixture.Play(seconds(8), at(1));
  fixture.Play(seconds(8), at(3));
  CHECK(fixture.Served() > 0.995);
  CHECK(fixture.MaxInWindow() <= fixture.AllowedIn8s());
}

TEST_CASE("a small account's large requests do not starve its others")
{
  // Each request is more than half of what the account has in a second.
  Fixture fixture(8, 47'000);
  fixture.Play(
    seconds(24), [](std::size_t) { return 0.1; }, Tokens(30'000));
  CHECK(fixture.Served() > 0.98);
}

TEST_CASE("an account far over its rate gets its rate and no more")
{
  for (const double times : { 2.0, 4.2, 8.0 }) {
    for (const std::size_t instances : { 3U, 8U, 24U }) {
      INFO(times << " times the rate at " << instances << " instances");
      Fixture fixture(instances);
      const auto load = [&](double aTimes) {
        return [&, aTimes](std::size_t) { return aTimes / double(instances); };
      };
      fixture.Play(seconds(8), load(0.55));
      fixture.Play(seconds(16), load(times));
      CHECK(fixture.MaxInWindow() <= fixture.AllowedIn8s());
      CHECK(fixture.MaxInWindow() >= 0.95 * kRate * 8);
    }
  }
}

TEST_CASE("a fleet that is cut into parts does not admit the rate twice")
{
  Fixture fixture(8);
  fixture.Play(seconds(8), [](std::size_t) { return 0.55 / 8; });
  fixture.Cut();
  // Each asks for half of the rate within a second.
  double load = 0.55 / 8;
  fixture.Play(seconds(16), [&](std::size_t) {
    load = std::min(load + 0.0005, 0.5);
    return load;
  });
  CHECK(fixture.MaxInWindow() <= fixture.AllowedIn8s());
}

TEST_CASE("a part of a cut fleet goes on serving what it served before")
{
  Fixture fixture(8);
  fixture.Play(seconds(8), [](std::size_t) { return 0.55 / 8; });
  fixture.Cut();
  fixture.Play(seconds(16), [](std::size_t) { return 0.55 / 8; });
  CHECK(fixture.Served() > 0.99);
}

TEST_CASE("a request larger than the burst is admitted once there is room")
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

TEST_CASE("a peer's restart does not count what it admitted before again")
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

TEST_CASE("an account without a bound is always admitted")
{
  ManualClock clock;
  AccountRates rates({ .m_clock = clock });
  rates.Configure(Config(0));
  CHECK(std::holds_alternative<WithinRate>(
    rates.Admit(kAccount, Tokens(1'000'000))));
}

TEST_CASE("what an account spent stays spent over a new configuration")
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
