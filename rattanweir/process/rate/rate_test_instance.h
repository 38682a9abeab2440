// One rate ledger with its own clock, driven by hand, for the tests here.

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

// Four instances, each owns 100 tokens a second and a burst of 1,000.
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

  // Advances in steps that are no pause.
  std::vector<LeaseReturn> Advance(nanoseconds aDuration)
  {
    std::vector<LeaseReturn> returns;
    for (nanoseconds left = aDuration; left > 0ns; left -= 100ms) {
      m_clock.Advance(std::min<nanoseconds>(left, 100ms));
      const auto given = m_ledger.Tick();
      returns.insert(returns.end(), given.begin(), given.end());
    }
    return returns;
  }

  // In a word, so that the tests read as tables.
  std::string Reserve(std::int64_t aTokens)
  {
    const ReserveResult result = m_ledger.Reserve(kAccount, Tokens(aTokens));
    if (const auto* reservation = std::get_if<Reservation>(&result)) {
      m_last = *reservation;
      return "taken";
    }
    if (const auto* isShort = std::get_if<InsufficientTokens>(&result)) {
      return isShort->m_retryAfter
               ? std::to_string(isShort->m_retryAfter->count()) + " ms"
               : "short";
    }
    if (std::holds_alternative<ExceedsBurst>(result)) {
      return "exceeds burst";
    }
    return std::holds_alternative<LedgerPaused>(result) ? "paused" : "unknown";
  }

  // All tokens at hand, by taking them.
  std::int64_t Drain()
  {
    std::int64_t sum = 0;
    for (std::int64_t step = 4'096; step > 0; step /= 2) {
      while (Reserve(step) == "taken") {
        sum += step;
      }
    }
    return sum;
  }

  std::optional<LeaseRequest> Ask(std::int64_t aTokens)
  {
    return m_ledger.PrepareLeaseRequest(kAccount, Tokens(aTokens), kPeers);
  }

  ManualClock m_clock;
  InstanceId m_id;
  RateLedger m_ledger;
  Reservation m_last;
};

// One that has owned its share long enough to be full.
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
