// Baseline to compare with RateLedger: the shares of the instances are fixed,
// and an instance lends tokens without the part of its share that bounds them.
// Has the interface of RateLedger.

#pragma once

#include "rattanweir/process/rate/rate_ledger.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rattanweir {

struct TokenLeaseLedgerOptions
{
  const Clock& m_clock;
  InstanceId m_self;
  Incarnation m_incarnation;
  // False omits the deduction, to verify that checkers detect over-admission.
  bool m_lenderDeducts = true;
};

class TokenLeaseLedger
{
public:
  explicit TokenLeaseLedger(const TokenLeaseLedgerOptions& aOptions);

  void Configure(const ClientAccountsSection& aSection);
  ReserveResult Reserve(const ClientAccountId& aAccount,
                        Tokens aTokens,
                        ReserveAttempt aAttempt);
  void Settle(const Reservation& aReservation, Tokens aUsed);
  std::optional<LeaseRequest> PrepareLeaseRequest(
    const ClientAccountId& aAccount,
    Tokens aTokens,
    const std::vector<InstanceId>& aPeers);
  LeaseGrant Lend(const LeaseRequest& aRequest);
  bool Accept(const LeaseGrant& aGrant);
  std::vector<LeaseReturn> Tick() { return {}; }
  bool Reclaim(const LeaseReturn&) { return false; }
  bool IsPaused() const { return false; }
  void Resume() {}

private:
  struct Account
  {
    ClientAccount m_account;
    double m_local = 0;
    double m_received = 0;
    SteadyTime m_at;
    std::optional<LeaseId> m_pendingRequest;
    std::size_t m_nextPeer = 0;
  };

  Account& Refilled(const ClientAccountId& aId);

  TokenLeaseLedgerOptions m_options;
  double m_instances = 1;
  std::unordered_map<ClientAccountId, Account> m_accounts;
  std::map<LeaseId, LeaseGrant> m_granted;
  std::uint64_t m_lastNumber = 0;
};

} // namespace rattanweir
