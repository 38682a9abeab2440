#include "rattanweir/process/rate/rate_ledger.h"

#include "rattanweir/process/rate/internal/account_ledger.h"

#include <algorithm>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace rattanweir {
namespace {

using internal::AccountLedger;
using internal::ShareLimits;

// When a borrower may retry a lender that is paused or lacks the account.
constexpr std::chrono::nanoseconds kPausedLenderRetryAfter =
  std::chrono::seconds(1);

struct Account
{
  Tokens m_burst;
  AccountLedger m_ledger;
};

} // namespace

struct RateLedger::State
{
  explicit State(const RateLedgerOptions& aOptions)
    : m_options(aOptions)
    , m_startedAt(aOptions.m_clock.SteadyNow())
  {
  }

  RateLedgerOptions m_options;
  SteadyTime m_startedAt;
  std::uint32_t m_maximumInstances = 1;
  std::unordered_map<ClientAccountId, Account> m_accounts;
  // Removal times of accounts whose leases from before the removal may still
  // be in force.
  std::unordered_map<ClientAccountId, SteadyTime> m_removed;
  // Accounts that may hold leases; Tick visits only these.
  std::unordered_set<ClientAccountId> m_withLeases;
  // Numbers of the reservations that are not settled yet.
  std::unordered_set<std::uint64_t> m_openReservations;
  std::uint64_t m_lastReservation = 0;
  std::uint64_t m_lastLease = 0;
  // Time of the last call; nullopt before the first configuration.
  std::optional<SteadyTime> m_lastCall;
  bool m_isPaused = false;

  SteadyTime CheckForPause();
  Account* Find(const ClientAccountId& aId);
  // Returns the reason to refuse the request at any bucket level, or nullopt.
  std::optional<ReserveResult> CheckRefusal(const ClientAccountId& aId,
                                            Tokens aTokens);
  ShareLimits LimitsOf(const ClientAccount& aAccount) const;
  SteadyTime LeaseEnd(SteadyTime aFrom) const;
  SteadyTime ShareUsableFrom(const ClientAccountId& aId) const;
  void RemoveAccountsNotIn(const ClientAccountsSection& aSection,
                           SteadyTime aNow);
};

// Returns the current time. Every public call starts here, so that a pause is
// detected before the call has any other effect.
SteadyTime
RateLedger::State::CheckForPause()
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  if (!m_lastCall) {
    return now;
  }
  const std::chrono::nanoseconds gap = now - *m_lastCall;
  m_lastCall = now;
  if (gap <= m_options.m_pauseThreshold) {
    return now;
  }
  m_isPaused = true;
  m_openReservations.clear();
  for (auto& [id, account] : m_accounts) {
    account.m_ledger.Pause(now);
  }
  return now;
}

Account*
RateLedger::State::Find(const ClientAccountId& aId)
{
  const auto found = m_accounts.find(aId);
  return found == m_accounts.end() ? nullptr : &found->second;
}

std::optional<ReserveResult>
RateLedger::State::CheckRefusal(const ClientAccountId& aId, Tokens aTokens)
{
  if (m_isPaused) {
    return LedgerPaused{};
  }
  const Account* account = Find(aId);
  if (account == nullptr) {
    return UnknownClientAccount{};
  }
  if (aTokens > account->m_burst) {
    return ExceedsBurst{};
  }
  return std::nullopt;
}

ShareLimits
RateLedger::State::LimitsOf(const ClientAccount& aAccount) const
{
  const auto instances = static_cast<double>(m_maximumInstances);
  return { .m_tokensPerSecond =
             aAccount.m_rate.Value() * (1 - m_options.m_clockDrift) / instances,
           .m_burst =
             static_cast<double>(aAccount.m_burst.Value()) / instances };
}

SteadyTime
RateLedger::State::LeaseEnd(SteadyTime aFrom) const
{
  return aFrom + m_options.m_leaseTerm + m_options.m_leaseMargin;
}

// Returns when the own share of an account without state becomes usable. A
// lease granted by the previous process, or before the account was removed,
// may still be in force. With a single instance there are no borrowers.
SteadyTime
RateLedger::State::ShareUsableFrom(const ClientAccountId& aId) const
{
  if (m_maximumInstances == 1) {
    return m_startedAt;
  }
  const auto removed = m_removed.find(aId);
  return LeaseEnd(removed == m_removed.end() ? m_startedAt : removed->second);
}

void
RateLedger::State::RemoveAccountsNotIn(const ClientAccountsSection& aSection,
                                       SteadyTime aNow)
{
  std::unordered_set<ClientAccountId> kept;
  for (const ClientAccount& account : aSection.m_clientAccounts) {
    kept.insert(account.m_id);
  }
  std::erase_if(m_accounts, [&](const auto& aEntry) {
    if (kept.contains(aEntry.first)) {
      return false;
    }
    m_removed.insert_or_assign(aEntry.first, aNow);
    return true;
  });
}

RateLedger::RateLedger(const RateLedgerOptions& aOptions)
  : m_state(std::make_unique<State>(aOptions))
{
}

RateLedger::~RateLedger() = default;

void
RateLedger::Configure(const ClientAccountsSection& aSection)
{
  const SteadyTime now = m_state->CheckForPause();
  m_state->m_lastCall = now;
  m_state->m_maximumInstances = std::max(1U, aSection.m_maximumInstances);
  m_state->RemoveAccountsNotIn(aSection, now);
  for (const ClientAccount& account : aSection.m_clientAccounts) {
    const ShareLimits limits = m_state->LimitsOf(account);
    if (Account* known = m_state->Find(account.m_id)) {
      known->m_burst = account.m_burst;
      known->m_ledger.SetLimits(now, limits);
      continue;
    }
    const SteadyTime usableFrom = m_state->ShareUsableFrom(account.m_id);
    m_state->m_accounts.emplace(
      account.m_id,
      Account{ .m_burst = account.m_burst,
               .m_ledger =
                 AccountLedger(m_state->m_options, now, usableFrom, limits) });
  }
}

ReserveResult
RateLedger::Reserve(const ClientAccountId& aAccount,
                    Tokens aTokens,
                    ReserveAttempt aAttempt)
{
  const SteadyTime now = m_state->CheckForPause();
  if (const auto refusal = m_state->CheckRefusal(aAccount, aTokens)) {
    return *refusal;
  }
  AccountLedger& ledger = m_state->Find(aAccount)->m_ledger;
  const Tokens tokens = std::max(aTokens, Tokens(0));
  if (aAttempt == ReserveAttempt::First) {
    ledger.CountDemand(now, tokens);
  }
  if (const auto insufficient = ledger.TryConsume(now, tokens)) {
    return *insufficient;
  }
  const std::uint64_t number = ++m_state->m_lastReservation;
  m_state->m_openReservations.insert(number);
  return Reservation{ .m_clientAccount = aAccount,
                      .m_tokens = tokens,
                      .m_number = number,
                      .m_isRunningLow = ledger.IsRunningLow(now) };
}

ReserveResult
RateLedger::PreviewReserve(const ClientAccountId& aAccount,
                           Tokens aTokens,
                           Tokens aTokensAhead,
                           ReserveAttempt aAttempt)
{
  const SteadyTime now = m_state->CheckForPause();
  if (const auto refusal = m_state->CheckRefusal(aAccount, aTokens)) {
    return *refusal;
  }
  AccountLedger& ledger = m_state->Find(aAccount)->m_ledger;
  const Tokens tokens = std::max(aTokens, Tokens(0));
  if (aAttempt == ReserveAttempt::First) {
    ledger.CountDemand(now, tokens);
  }
  return ledger.EstimateWait(now, tokens, aTokensAhead);
}

void
RateLedger::Settle(const Reservation& aReservation, Tokens aUsed)
{
  const SteadyTime now = m_state->CheckForPause();
  if (m_state->m_openReservations.erase(aReservation.m_number) == 0) {
    return;
  }
  Account* account = m_state->Find(aReservation.m_clientAccount);
  const Tokens used = std::max(aUsed, Tokens(0));
  if (account != nullptr && used < aReservation.m_tokens) {
    account->m_ledger.Refund(now, aReservation.m_tokens - used);
  }
}

std::optional<LeaseRequest>
RateLedger::PrepareLeaseRequest(const ClientAccountId& aAccount,
                                Tokens aTokens,
                                const std::vector<InstanceId>& aPeers)
{
  const SteadyTime now = m_state->CheckForPause();
  Account* account = m_state->Find(aAccount);
  if (m_state->m_isPaused || account == nullptr) {
    return std::nullopt;
  }
  auto request = account->m_ledger.PrepareRequest(now, aTokens, aPeers);
  if (!request) {
    return std::nullopt;
  }
  const RateLedgerOptions& options = m_state->m_options;
  request->m_id = LeaseId(options.m_self.Value() + "/" +
                          std::to_string(options.m_incarnation.Value()) + "/" +
                          std::to_string(++m_state->m_lastLease));
  account->m_ledger.SetRequestId(request->m_id);
  request->m_borrower = options.m_self;
  request->m_borrowerIncarnation = options.m_incarnation;
  request->m_clientAccount = aAccount;
  return request;
}

LeaseGrant
RateLedger::Lend(const LeaseRequest& aRequest)
{
  const SteadyTime now = m_state->CheckForPause();
  Account* account = m_state->Find(aRequest.m_clientAccount);
  if (m_state->m_isPaused || account == nullptr) {
    return { .m_id = aRequest.m_id,
             .m_clientAccount = aRequest.m_clientAccount,
             .m_retryAfter = kPausedLenderRetryAfter };
  }
  m_state->m_withLeases.insert(aRequest.m_clientAccount);
  return account->m_ledger.Lend(now, aRequest);
}

bool
RateLedger::Accept(const LeaseGrant& aGrant)
{
  const SteadyTime now = m_state->CheckForPause();
  Account* account = m_state->Find(aGrant.m_clientAccount);
  if (m_state->m_isPaused || account == nullptr) {
    return false;
  }
  m_state->m_withLeases.insert(aGrant.m_clientAccount);
  return account->m_ledger.Accept(now, aGrant);
}

std::vector<LeaseReturn>
RateLedger::Tick()
{
  const SteadyTime now = m_state->CheckForPause();
  std::vector<LeaseReturn> returns;
  std::erase_if(m_state->m_withLeases, [&](const ClientAccountId& aId) {
    Account* account = m_state->Find(aId);
    if (account == nullptr) {
      return true;
    }
    for (LeaseReturn& released : account->m_ledger.ExpireLeases(now)) {
      released.m_borrower = m_state->m_options.m_self;
      released.m_clientAccount = aId;
      returns.push_back(std::move(released));
    }
    return !account->m_ledger.Bucket().HasLeases();
  });
  std::erase_if(m_state->m_removed, [&](const auto& aEntry) {
    return m_state->LeaseEnd(aEntry.second) <= now;
  });
  return returns;
}

bool
RateLedger::Reclaim(const LeaseReturn& aReturn)
{
  const SteadyTime now = m_state->CheckForPause();
  Account* account = m_state->Find(aReturn.m_clientAccount);
  return account != nullptr && account->m_ledger.Reclaim(now, aReturn);
}

bool
RateLedger::IsPaused() const
{
  return m_state->m_isPaused;
}

void
RateLedger::Resume()
{
  const SteadyTime now = m_state->CheckForPause();
  m_state->m_isPaused = false;
  for (auto& [id, account] : m_state->m_accounts) {
    account.m_ledger.Empty(now);
  }
}

RateStatus
RateLedger::Status(const ClientAccountId& aAccount) const
{
  const Account* account = m_state->Find(aAccount);
  if (account == nullptr) {
    return {};
  }
  internal::ShareBucket bucket = account->m_ledger.Bucket();
  bucket.Advance(m_state->m_options.m_clock.SteadyNow());
  const auto instances = static_cast<double>(m_state->m_maximumInstances);
  return { .m_ownedFraction = 1 / instances,
           .m_borrowedFraction = bucket.BorrowedShare() / instances,
           .m_lentFraction = (1 - bucket.UnlentShare()) / instances,
           .m_availableTokens = bucket.Tokens() };
}

} // namespace rattanweir
