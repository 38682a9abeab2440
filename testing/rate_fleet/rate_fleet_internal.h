// Helpers shared by the source files of rate_fleet.

#pragma once

#include "testing/rate_fleet/rate_fleet.h"

#include <variant>

namespace rattanweir::internal {

inline std::chrono::nanoseconds
Scaled(std::chrono::nanoseconds aDuration, double aFactor)
{
  return std::chrono::nanoseconds(static_cast<std::int64_t>(
    static_cast<double>(aDuration.count()) * aFactor));
}

// Calls the function with the ledger that the variant holds.
template<class Ledger, class Function>
auto
With(Ledger& aLedger, const Function& aFunction)
{
  if (auto* shares = std::get_if<std::unique_ptr<RateLedger>>(&aLedger)) {
    return aFunction(**shares);
  }
  return aFunction(*std::get<std::unique_ptr<TokenLeaseLedger>>(aLedger));
}

} // namespace rattanweir::internal
