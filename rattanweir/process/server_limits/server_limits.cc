#include "rattanweir/process/server_limits/server_limits.h"

namespace rattanweir {
namespace {

// Returns whether the first limit permits more than the second one.
bool
IsHigher(const std::optional<RequestRate>& aFirst,
         const std::optional<RequestRate>& aSecond)
{
  return aSecond && (!aFirst || *aFirst > *aSecond);
}

} // namespace

bool
ServerLimits::RecordResponse(const BackendServerId& aIncarnation,
                             const LimitStatement& aStatement)
{
  const auto found = m_entries.find(aIncarnation);
  const NamedLimit known =
    found == m_entries.end() ? NamedLimit() : found->second.m_limit;
  if (known.m_rate == aStatement.m_named) {
    return false;
  }
  if (IsHigher(aStatement.m_named, known.m_rate) &&
      aStatement.m_sentAt < found->second.m_changedAt) {
    return false;
  }
  m_entries[aIncarnation] = {
    .m_limit = { .m_rate = aStatement.m_named,
                 .m_version = known.m_version + 1 },
    .m_changedAt = m_options.m_clock.SteadyNow(),
  };
  return true;
}

bool
ServerLimits::Merge(const BackendServerId& aIncarnation,
                    const NamedLimit& aLimit)
{
  const auto [found, isNew] = m_entries.try_emplace(aIncarnation);
  Entry& entry = found->second;
  const NamedLimit known = entry.m_limit;
  const bool isNewer = aLimit.m_version > known.m_version ||
                       (aLimit.m_version == known.m_version &&
                        IsHigher(known.m_rate, aLimit.m_rate));
  if (!isNewer) {
    return false;
  }
  entry = { .m_limit = aLimit, .m_changedAt = m_options.m_clock.SteadyNow() };
  return aLimit.m_rate != known.m_rate;
}

std::map<BackendServerId, NamedLimit>
ServerLimits::ToAdvertise() const
{
  const SteadyTime oldestEnd =
    m_options.m_clock.SteadyNow() - m_options.m_endMemory;
  std::map<BackendServerId, NamedLimit> limits;
  for (const auto& [incarnation, entry] : m_entries) {
    if (entry.m_limit.m_rate || entry.m_changedAt >= oldestEnd) {
      limits.emplace(incarnation, entry.m_limit);
    }
  }
  return limits;
}

std::optional<RequestRate>
ServerLimits::RateOf(const BackendServerId& aIncarnation) const
{
  const auto found = m_entries.find(aIncarnation);
  return found == m_entries.end() ? std::nullopt : found->second.m_limit.m_rate;
}

void
ServerLimits::KeepOnly(const std::set<BackendServerId>& aListed)
{
  std::erase_if(m_entries, [&](const auto& aEntry) {
    return !aListed.contains(aEntry.first);
  });
}

} // namespace rattanweir
