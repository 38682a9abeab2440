// Rate limiter of the product's own interface: this instance's share of every
// client account's rate and burst. The users' platform (settings with `fleet`)
// has AccountRates instead.
//
// Each instance owns an equal share of every account, 1/N, where N is the
// maximum number of instances in the configuration. An instance that needs
// more (the borrower) leases a part of a peer's share (the lender's) for a
// fixed term. A lease always moves rate and burst together, never tokens
// alone. The fractions that all processes hold therefore sum to at most 1 at
// every instant, and no process has more tokens than its fraction of the
// burst. The fleet admits in total at most rate * t + burst over every
// interval t, even when the instances' views of the fleet differ.
//
//   RateLedger ledger({ .m_clock = clock, .m_self = self });
//   ledger.Configure(catalog.ClientAccounts());
//   const ReserveResult result = ledger.Reserve(account, Tokens(500));
//   if (const auto* reservation = std::get_if<Reservation>(&result)) {
//     ...
//     ledger.Settle(*reservation, Tokens(320));
//   }
//
// A lease is requested from a peer when Reserve returns InsufficientTokens, or
// a Reservation with m_isRunningLow set:
//
//   if (auto request =
//         ledger.PrepareLeaseRequest(account, Tokens(500), peers)) {
//     ledger.Accept(Send(request->m_lender, *request));
//     result = ledger.Reserve(account, Tokens(500), ReserveAttempt::Retry);
//   }
//
// Not thread-safe. Reserve checks and deducts in one call, so no other request
// can consume the tokens in between. Design and alternatives:
// docs/design/rate-leases.md.

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

// Tokens deducted from the bucket for one request.
struct Reservation
{
  ClientAccountId m_clientAccount;
  Tokens m_tokens;
  // Identifies the reservation within the ledger that made it.
  std::uint64_t m_number = 0;
  // The share held here will soon no longer cover the demand. The caller should
  // request a lease for zero tokens now, before a request has to wait for one.
  bool m_isRunningLow = false;
};

// The request needs more tokens than the account's full burst.
struct ExceedsBurst
{};

// The account is not in the active configuration.
struct UnknownClientAccount
{};

// The bucket of this instance holds fewer tokens than requested.
struct InsufficientTokens
{
  // Time until this instance can admit the request without further leases;
  // nullopt if its own and borrowed shares can never hold enough tokens.
  std::optional<std::chrono::milliseconds> m_retryAfter;
};

// A pause of the process was detected; Reserve and Lend grant nothing until
// Resume is called.
struct LedgerPaused
{};

using ReserveResult = std::variant<Reservation,
                                   ExceedsBurst,
                                   UnknownClientAccount,
                                   InsufficientTokens,
                                   LedgerPaused>;

// Whether Reserve or PreviewReserve was called for the request before. Demand
// is counted on the first attempt only.
enum class ReserveAttempt
{
  First,
  Retry,
};

// Requests a lease: a share of one account for a fixed term.
struct LeaseRequest
{
  // Chosen by the borrower. The lender responds to a repeated id with the
  // lease that it granted before.
  LeaseId m_id;
  InstanceId m_borrower;
  Incarnation m_borrowerIncarnation;
  // The peer to send the request to.
  InstanceId m_lender;
  ClientAccountId m_clientAccount;
  // The requested share, in units of one instance's own share. Above 1 if the
  // demand exceeds what a single lender can lend.
  double m_fraction = 0;
  // The tokens to transfer with the share.
  Tokens m_tokens;
  // The borrower's term starts when it prepares the request, so that the lease
  // ends at the borrower before it ends at the lender.
  std::chrono::nanoseconds m_term{};
};

// A share of one account, rate and burst together, for a fixed term. A
// fraction of zero is a refusal.
struct LeaseGrant
{
  LeaseId m_id;
  ClientAccountId m_clientAccount;
  // The part of the lender's own share (1/N of the account), from 0 to 1. A
  // relative share remains valid when rate, burst or N change during the lease.
  double m_fraction = 0;
  // Tokens transferred with the share; at most m_fraction of the lender's
  // burst.
  double m_tokens = 0;
  std::chrono::nanoseconds m_term{};
  // Time until the lender may have more to lend; set if it granted less than
  // requested.
  std::chrono::nanoseconds m_retryAfter{};
};

// Returns a borrowed share before its term ends, with the tokens that the
// borrower does not need. If the message is lost, the lease ends with its term.
struct LeaseReturn
{
  LeaseId m_id;
  InstanceId m_borrower;
  // The peer to send the return to.
  InstanceId m_lender;
  ClientAccountId m_clientAccount;
  double m_tokens = 0;
};

struct RateLedgerOptions
{
  const Clock& m_clock;
  InstanceId m_self;
  Incarnation m_incarnation;
  // The term of a lease. The previous process of this instance may have lent
  // its share, so a new process does not use its own share for one term plus
  // margin. All instances must therefore use the same term.
  std::chrono::nanoseconds m_leaseTerm{ std::chrono::seconds(5) };
  // Added to the term by the lender to allow for clock drift. Must be at least
  // 2 * m_clockDrift * m_leaseTerm.
  std::chrono::nanoseconds m_leaseMargin{ std::chrono::milliseconds(25) };
  // Upper bound of the clock's relative rate error (0.001 is 1 ms per second).
  // Buckets refill slower by this fraction, so that the limit holds in real
  // time.
  double m_clockDrift = 0.001;
  // A longer gap between two calls means that the process was paused.
  std::chrono::nanoseconds m_pauseThreshold{ std::chrono::seconds(1) };
  // A lease request without a response for this long counts as refused.
  std::chrono::nanoseconds m_responseTimeout{ std::chrono::seconds(1) };
};

// State of one account for status reports and metrics. Fractions are of the
// complete account, not of one instance's share.
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

  // Applies the accounts of a newer section. Buckets of new accounts start
  // empty; those of existing accounts are clamped to their new capacity.
  void Configure(const ClientAccountsSection& aSection);

  // Deducts `aTokens` if the bucket holds them. A gap since the last call above
  // m_pauseThreshold is detected first and fails the call with LedgerPaused.
  ReserveResult Reserve(const ClientAccountId& aAccount,
                        Tokens aTokens,
                        ReserveAttempt aAttempt = ReserveAttempt::First);

  // Estimates the wait of a request queued behind others that need
  // `aTokensAhead` tokens in total. Deducts nothing, but counts the demand of a
  // first attempt. Returns InsufficientTokens with the time until the queued
  // requests and this one can all be admitted (zero if now), or the reason why
  // Reserve would refuse the request at any bucket level.
  ReserveResult PreviewReserve(const ClientAccountId& aAccount,
                               Tokens aTokens,
                               Tokens aTokensAhead,
                               ReserveAttempt aAttempt);

  // Refunds the tokens that were reserved but not used; only the first call for
  // a reservation has an effect. Pass the full amount if the request may have
  // run. Tokens reserved before a pause are not refunded.
  void Settle(const Reservation& aReservation, Tokens aUsed);

  // Returns the request to send to one of `aPeers` (ordered by preference,
  // nearest first) so that this instance can admit `aTokens` and the demand of
  // the next term. Returns nullopt if the tokens suffice already, if a request
  // for the account is outstanding, or while refusals and partial grants of the
  // recent past forbid another request. A request is outstanding until Accept
  // is called or m_responseTimeout has passed.
  std::optional<LeaseRequest> PrepareLeaseRequest(
    const ClientAccountId& aAccount,
    Tokens aTokens,
    const std::vector<InstanceId>& aPeers);

  // Called by the lender. Deducts the share before it returns the grant;
  // idempotent by lease id. Lends the part of the own share that the account's
  // recent local demand does not need, and never lends borrowed shares.
  LeaseGrant Lend(const LeaseRequest& aRequest);

  // Called by the borrower. The term starts at PrepareLeaseRequest. Returns
  // false if the grant is a refusal, a duplicate, expired, or does not match
  // the outstanding request of this process. If no response can arrive (no
  // connection), pass a grant with only the id and the account.
  bool Accept(const LeaseGrant& aGrant);

  // Detects pauses, ends expired leases and releases borrowed shares that are
  // no longer needed. Call at least every m_pauseThreshold / 2. Send each
  // return to its lender once; no response is needed.
  std::vector<LeaseReturn> Tick();

  // Called by the lender. Ends the lease early and adds the returned tokens to
  // the bucket. Returns false if the lease has already ended.
  bool Reclaim(const LeaseReturn& aReturn);

  // Returns true from the detection of a pause until Resume is called.
  bool IsPaused() const;

  // Ends the pause with empty buckets. Call after the process has verified that
  // this instance is still in the instance list.
  void Resume();

  // Returns the account's current state. Does not detect pauses, so the tokens
  // are not necessarily available; only Reserve determines that.
  RateStatus Status(const ClientAccountId& aAccount) const;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

} // namespace rattanweir
