// RateFleet's simulation of callers' requests, and of the lease messages that
// instances send when tokens run short.

#include "testing/rate_fleet/rate_fleet.h"
#include "testing/rate_fleet/rate_fleet_internal.h"

#include <algorithm>
#include <string>
#include <utility>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;
using internal::Scaled;
using internal::With;
using std::chrono::nanoseconds;

constexpr nanoseconds kRetryInterval = 25ms;
constexpr nanoseconds kResponseTimeout = 300ms;
constexpr nanoseconds kMaxSettleDelay = 2s;

std::size_t
BytesOf(const LeaseRequest& aRequest)
{
  const std::string text =
    R"({"id":"","borrower":"","incarnation":,"client_account":"","fraction":)" +
    aRequest.m_id.Value() + aRequest.m_borrower.Value() +
    std::to_string(aRequest.m_borrowerIncarnation.Value()) +
    aRequest.m_clientAccount.Value() + std::to_string(aRequest.m_fraction) +
    R"(,"tokens":,"term_ms":})" + std::to_string(aRequest.m_tokens.Value()) +
    std::to_string(aRequest.m_term / 1ms);
  return text.size();
}

std::size_t
BytesOf(const LeaseGrant& aGrant)
{
  const std::string text =
    R"({"id":"","client_account":"","fraction":,"tokens":,"term_ms":)" +
    aGrant.m_id.Value() + aGrant.m_clientAccount.Value() +
    std::to_string(aGrant.m_fraction) + std::to_string(aGrant.m_tokens) +
    std::to_string(aGrant.m_term / 1ms) + R"(,"ask_again_after_ms":})" +
    std::to_string(aGrant.m_retryAfter / 1ms);
  return text.size();
}

std::size_t
BytesOf(const LeaseReturn& aReturn)
{
  const std::string text =
    R"({"id":"","borrower":"","client_account":"","tokens":})" +
    aReturn.m_id.Value() + aReturn.m_borrower.Value() +
    aReturn.m_clientAccount.Value() + std::to_string(aReturn.m_tokens);
  return text.size();
}

} // namespace

void
RateFleet::AddLoad(const FleetLoad& aLoad)
{
  ScheduleArrival(aLoad, aLoad.m_from);
}

void
RateFleet::ScheduleArrival(const FleetLoad& aLoad, Duration aAfter)
{
  const double mean =
    static_cast<double>(aLoad.m_minTokens + aLoad.m_maxTokens) / 2;
  std::exponential_distribution<> gap(aLoad.m_tokensPerSecond / mean);
  const Duration at = std::max(m_now, aAfter) + Scaled(1s, gap(m_loadEngine));
  if (at > aLoad.m_until) {
    return;
  }
  At(at, [this, aLoad] {
    std::uniform_int_distribution<std::int64_t> size(aLoad.m_minTokens,
                                                     aLoad.m_maxTokens);
    const Tokens tokens(size(m_loadEngine));
    const std::size_t node = m_nodes[aLoad.m_instance]->m_replacement;
    CountCentralAdmission(aLoad.m_account, tokens);
    OnNode(node, [this, node, aLoad, tokens] {
      Arrive(node, aLoad.m_account, tokens);
    });
    ScheduleArrival(aLoad, m_now);
  });
}

void
RateFleet::CountCentralAdmission(const ClientAccountId& aAccount, Tokens aSize)
{
  FleetAccount& account = m_accounts[aAccount];
  ++account.m_offered;
  CentralBucket& central = m_central[aAccount];
  central.m_tokens =
    std::min(central.m_burst,
             central.m_tokens +
               central.m_rate *
                 std::chrono::duration<double>(m_now - central.m_at).count());
  central.m_at = m_now;
  const auto size = static_cast<double>(aSize.Value());
  if (size <= central.m_tokens) {
    central.m_tokens -= size;
    ++account.m_admittedByCentralLimiter;
  }
}

void
RateFleet::Arrive(std::size_t aNode,
                  const ClientAccountId& aAccount,
                  Tokens aSize)
{
  if (TryReserve(aNode, aAccount, aSize, ReserveAttempt::First)) {
    return;
  }
  Node& node = *m_nodes[aNode];
  node.m_waiting.push_back({ .m_account = aAccount,
                             .m_tokens = aSize,
                             .m_deadline = m_now + m_options.m_maxWait });
  RequestLease(aNode, aAccount, aSize);
  if (node.m_waiting.size() == 1) {
    ScheduleRetry(aNode, kRetryInterval);
  }
}

bool
RateFleet::TryReserve(std::size_t aNode,
                      const ClientAccountId& aAccount,
                      Tokens aSize,
                      ReserveAttempt aAttempt)
{
  const ReserveResult result =
    With(m_nodes[aNode]->m_ledger, [&](auto& aLedger) {
      return aLedger.Reserve(aAccount, aSize, aAttempt);
    });
  const auto* reservation = std::get_if<Reservation>(&result);
  if (reservation == nullptr) {
    return false;
  }
  RecordAdmission(aNode, *reservation);
  if (reservation->m_isRunningLow) {
    RequestLease(aNode, aAccount, Tokens(0));
  }
  return true;
}

void
RateFleet::RecordAdmission(std::size_t aNode, const Reservation& aReservation)
{
  FleetAccount& account = m_accounts[aReservation.m_clientAccount];
  ++account.m_admitted;
  const auto reserved = static_cast<double>(aReservation.m_tokens.Value());
  account.m_history.Add(Seconds(), reserved);
  if (m_options.m_minUsedFraction >= 1) {
    return;
  }
  const double part =
    m_options.m_minUsedFraction + (1 - m_options.m_minUsedFraction) * Random();
  const Tokens used(static_cast<std::int64_t>(reserved * part));
  At(m_now + Scaled(kMaxSettleDelay, Random()),
     [this, aNode, aReservation, used] {
       OnNode(aNode, [this, aNode, aReservation, used] {
         With(m_nodes[aNode]->m_ledger,
              [&](auto& aLedger) { aLedger.Settle(aReservation, used); });
         m_accounts[aReservation.m_clientAccount].m_history.Add(
           Seconds(),
           -static_cast<double>((aReservation.m_tokens - used).Value()));
       });
     });
}

// Retries waiting requests in the order of arrival. A request that still lacks
// tokens blocks the later requests of its account.
void
RateFleet::RetryWaiting(std::size_t aNode)
{
  std::map<ClientAccountId, Tokens> blockedAccounts;
  std::deque<Waiting> remaining;
  for (const Waiting& waiting : std::exchange(m_nodes[aNode]->m_waiting, {})) {
    const bool isHeldUp = blockedAccounts.contains(waiting.m_account);
    if (!isHeldUp &&
        TryReserve(
          aNode, waiting.m_account, waiting.m_tokens, ReserveAttempt::Retry)) {
      continue;
    }
    if (waiting.m_deadline <= m_now) {
      continue;
    }
    blockedAccounts.emplace(waiting.m_account, waiting.m_tokens);
    remaining.push_back(waiting);
  }
  m_nodes[aNode]->m_waiting = std::move(remaining);
  for (const auto& [account, tokens] : blockedAccounts) {
    RequestLease(aNode, account, tokens);
  }
}

void
RateFleet::ScheduleRetry(std::size_t aNode, Duration aAfter)
{
  At(m_now + aAfter, [this, aNode] {
    OnNode(aNode, [this, aNode] {
      RetryWaiting(aNode);
      if (!m_nodes[aNode]->m_waiting.empty()) {
        ScheduleRetry(aNode, kRetryInterval);
      }
    });
  });
}

void
RateFleet::RequestLease(std::size_t aNode,
                        const ClientAccountId& aAccount,
                        Tokens aTokens)
{
  if (m_options.m_model == RateModel::StaticSplit) {
    return;
  }
  const auto request = With(m_nodes[aNode]->m_ledger, [&](auto& aLedger) {
    return aLedger.PrepareLeaseRequest(aAccount, aTokens, PeersOf(aNode));
  });
  if (!request) {
    return;
  }
  const std::size_t lender = IndexOf(request->m_lender);
  Send(aNode, lender, BytesOf(*request), [this, request, aNode] {
    HandleRequest(*request, aNode);
  });
  const LeaseGrant nothing{ .m_id = request->m_id,
                            .m_clientAccount = aAccount };
  At(m_now + kResponseTimeout, [this, aNode, nothing] {
    OnNode(aNode, [this, aNode, nothing] { HandleGrant(aNode, nothing); });
  });
}

void
RateFleet::HandleRequest(const LeaseRequest& aRequest, std::size_t aFrom)
{
  const std::size_t lender = IndexOf(aRequest.m_lender);
  const LeaseGrant grant = With(m_nodes[lender]->m_ledger, [&](auto& aLedger) {
    return aLedger.Lend(aRequest);
  });
  Send(lender, aFrom, BytesOf(grant), [this, aFrom, grant] {
    HandleGrant(aFrom, grant);
  });
}

void
RateFleet::HandleGrant(std::size_t aNode, const LeaseGrant& aGrant)
{
  With(m_nodes[aNode]->m_ledger,
       [&](auto& aLedger) { return aLedger.Accept(aGrant); });
  RetryWaiting(aNode);
}

void
RateFleet::Tick(std::size_t aNode)
{
  const std::vector<LeaseReturn> returns = With(
    m_nodes[aNode]->m_ledger, [](auto& aLedger) { return aLedger.Tick(); });
  for (const LeaseReturn& lease : returns) {
    const std::size_t lender = IndexOf(lease.m_lender);
    Send(aNode, lender, BytesOf(lease), [this, lender, lease] {
      With(m_nodes[lender]->m_ledger,
           [&lease](auto& aLedger) { aLedger.Reclaim(lease); });
    });
  }
}

} // namespace rattanweir
