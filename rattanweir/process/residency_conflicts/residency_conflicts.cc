#include "rattanweir/process/residency_conflicts/residency_conflicts.h"

#include <algorithm>

namespace rattanweir {

ResidencyConflicts::ResidencyConflicts(
  const ResidencyConflictsOptions& aOptions)
  : m_options(aOptions)
{
}

std::optional<std::uint64_t>
ResidencyConflicts::Record(const RouteId& aRoute,
                           const ClientAccountId& aAccount)
{
  const std::pair key(aRoute, aAccount);
  if (!m_entries.contains(key) && m_entries.size() >= m_options.m_maxPairs) {
    DropOldest();
  }
  Entry& entry = m_entries[key];
  ++entry.m_count;
  ++entry.m_sinceLog;
  const SteadyTime now = m_options.m_clock.SteadyNow();
  if (entry.m_loggedAt && now - *entry.m_loggedAt < m_options.m_logInterval) {
    return std::nullopt;
  }
  entry.m_loggedAt = now;
  return std::exchange(entry.m_sinceLog, 0);
}

std::uint64_t
ResidencyConflicts::CountOf(const RouteId& aRoute,
                            const ClientAccountId& aAccount) const
{
  const auto found = m_entries.find({ aRoute, aAccount });
  return found == m_entries.end() ? 0 : found->second.m_count;
}

void
ResidencyConflicts::DropOldest()
{
  const auto oldest = std::ranges::min_element(
    m_entries, {}, [](const auto& aItem) { return aItem.second.m_loggedAt; });
  if (oldest != m_entries.end()) {
    m_entries.erase(oldest);
  }
}

} // namespace rattanweir
