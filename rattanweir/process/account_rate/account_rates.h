// Holds each client account to its rate over the whole fleet, without a
// message for a request.
//
//   AccountRates rates({ .m_clock = clock });
//   rates.Configure(config);
//   rates.SetPeers(usages);
//   const RateDecision decision = rates.Admit(account, Tokens(430));
//   if (const auto* refused = std::get_if<OverRate>(&decision)) ...
//
// Every instance keeps one token bucket for the whole fleet's use of an
// account. It takes its own requests out at once, and those of its peers as
// they tell what they have admitted; until they tell, it takes out what they
// probably admit. An account within its rate is so never refused for where its
// callers connect, and one far over its rate gets the rate. A peer's callers
// are taken to ask for more as this instance's do since the peer told. Peers
// that fell silent may be cut off and still serving: what they probably admit
// goes on being taken out. Once the bucket is empty all share its rate in
// proportion to what is asked of them.
//
// The bucket may go below zero by the tolerance and by one request, so that a
// large request is not starved. For one thread.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/units/units.h"
#include "rattanweir/version/fleet_config/fleet_config.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace rattanweir {

// Admitted, and counted.
struct WithinRate
{};

struct OverRate
{
  // When the bucket will have room again.
  std::chrono::nanoseconds m_retryAfter{};
};

using RateDecision = std::variant<WithinRate, OverRate>;

// What an instance tells of one account.
struct AccountUsage
{
  // Tokens a second that callers ask for.
  double m_demand = 0;
  // Tokens admitted since the process started.
  std::uint64_t m_admitted = 0;
};

using AccountUsages = std::map<ClientAccountId, AccountUsage>;

// What a peer told last.
struct PeerUsage
{
  InstanceId m_id;
  Incarnation m_incarnation;
  // Counts up with what it tells.
  std::uint64_t m_sequence = 0;
  // Must outlive it.
  const AccountUsages& m_usages;
};

struct AccountRatesOptions
{
  const Clock& m_clock;
  // Over which demand is averaged.
  std::chrono::nanoseconds m_demandWindow{ std::chrono::seconds(1) };
  // Part of the burst that is at hand when the process starts: the fleet may
  // just have spent it.
  double m_initialBurstFraction = 0.25;
  // Tokens that the fleet may admit beyond an account's rate and burst.
  Tokens m_tolerance;
};

class AccountRates
{
public:
  explicit AccountRates(const AccountRatesOptions& aOptions);

  // Takes over the accounts of a configuration; what is spent stays spent.
  void Configure(const FleetConfig& aConfig);

  // All peers that may be running. To be called several times a second.
  void SetPeers(const std::vector<PeerUsage>& aPeers);

  // Counts the demand, and the request if it is admitted.
  RateDecision Admit(const ClientAccountId& aAccount, Tokens aCost);

  // For the peers.
  AccountUsages LocalUsages() const;

  // Tokens at hand for the whole fleet, below zero where more was admitted.
  double BucketLevel(const ClientAccountId& aAccount) const;

private:
  // What was taken out for one peer.
  struct PeerCount
  {
    Incarnation m_incarnation;
    std::uint64_t m_sequence = 0;
    double m_taken = 0;
    // The demand here when it told.
    double m_demandHereThen = 0;
    // Tokens a second that its callers probably ask for.
    double m_demand = 0;
  };

  // Smoothed tokens a second.
  struct Average
  {
    double m_value = 0;
    SteadyTime m_at;
  };

  struct Bucket
  {
    double m_rate = 0;
    double m_burst = 0;
    double m_level = 0;
    SteadyTime m_filledAt;
    Average m_demand;
    std::uint64_t m_admitted = 0;
    std::map<InstanceId, PeerCount> m_peers;
  };

  // The lowest level at which a request is admitted.
  double Floor() const;
  double Read(const Average& aAverage, SteadyTime aNow) const;
  void Add(Average& aAverage, double aTokens, SteadyTime aNow) const;
  void Advance(Bucket& aBucket, SteadyTime aNow) const;
  void TakePeers(const ClientAccountId& aAccount,
                 Bucket& aBucket,
                 const std::vector<PeerUsage>& aPeers,
                 SteadyTime aNow) const;

  AccountRatesOptions m_options;
  std::map<ClientAccountId, Bucket> m_buckets;
};

} // namespace rattanweir
