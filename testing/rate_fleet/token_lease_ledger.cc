#include "testing/rate_fleet/token_lease_ledger.h"

#include <algorithm>
#include <string>

namespace rattanweir {

TokenLeaseLedger::TokenLeaseLedger(const TokenLeaseLedgerOptions& aOptions)
  : m_options(aOptions)
{
}

void
TokenLeaseLedger::Configure(const ClientAccountsSection& aSection)
{
  m_instances = aSection.m_maximumInstances;
  for (const ClientAccount& account : aSection.m_clientAccounts) {
    auto [found, isNew] = m_accounts.try_emplace(account.m_id);
    found->second.m_account = account;
    if (isNew) {
      found->second.m_at = m_options.m_clock.SteadyNow();
    }
  }
}

TokenLeaseLedger::Account&
TokenLeaseLedger::Refilled(const ClientAccountId& aId)
{
  Account& account = m_accounts.at(aId);
  const SteadyTime now = m_options.m_clock.SteadyNow();
  const double seconds =
    std::chrono::duration<double>(now - account.m_at).count();
  const double refill = account.m_account.m_rate.Value() / m_instances;
  const double cap =
    static_cast<double>(account.m_account.m_burst.Value()) / m_instances;
  account.m_local = std::min(cap, account.m_local + refill * seconds);
  account.m_at = now;
  return account;
}

ReserveResult
TokenLeaseLedger::Reserve(const ClientAccountId& aAccount,
                          Tokens aTokens,
                          ReserveAttempt /*aAttempt*/)
{
  Account& account = Refilled(aAccount);
  const auto tokens = static_cast<double>(aTokens.Value());
  if (tokens > account.m_local + account.m_received) {
    return InsufficientTokens{};
  }
  const double received = std::min(tokens, account.m_received);
  account.m_received -= received;
  account.m_local -= tokens - received;
  return Reservation{ .m_clientAccount = aAccount,
                      .m_tokens = aTokens,
                      .m_number = ++m_lastNumber };
}

void
TokenLeaseLedger::Settle(const Reservation& aReservation, Tokens aUsed)
{
  Refilled(aReservation.m_clientAccount).m_local +=
    static_cast<double>((aReservation.m_tokens - aUsed).Value());
}

std::optional<LeaseRequest>
TokenLeaseLedger::PrepareLeaseRequest(const ClientAccountId& aAccount,
                                      Tokens aTokens,
                                      const std::vector<InstanceId>& aPeers)
{
  Account& account = Refilled(aAccount);
  if (account.m_pendingRequest || aPeers.empty()) {
    return std::nullopt;
  }
  account.m_pendingRequest =
    LeaseId(m_options.m_self.Value() + "/" +
            std::to_string(m_options.m_incarnation.Value()) + "/" +
            std::to_string(++m_lastNumber));
  return LeaseRequest{ .m_id = *account.m_pendingRequest,
                       .m_borrower = m_options.m_self,
                       .m_borrowerIncarnation = m_options.m_incarnation,
                       .m_lender = aPeers[account.m_nextPeer++ % aPeers.size()],
                       .m_clientAccount = aAccount,
                       .m_tokens = aTokens };
}

LeaseGrant
TokenLeaseLedger::Lend(const LeaseRequest& aRequest)
{
  const auto granted = m_granted.find(aRequest.m_id);
  if (granted != m_granted.end()) {
    return granted->second;
  }
  Account& account = Refilled(aRequest.m_clientAccount);
  LeaseGrant grant{ .m_id = aRequest.m_id,
                    .m_clientAccount = aRequest.m_clientAccount };
  grant.m_tokens =
    std::min(static_cast<double>(aRequest.m_tokens.Value()), account.m_local);
  if (m_options.m_lenderDeducts) {
    account.m_local -= grant.m_tokens;
  }
  m_granted.emplace(grant.m_id, grant);
  return grant;
}

bool
TokenLeaseLedger::Accept(const LeaseGrant& aGrant)
{
  Account& account = Refilled(aGrant.m_clientAccount);
  if (account.m_pendingRequest != aGrant.m_id) {
    return false;
  }
  account.m_pendingRequest.reset();
  account.m_received += aGrant.m_tokens;
  return aGrant.m_tokens > 0;
}

} // namespace rattanweir
