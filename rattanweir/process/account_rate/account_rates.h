// Rate limiter of the users' platform (settings with `fleet`): limits each
// client account to its fleet-wide rate, without a message per request. The
// product's own interface has RateLedger instead.
//
//   AccountRates rates({ .m_clock = clock });
//   rates.Configure(config);
//   rates.SetPeers(usages);
//   const RateDecision decision = rates.Admit(account, Tokens(430));
//   if (const auto* refused = std::get_if<OverRate>(&decision)) ...
//
// Every instance keeps one token bucket per account for the usage of the entire
// fleet. Its own requests are deducted at once, and those of peers when gossip
// reports them; between two reports, an estimate of the peer's usage is
// deducted. An account within its rate is therefore not refused, whichever
// instances its callers connect to, and an account far over its rate gets its
// rate.
//
// The estimate takes the demand that the peer reported and scales it by the
// growth of the local demand since that report. Peers without new reports may
// be partitioned from this instance and still be serving, so the estimate
// continues for them. Once the bucket is empty, the instances share its rate in
// proportion to their demand.
//
// The bucket may go below zero by the tolerance and by one request, so that
// large requests do not starve. Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/units/units.h"
#include "rattanweir/version/fleet_config/fleet_config.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace rattanweir {

// The request was admitted.
struct WithinRate
{};

// The account is over its rate.
struct OverRate
{
  // Time until the refused cost fits above the lowest level that admits
  // requests.
  std::chrono::nanoseconds m_retryAfter{};
};

using RateDecision = std::variant<WithinRate, OverRate>;

// One instance's usage of one account, as advertised to its peers.
struct AccountUsage
{
  // Requested tokens per second, admitted or not.
  double m_demand = 0;
  // Tokens admitted since the process started.
  std::uint64_t m_admitted = 0;
};

using AccountUsages = std::map<ClientAccountId, AccountUsage>;

// The last usage report of a peer.
struct PeerUsage
{
  InstanceId m_id;
  Incarnation m_incarnation;
  // Increases with every report.
  std::uint64_t m_sequence = 0;
  // Must outlive this object.
  const AccountUsages& m_usages;
};

struct AccountRatesOptions
{
  const Clock& m_clock;
  // Time constant of the demand average.
  std::chrono::nanoseconds m_demandWindow{ std::chrono::seconds(1) };
  // Fraction of the burst in the bucket of a new account. Below 1, since the
  // fleet may have spent the burst just before the process started.
  double m_initialBurstFraction = 0.25;
  // Tokens that may be admitted beyond an account's rate and burst.
  Tokens m_tolerance;
};

class AccountRates
{
public:
  explicit AccountRates(const AccountRatesOptions& aOptions);

  // Applies the accounts of a configuration. Existing accounts keep their
  // bucket level, up to the new burst. Accounts without a rate are not limited.
  void Configure(const FleetConfig& aConfig);

  // Sets the reports of all peers that may be running, and deducts what they
  // admitted since their previous reports. Call several times per second. The
  // cost is lowest if the peers and their order are those of the previous call.
  void SetPeers(const std::vector<PeerUsage>& aPeers);

  // Counts the cost as demand, and deducts it if the request is admitted.
  RateDecision Admit(const ClientAccountId& aAccount, Tokens aCost);

  // Returns this instance's usage, to be advertised to the peers.
  AccountUsages LocalUsages() const;

  // Returns the bucket level in tokens for the entire fleet, as of the last
  // update; negative if more was admitted. Returns 0 for unlimited accounts.
  double BucketLevel(const ClientAccountId& aAccount) const;

private:
  // What a report changes in each bucket.
  enum class ReportKind
  {
    // The same report as before.
    Known,
    // A later report of the same process.
    Next,
    // The first report of a process.
    First,
  };

  // The latest known report of a peer. The position in m_peers is that of the
  // peer's usage in each bucket.
  struct Peer
  {
    InstanceId m_id;
    Incarnation m_incarnation;
    // Unset until the first report is applied.
    std::optional<std::uint64_t> m_sequence;
    // What the report that is being applied changes.
    ReportKind m_report = ReportKind::First;
  };

  // Usage of one account by one peer that is accounted for in the bucket.
  struct PeerState
  {
    // False until a report is applied.
    bool m_hasReport = false;
    // The admitted tokens of the last report plus the estimate since then.
    double m_accountedTokens = 0;
    // The local demand when the last report arrived.
    double m_localDemandAtReport = 0;
    // The demand of the last report.
    double m_reportedDemand = 0;
    // Estimated demand in tokens per second.
    double m_demand = 0;
  };

  // Exponentially decaying average in tokens per second.
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
    std::vector<PeerState> m_peers;
  };

  // Returns the level that the bucket must exceed to admit a request.
  double MinLevel() const;
  double DecayedValue(const Average& aAverage, SteadyTime aNow) const;
  void AddSample(Average& aAverage, double aTokens, SteadyTime aNow) const;
  void Advance(Bucket& aBucket, SteadyTime aNow) const;
  // Gives the peers of the new reports a place in m_peers and in each bucket,
  // and forgets the others.
  void ReplacePeers(const std::vector<PeerUsage>& aPeers);
  // Takes the reports, one for each of m_peers, over into m_peers.
  void TakeReports(const std::vector<PeerUsage>& aPeers);
  void ApplyReport(const AccountUsage& aUsage,
                   double aLocalDemand,
                   std::size_t aPeer,
                   Bucket& aBucket) const;

  AccountRatesOptions m_options;
  std::map<ClientAccountId, Bucket> m_buckets;
  // In the order of the reports.
  std::vector<Peer> m_peers;
};

} // namespace rattanweir
