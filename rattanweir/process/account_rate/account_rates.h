// Holds each client account to its rate over the whole fleet, without a
// message for a request.
//
//   AccountRates rates({ .m_clock = clock });
//   rates.Configure(config);
//   rates.SetFleet({ .m_instances = 8, .m_demandElsewhere = demand });
//   const RateDecision decision = rates.Admit(account, Tokens(430));
//   if (const auto* refused = std::get_if<OverRate>(&decision)) ...
//
// Every instance owns a share of an account's rate and burst in proportion to
// what callers ask of it, counted against what they ask of the others as they
// last told. All divide by the same sum, so the shares add up to one whole as
// far as the instances know the same. Instances that fell silent may be cut off
// and still serving: they keep counting with what they told last, and are taken
// to be asked for more as this instance is.
//
// The bucket of a share may go below zero by its part of the tolerance and by
// one request, so that a request larger than the share is not starved. For one
// thread.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/units/units.h"
#include "rattanweir/version/fleet_config/fleet_config.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <variant>

namespace rattanweir {

// Admitted, and counted.
struct WithinRate
{};

struct OverRate
{
  // When the share will have room again.
  std::chrono::nanoseconds m_comeBackAfter{};
};

using RateDecision = std::variant<WithinRate, OverRate>;

// What the other instances told.
struct FleetDemand
{
  // This one included.
  std::size_t m_instances = 1;
  // Tokens a second asked of the others, by account: of those heard of lately,
  // and of the silent ones when they last told.
  std::map<ClientAccountId, double> m_demandElsewhere;
  std::map<ClientAccountId, double> m_demandOfSilent;
};

struct AccountRatesOptions
{
  const Clock& m_clock;
  // Over which demand is averaged: about the age of what others told, so that
  // both sides of the division change alike.
  std::chrono::nanoseconds m_demandWindow{ std::chrono::seconds(2) };
  // Part of an instance's equal share that it has without any demand, so that
  // the first requests after a quiet time are not refused.
  double m_idleShare = 0.25;
  // Part of the burst that an instance has at hand when it starts: its
  // predecessor may have spent the whole.
  double m_initialBurst = 0.25;
  // Tokens that the fleet may admit beyond an account's rate and burst.
  Tokens m_tolerance;
};

class AccountRates
{
public:
  explicit AccountRates(const AccountRatesOptions& aOptions);

  // Takes over the accounts of a configuration; what is spent stays spent.
  void Configure(const FleetConfig& aConfig);

  void SetFleet(FleetDemand aFleet);

  // Counts the demand, and the request if it is admitted.
  RateDecision Admit(const ClientAccountId& aAccount, Tokens aCost);

  // Gives back what was admitted for a request that was not sent after all.
  void Return(const ClientAccountId& aAccount, Tokens aCost);

  // Tokens a second asked of this instance, for the others.
  std::map<ClientAccountId, double> Demand() const;

  // This instance's part of an account's rate, from 0 to 1.
  double ShareOf(const ClientAccountId& aAccount) const;

private:
  struct Bucket
  {
    double m_rate = 0;
    double m_burst = 0;
    double m_level = 0;
    SteadyTime m_filledAt;
    double m_demand = 0;
    SteadyTime m_demandAt;
    // The demand here when the last silent instance was heard of.
    double m_demandInContact = 0;
  };

  double DemandOf(const Bucket& aBucket, SteadyTime aNow) const;
  double ShareOf(const ClientAccountId& aAccount,
                 const Bucket& aBucket,
                 SteadyTime aNow) const;
  void Fill(Bucket& aBucket, double aShare, SteadyTime aNow) const;

  AccountRatesOptions m_options;
  FleetDemand m_fleet;
  std::map<ClientAccountId, Bucket> m_buckets;
};

} // namespace rattanweir
