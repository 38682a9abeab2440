// Simulates a fleet of rate ledgers in one process, with a simulated network
// and simulated clocks.
//
// Runs the product's ledgers unchanged; simulates time, messages and callers.
// Each instance has its own clock with an offset and a drift. The same options
// and seed reproduce the same run.
//
//   RateFleet fleet({ .m_seed = 7, .m_section = section });
//   fleet.AddLoad({ .m_account = account, .m_instance = 0,
//                   .m_tokensPerSecond = 1'900 });
//   fleet.At(30s, [&] { fleet.Freeze(2); });
//   fleet.Run(60s);
//   double over = fleet.OverAdmission();

#pragma once

#include "rattanweir/base/clock/manual_clock.h"
#include "rattanweir/base/random/random.h"
#include "rattanweir/process/rate/rate_ledger.h"
#include "testing/rate_fleet/admission_history.h"
#include "testing/rate_fleet/token_lease_ledger.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <variant>
#include <vector>

namespace rattanweir {

// How instances exchange shares or tokens.
enum class RateModel
{
  // No exchange: the product's ledger without lease requests.
  StaticSplit,
  // Leases of tokens without the share (TokenLeaseLedger).
  TokenLeases,
  // As TokenLeases, but the lender does not deduct the tokens that it lends.
  TokenLeasesNotDeducted,
  // The product's leases of shares.
  ShareLeases,
};

struct FleetOptions
{
  std::uint64_t m_seed = 1;
  RateModel m_model = RateModel::ShareLeases;
  ClientAccountsSection m_section;
  std::size_t m_instances = 8;
  // Probabilities per message.
  double m_lossProbability = 0;
  double m_duplicationProbability = 0;
  // Probability that a message is delayed by up to 8 s instead of the network
  // delay.
  double m_longDelayProbability = 0;
  // Network delay within a region and between regions; there are three regions.
  std::chrono::nanoseconds m_intraRegionDelay{ std::chrono::milliseconds(1) };
  std::chrono::nanoseconds m_interRegionDelay{ std::chrono::milliseconds(55) };
  // Maximum relative drift of an instance's clock.
  double m_maxDrift = 0.0009;
  // How long a request waits for tokens before it is refused.
  std::chrono::nanoseconds m_maxWait{ std::chrono::milliseconds(500) };
  // Minimum fraction of the reserved tokens that a request uses; the rest is
  // refunded after up to 2 s.
  double m_minUsedFraction = 1;
};

// Load of one account at one instance, with random arrival times and request
// sizes in tokens.
struct FleetLoad
{
  ClientAccountId m_account;
  std::size_t m_instance = 0;
  double m_tokensPerSecond = 0;
  std::int64_t m_minTokens = 100;
  std::int64_t m_maxTokens = 900;
  std::chrono::nanoseconds m_from{};
  std::chrono::nanoseconds m_until = std::chrono::hours(1);
};

// Outcome of one account's requests.
struct FleetAccount
{
  std::uint64_t m_offered = 0;
  std::uint64_t m_admitted = 0;
  // Requests that one token bucket for the complete fleet would have admitted
  // without waiting.
  std::uint64_t m_admittedByCentralLimiter = 0;
  AdmissionHistory m_history;

  // Returns the shortfall of admitted requests as a fraction of
  // m_admittedByCentralLimiter; 0 if the fleet admitted at least as many.
  double WronglyRefusedFraction() const;
};

class RateFleet
{
public:
  using Duration = std::chrono::nanoseconds;

  explicit RateFleet(const FleetOptions& aOptions);
  ~RateFleet();

  void AddLoad(const FleetLoad& aLoad);
  void At(Duration aTime, std::function<void()> aFunction);
  void Run(Duration aUntil);

  // Apply faults and changes from the current simulated time on.
  void Configure(const ClientAccountsSection& aSection);
  // Instances of different groups cannot reach each other.
  void Partition(const std::vector<int>& aGroupOfInstance);
  void Heal() { m_groups.clear(); }
  void Freeze(std::size_t aInstance);
  void Wake(std::size_t aInstance);
  void Restart(std::size_t aInstance);
  // Adds an instance in the region of the replaced one and redirects that
  // instance's callers to the new one. The replaced instance continues to run.
  void ReplaceInstance(std::size_t aInstance);

  double OverAdmission() const;
  const std::map<ClientAccountId, FleetAccount>& Accounts() const
  {
    return m_accounts;
  }
  std::uint64_t MessageCount() const { return m_messages; }
  // Returns the size of the messages' content as JSON text.
  std::uint64_t MessageBytes() const { return m_messageBytes; }
  std::size_t InstanceCount() const { return m_nodes.size(); }
  RandomEngine& Engine() { return m_engine; }

private:
  using Ledger = std::variant<std::monostate,
                              std::unique_ptr<RateLedger>,
                              std::unique_ptr<TokenLeaseLedger>>;
  struct Waiting
  {
    ClientAccountId m_account;
    Tokens m_tokens;
    Duration m_deadline{};
  };
  struct Node
  {
    InstanceId m_id;
    std::size_t m_region = 0;
    ManualClock m_clock;
    double m_speed = 1;
    Duration m_trueTime{};
    Ledger m_ledger;
    std::uint64_t m_incarnation = 1;
    bool m_isFrozen = false;
    bool m_isResuming = false;
    // Index of the instance that receives this one's callers; its own index
    // unless replaced.
    std::size_t m_replacement = 0;
    std::deque<std::function<void()>> m_backlog;
    std::deque<Waiting> m_waiting;
  };
  // Token bucket of a central limiter, as the reference.
  struct CentralBucket
  {
    double m_tokens = 0;
    double m_rate = 0;
    double m_burst = 0;
    Duration m_at{};
  };

  void AddNode(std::size_t aRegion);
  void Start(Node& aNode);
  void Sync(Node& aNode);
  // Runs the function on the instance; defers the function until Wake if the
  // instance is frozen.
  void OnNode(std::size_t aNode, std::function<void()> aFunction);
  void Send(std::size_t aFrom,
            std::size_t aTo,
            std::size_t aBytes,
            const std::function<void()>& aFunction);
  Duration DelayBetween(std::size_t aFrom, std::size_t aTo);
  void ScheduleTick(std::size_t aNode);
  void ScheduleArrival(const FleetLoad& aLoad, Duration aAfter);
  void Arrive(std::size_t aNode, const ClientAccountId& aAccount, Tokens aSize);
  bool TryReserve(std::size_t aNode,
                  const ClientAccountId& aAccount,
                  Tokens aSize,
                  ReserveAttempt aAttempt);
  void CountCentralAdmission(const ClientAccountId& aAccount, Tokens aSize);
  void RecordAdmission(std::size_t aNode, const Reservation& aReservation);
  void RetryWaiting(std::size_t aNode);
  void ScheduleRetry(std::size_t aNode, Duration aAfter);
  void RequestLease(std::size_t aNode,
                    const ClientAccountId& aAccount,
                    Tokens aTokens);
  void HandleRequest(const LeaseRequest& aRequest, std::size_t aFrom);
  void HandleGrant(std::size_t aNode, const LeaseGrant& aGrant);
  void Tick(std::size_t aNode);
  void ScheduleResumeIfPaused(std::size_t aNode);
  std::vector<InstanceId> PeersOf(std::size_t aNode) const;
  std::size_t IndexOf(const InstanceId& aId) const;
  double Random() { return std::uniform_real_distribution<>()(m_engine); }
  double Seconds() const
  {
    return std::chrono::duration<double>(m_now).count();
  }

  FleetOptions m_options;
  RandomEngine m_engine;
  // Separate from m_engine, so that every model receives the same requests.
  RandomEngine m_loadEngine;
  Duration m_now{};
  std::uint64_t m_sequence = 0;
  std::map<std::pair<Duration, std::uint64_t>, std::function<void()>> m_events;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<int> m_groups;
  std::map<ClientAccountId, FleetAccount> m_accounts;
  std::map<ClientAccountId, CentralBucket> m_central;
  std::uint64_t m_messages = 0;
  std::uint64_t m_messageBytes = 0;
};

} // namespace rattanweir
