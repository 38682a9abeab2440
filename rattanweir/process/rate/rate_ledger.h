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
// Ways weighed: docs/design/rate-leases.md. For one thread; check and
// deduction are one call, so nothing can come between them.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/units/units.h"
#include "rattanweir/version/section/section.h"

#include <chrono>
#include <map>
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
};

// The request needs more tokens than the account's whole burst.
struct ExceedsBurst
{};

// The account is not in the configuration in force.
struct UnknownClientAccount
{};

// Not enough tokens here now.
struct RateShort
{
  // How long until this instance alone could admit the request; nothing if it
  // never can with the share that it holds.
  std::optional<std::chrono::milliseconds> m_comeBackAfter;
};

// The process was paused; it grants nothing until Resume is called.
struct LedgerPaused
{};

using ReserveResult = std::variant<Reservation,
                                   ExceedsBurst,
                                   UnknownClientAccount,
                                   RateShort,
                                   LedgerPaused>;

// Asks a peer for a share of one account for a term.
struct LeaseRequest
{
  // Made by the borrower; a repeated request with the same id is answered
  // with the same lease.
  LeaseId m_id;
  InstanceId m_borrower;
  Incarnation m_borrowerIncarnation;
  ClientAccountId m_clientAccount;
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
  // Of the whole account's rate and burst.
  double m_fraction = 0;
  // Handed over with it; at most the fraction of the burst.
  double m_tokens = 0;
  std::chrono::nanoseconds m_term{};
  // Where to turn to no sooner than this, after a refusal.
  std::chrono::nanoseconds m_askAgainAfter{};
};

struct RateLedgerOptions
{
  const Clock& m_clock;
  InstanceId m_self;
  Incarnation m_incarnation;
  // The term of a lease.
  std::chrono::nanoseconds m_leaseTerm{ std::chrono::seconds(5) };
  // Added by the lender for the drift of clocks over a term.
  std::chrono::nanoseconds m_leaseMargin{ std::chrono::milliseconds(250) };
  // A gap between two calls to Tick above this means that the process was
  // paused.
  std::chrono::nanoseconds m_pauseBound{ std::chrono::seconds(1) };
};

// What operators and metrics are told of one account.
struct RateStatus
{
  double m_ownedFraction = 0;
  double m_borrowedFraction = 0;
  double m_lentFraction = 0;
  double m_tokensAtHand = 0;
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

  // Checks and deducts in one call.
  ReserveResult Reserve(const ClientAccountId& aAccount, Tokens aTokens);

  // Gives back what was reserved and not used. Call with the whole amount
  // used where the request may have run. A reservation from before a pause
  // gives nothing back.
  void Settle(const Reservation& aReservation, Tokens aUsed);

  // The request to send to a peer so that this instance could admit
  // `aTokens`, or nothing if asking cannot help now.
  std::optional<LeaseRequest> PrepareLeaseRequest(
    const ClientAccountId& aAccount,
    Tokens aTokens);

  // Lender's side: deducts first, then answers. Idempotent by lease id.
  LeaseGrant Lend(const LeaseRequest& aRequest);

  // Borrower's side: counts the term from PrepareLeaseRequest. False if the
  // grant is a repeat, late, or not the answer to a request of this process.
  bool Accept(const LeaseGrant& aGrant);

  // Called at least every half pause bound; sees pauses and ends leases.
  void Tick();

  // Whether a pause was seen and Resume not yet called.
  bool IsPaused() const;

  // Ends the pause with empty buckets, once the place in the instance list
  // was checked.
  void Resume();

  RateStatus Status(const ClientAccountId& aAccount) const;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

} // namespace rattanweir
