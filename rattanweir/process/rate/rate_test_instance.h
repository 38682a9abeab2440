// A RateLedger with its own manual clock, and helpers for its tests.

#pragma once

#include "rattanweir/base/clock/manual_clock.h"
#include "rattanweir/process/rate/rate_ledger.h"

#include <string>
#include <vector>

namespace rattanweir::rate_test {

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

inline const ClientAccountId kAccount("parents");
inline const InstanceId kPeer("ostland-2");
inline const std::vector<InstanceId> kPeers{ kPeer, InstanceId("ostland-3") };
inline constexpr nanoseconds kTerm = 5s;
inline constexpr nanoseconds kMargin = 25ms;

// With the defaults, each of the four instances owns a rate of 100 tokens per
// second and a burst of 1,000 tokens.
inline ClientAccountsSection
Section(double aRate = 400,
        std::int64_t aBurst = 4'000,
        std::uint32_t aInstances = 4)
{
  return { .m_clientAccounts = { { .m_id = kAccount,
                                   .m_rate = TokenRate(aRate),
                                   .m_burst = Tokens(aBurst) } },
           .m_maximumInstances = aInstances };
}

struct Instance
{
  explicit Instance(const std::string& aId)
    : m_id(aId)
    , m_ledger({ .m_clock = m_clock,
                 .m_self = m_id,
                 .m_incarnation = Incarnation(7),
                 .m_leaseTerm = kTerm,
                 .m_leaseMargin = kMargin,
                 .m_clockDrift = 0 })
  {
    m_ledger.Configure(Section());
  }

  // Advances the clock and calls Tick in steps of 100 ms, below the pause
  // threshold.
  std::vector<LeaseReturn> Advance(nanoseconds aDuration)
  {
    std::vector<LeaseReturn> returns;
    for (nanoseconds left = aDuration; left > 0ns; left -= 100ms) {
      m_clock.Advance(std::min<nanoseconds>(left, 100ms));
      const auto returned = m_ledger.Tick();
      returns.insert(returns.end(), returned.begin(), returned.end());
    }
    return returns;
  }

  // Returns the result as text: "reserved", the wait in ms, or the reason of
  // the refusal.
  std::string Reserve(std::int64_t aTokens)
  {
    const ReserveResult result = m_ledger.Reserve(kAccount, Tokens(aTokens));
    if (const auto* reservation = std::get_if<Reservation>(&result)) {
      m_lastReservation = *reservation;
      return "reserved";
    }
    if (const auto* insufficient = std::get_if<InsufficientTokens>(&result)) {
      return insufficient->m_retryAfter
               ? std::to_string(insufficient->m_retryAfter->count()) + " ms"
               : "insufficient";
    }
    if (std::holds_alternative<ExceedsBurst>(result)) {
      return "exceeds burst";
    }
    return std::holds_alternative<LedgerPaused>(result) ? "paused" : "unknown";
  }

  // Reserves all available tokens and returns their number.
  std::int64_t Drain()
  {
    std::int64_t sum = 0;
    for (std::int64_t step = 4'096; step > 0; step /= 2) {
      while (Reserve(step) == "reserved") {
        sum += step;
      }
    }
    return sum;
  }

  std::optional<LeaseRequest> PrepareRequest(std::int64_t aTokens)
  {
    return m_ledger.PrepareLeaseRequest(kAccount, Tokens(aTokens), kPeers);
  }

  ManualClock m_clock;
  InstanceId m_id;
  RateLedger m_ledger;
  Reservation m_lastReservation;
};

// An instance whose bucket has filled up since its own share became usable.
struct FullInstance : Instance
{
  explicit FullInstance(const std::string& aId = "ostland-1")
    : Instance(aId)
  {
    Advance(kTerm + kMargin + 10s);
  }
};

inline LeaseRequest
RequestFor(double aFraction, const std::string& aId = "a/1/1")
{
  return { .m_id = LeaseId(aId),
           .m_borrower = kPeer,
           .m_clientAccount = kAccount,
           .m_fraction = aFraction,
           .m_tokens = Tokens(500),
           .m_term = kTerm };
}

inline LeaseGrant
GrantFor(const LeaseRequest& aRequest, double aFraction, double aTokens)
{
  return { .m_id = aRequest.m_id,
           .m_clientAccount = kAccount,
           .m_fraction = aFraction,
           .m_tokens = aTokens,
           .m_term = kTerm };
}

} // namespace rattanweir::rate_test
