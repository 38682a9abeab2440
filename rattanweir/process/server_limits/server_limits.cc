#include "rattanweir/process/server_limits/server_limits.h"

namespace rattanweir {

bool
ServerLimits::RecordResponse(const BackendServerId& aIncarnation,
                             const LimitStatement& aStatement)
{
  const auto found = m_entries.find(aIncarnation);
  if (found == m_entries.end()) {
    if (aStatement.m_named) {
      m_entries[aIncarnation] = { .m_rate = aStatement.m_named,
                                  .m_changedAt =
                                    m_options.m_clock.SteadyNow() };
    }
    return aStatement.m_named.has_value();
  }
  Entry& entry = found->second;
  if (entry.m_rate == aStatement.m_named) {
    return false;
  }
  const bool isRaised = entry.m_rate && (!aStatement.m_named ||
                                         *aStatement.m_named > *entry.m_rate);
  if (isRaised && aStatement.m_sentAt < entry.m_changedAt) {
    return false;
  }
  entry = { .m_rate = aStatement.m_named,
            .m_changedAt = m_options.m_clock.SteadyNow() };
  return true;
}

std::optional<RequestRate>
ServerLimits::RateOf(const BackendServerId& aIncarnation) const
{
  const auto found = m_entries.find(aIncarnation);
  return found == m_entries.end() ? std::nullopt : found->second.m_rate;
}

void
ServerLimits::KeepOnly(const std::set<BackendServerId>& aListed)
{
  std::erase_if(m_entries, [&](const auto& aEntry) {
    return !aListed.contains(aEntry.first);
  });
}

} // namespace rattanweir
