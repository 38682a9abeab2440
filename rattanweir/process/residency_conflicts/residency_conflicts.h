// Users' platform (settings with `fleet`): counts the requests that no region
// may serve, because their route and their client account have no home region
// in common, and limits how often they are logged.
//
//   ResidencyConflicts conflicts({ .m_clock = clock });
//   if (const auto count = conflicts.Record(route, account)) { Log(*count); }
//
// Such requests come at the rate of their callers until the configuration
// changes. Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace rattanweir {

struct ResidencyConflictsOptions
{
  const Clock& m_clock;
  // Minimum time between two log records for the same route and account.
  std::chrono::nanoseconds m_logInterval{ std::chrono::seconds(1) };
  // Maximum number of pairs of route and account that are counted separately.
  // Configurations may change as long as the process runs; the pair that was
  // logged longest ago is dropped first.
  std::size_t m_maxPairs = 1'024;
};

class ResidencyConflicts
{
public:
  explicit ResidencyConflicts(const ResidencyConflictsOptions& aOptions);

  // Counts one refused request. Returns the number of such requests since the
  // last log record of the pair if it is to be logged now.
  std::optional<std::uint64_t> Record(const RouteId& aRoute,
                                      const ClientAccountId& aAccount);

  // Returns how many requests of the pair were counted.
  std::uint64_t CountOf(const RouteId& aRoute,
                        const ClientAccountId& aAccount) const;

private:
  struct Entry
  {
    std::uint64_t m_count = 0;
    std::uint64_t m_sinceLog = 0;
    std::optional<SteadyTime> m_loggedAt;
  };

  void DropOldest();

  ResidencyConflictsOptions m_options;
  std::map<std::pair<RouteId, ClientAccountId>, Entry> m_entries;
};

} // namespace rattanweir
