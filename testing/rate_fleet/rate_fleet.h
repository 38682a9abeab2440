// A fleet of rate ledgers in one process, on a simulated network and clocks.
//
// The product's ledgers run unchanged; only time, messages and the callers are
// simulated. Each instance has its own clock with an offset and a drift. The
// same options and seed give the same run.
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

// How shares or tokens move between the instances.
enum class RateModel
{
  // Not at all: the product's ledger that never asks.
  StaticSplit,
  // Tokens without their share.
  TokenLeases,
  // The same, and the lender keeps what it lends.
  TokenLeasesNotDeducted,
  // The product.
  ShareLeases,
};

struct FleetOptions
{
  std::uint64_t m_seed = 1;
  RateModel m_model = RateModel::ShareLeases;
  ClientAccountsSection m_section;
  std::size_t m_instances = 8;
  // Of each message, as a probability.
  double m_lossProbability = 0;
  double m_duplicationProbability = 0;
  // Of each message: delayed by up to 8 s in place of the network's delay.
  double m_longDelayProbability = 0;
  // Between instances of one region, and of two; there are three regions.
  std::chrono::nanoseconds m_intraRegionDelay{ std::chrono::milliseconds(1) };
  std::chrono::nanoseconds m_interRegionDelay{ std::chrono::milliseconds(55) };
  // Clocks run fast or slow by up to this part.
  double m_maxDrift = 0.0009;
  // How long a request waits for tokens before it is refused.
  std::chrono::nanoseconds m_maxWait{ std::chrono::milliseconds(500) };
  // The part of the reserved tokens that requests use at least; the rest is
  // given back after up to two seconds.
  double m_minUsedFraction = 1;
};

// Requests of one account at one instance, with random times and sizes.
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

// What became of one account's requests.
struct FleetAccount
{
  std::uint64_t m_offered = 0;
  std::uint64_t m_admitted = 0;
  // What one bucket for the whole fleet would have admitted at once.
  std::uint64_t m_admittedByCentralLimiter = 0;
  AdmissionHistory m_history;

  // The part of the rightful requests that the fleet did not admit.
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

  // Faults and changes, from the time of the call.
  void Configure(const ClientAccountsSection& aSection);
  // Instances of different groups cannot reach each other.
  void Partition(const std::vector<int>& aGroupOfInstance);
  void Heal() { m_groups.clear(); }
  void Freeze(std::size_t aInstance);
  void Wake(std::size_t aInstance);
  void Restart(std::size_t aInstance);
  // One more process, in the region of the instance that it replaces; its
  // callers go there.
  void ReplaceInstance(std::size_t aInstance);

  double OverAdmission() const;
  const std::map<ClientAccountId, FleetAccount>& Accounts() const
  {
    return m_accounts;
  }
  std::uint64_t MessageCount() const { return m_messages; }
  // Of the messages' content as JSON text.
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
    // Where the callers of a replaced instance go.
    std::size_t m_replacement = 0;
    std::deque<std::function<void()>> m_backlog;
    std::deque<Waiting> m_waiting;
  };
  // Token bucket of a central limiter.
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
  // Runs the function on the instance, after its wake if it is frozen.
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
  // On its own, so that every model meets the same requests.
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
