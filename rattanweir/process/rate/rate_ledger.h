// This instance's part of every client account's rate and burst.
//
// Each instance owns an equal share of every account, 1/N with N the most
// instances that the configuration allows. Shares, never bare tokens, move
// between instances by leases with a fixed term, so that the fractions which
// all processes own sum to at most 1 at every instant and no process holds
// more tokens than its fraction of the burst. The fleet as a whole then admits
// at most rate * t + burst over every time t, whatever the views.
//
//   RateLedger ledger({ .m_clock = clock, .m_self = self });
//   ledger.Configure(catalog.ClientAccounts());
//   const ReserveResult result = ledger.Reserve(account, Tokens(500));
//   if (const auto* held = std::get_if<Reservation>(&result)) {
//     ...
//     ledger.Settle(*held, Tokens(320));
//   }
//
// A request that is short, or an admitted one that says so, asks a peer:
//
//   if (auto ask = ledger.PrepareLeaseRequest(account, Tokens(500), peers)) {
//     ledger.Accept(Send(ask->m_lender, *ask));
//     result = ledger.Reserve(account, Tokens(500), ReserveAttempt::Again);
//   }
//
// Ways weighed: docs/design/rate-leases.md. For one thread; check and
// deduction are one call, so nothing can come between them.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/units/units.h"
#include "rattanweir/version/section/section.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace rattanweir {

// Tokens taken out of the bucket for one request.
struct Reservation
{
  ClientAccountId m_clientAccount;
  Tokens m_tokens;
  // Ledger's own number for the reservation.
  std::uint64_t m_number = 0;
  // The share held here will soon not cover the demand: ask for a lease now,
  // with no tokens named, before a request has to wait for it.
  bool m_isRunningLow = false;
};

// The request needs more tokens than the account's whole burst.
struct ExceedsBurst
{};

// The account is not in the configuration in force.
struct UnknownClientAccount
{};

// Not enough tokens here now.
struct InsufficientTokens
{
  // How long until this instance alone could admit the request; nothing if it
  // never can with its own share and what it has borrowed.
  std::optional<std::chrono::milliseconds> m_retryAfter;
};

// The process was paused; it grants nothing until Resume is called.
struct LedgerPaused
{};

using ReserveResult = std::variant<Reservation,
                                   ExceedsBurst,
                                   UnknownClientAccount,
                                   InsufficientTokens,
                                   LedgerPaused>;

// Whether the request has been refused by Reserve before and waited: its
// demand is only counted once.
enum class ReserveAttempt
{
  First,
  Retry,
};

// Asks a peer for a share of one account for a term.
struct LeaseRequest
{
  // Made by the borrower; a repeated request with the same id is answered
  // with the same lease.
  LeaseId m_id;
  InstanceId m_borrower;
  Incarnation m_borrowerIncarnation;
  // Whom to ask.
  InstanceId m_lender;
  ClientAccountId m_clientAccount;
  // The share wanted, in units of what one instance owns; above 1 if one
  // lender cannot give it all.
  double m_fraction = 0;
  // The tokens wanted at hand.
  Tokens m_tokens;
  // The term the borrower counts, from before it asked.
  std::chrono::nanoseconds m_term{};
};

// A share of one account, rate and burst together, for a term. A fraction of
// zero is a refusal.
struct LeaseGrant
{
  LeaseId m_id;
  ClientAccountId m_clientAccount;
  // Of what the lender itself owns (1/N of the account), from 0 to 1. A share
  // keeps its meaning when rate, burst or N change while it is lent.
  double m_fraction = 0;
  // Handed over with it; at most the fraction of the lender's burst.
  double m_tokens = 0;
  std::chrono::nanoseconds m_term{};
  // When the lender may have more, where it gave less than was asked.
  std::chrono::nanoseconds m_retryAfter{};
};

// Gives a borrowed share back before its term ends, with the tokens that the
// borrower does not need. If it is lost, the term ends the lease.
struct LeaseReturn
{
  LeaseId m_id;
  InstanceId m_borrower;
  // Whom to tell.
  InstanceId m_lender;
  ClientAccountId m_clientAccount;
  double m_tokens = 0;
};

struct RateLedgerOptions
{
  const Clock& m_clock;
  InstanceId m_self;
  Incarnation m_incarnation;
  // The term of a lease. A process owns nothing for one term and margin after
  // it was made, since its predecessor may have lent its share; so the term is
  // the same at all instances.
  std::chrono::nanoseconds m_leaseTerm{ std::chrono::seconds(5) };
  // Added by the lender for the drift of clocks over a term; at least twice
  // the drift times the term.
  std::chrono::nanoseconds m_leaseMargin{ std::chrono::milliseconds(25) };
  // The most by which this process's clock runs fast or slow, as a part of
  // the time. Buckets refill this much slower, so that the bound holds in true
  // time.
  double m_clockDrift = 0.001;
  // A gap between two calls above this means that the process was paused.
  std::chrono::nanoseconds m_pauseBound{ std::chrono::seconds(1) };
  // A lease request without an answer for this long counts as refused.
  std::chrono::nanoseconds m_responseTimeout{ std::chrono::seconds(1) };
};

// What operators and metrics are told of one account, in fractions of the
// whole account.
struct RateStatus
{
  double m_ownedFraction = 0;
  double m_borrowedFraction = 0;
  double m_lentFraction = 0;
  double m_availableTokens = 0;
};

class RateLedger
{
public:
  explicit RateLedger(const RateLedgerOptions& aOptions);
  ~RateLedger();
  RateLedger(const RateLedger&) = delete;
  RateLedger& operator=(const RateLedger&) = delete;

  // Takes the accounts of a newer section. Buckets start empty; those of
  // accounts that stay are clipped to their new share.
  void Configure(const ClientAccountsSection& aSection);

  // Checks and deducts in one call. Any gap since the last call that is over
  // the pause bound is seen before a token is granted.
  ReserveResult Reserve(const ClientAccountId& aAccount,
                        Tokens aTokens,
                        ReserveAttempt aAttempt = ReserveAttempt::First);

  // How Reserve would end for a request behind others that wait for `aAhead`
  // tokens: takes nothing, and counts the demand of a first try.
  // InsufficientTokens if nothing speaks against it, with the time until all of
  // them had their tokens, zero if that is now.
  ReserveResult PreviewReserve(const ClientAccountId& aAccount,
                               Tokens aTokens,
                               Tokens aAhead,
                               ReserveAttempt aAttempt);

  // Gives back what was reserved and not used; only the first call for a
  // reservation counts. Call with the whole amount used where the request may
  // have run. A reservation from before a pause gives nothing back.
  void Settle(const Reservation& aReservation, Tokens aUsed);

  // The request to send to one of `aPeers` (nearest first) so that this
  // instance could admit `aTokens` and the demand of the next term, or nothing
  // if asking cannot help now: one request an account is outstanding at most,
  // and peers that had nothing are left alone for a while. Every request ends
  // with Accept, or after the answer timeout.
  std::optional<LeaseRequest> PrepareLeaseRequest(
    const ClientAccountId& aAccount,
    Tokens aTokens,
    const std::vector<InstanceId>& aPeers);

  // Lender's side: deducts first, then answers. Idempotent by lease id. Lends
  // what the account's recent demand here leaves unused, and never what is
  // borrowed.
  LeaseGrant Lend(const LeaseRequest& aRequest);

  // Borrower's side: counts the term from PrepareLeaseRequest. False if the
  // grant is a refusal, a repeat, late, or not the answer to a request of this
  // process. Where no answer can come (no connection), accept a grant that has
  // only the id and the account.
  bool Accept(const LeaseGrant& aGrant);

  // Called at least every half pause bound; sees pauses, ends leases, and
  // gives up borrowed shares that are not needed any more. Tell the lenders of
  // the returns, once each; no answer is needed.
  std::vector<LeaseReturn> Tick();

  // Lender's side: takes the share and its tokens back. False if the lease is
  // not lent any more.
  bool Reclaim(const LeaseReturn& aReturn);

  // Whether a pause was seen and Resume not yet called.
  bool IsPaused() const;

  // Ends the pause with empty buckets, once the place in the instance list
  // was checked.
  void Resume();

  // As of now. Sees no pause: only Reserve says what can be taken.
  RateStatus Status(const ClientAccountId& aAccount) const;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

} // namespace rattanweir
