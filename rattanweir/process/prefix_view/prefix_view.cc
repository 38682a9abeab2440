#include "rattanweir/process/prefix_view/prefix_view.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace rattanweir {

PromptPrefix
HashPrefix(std::string_view aScope, std::string_view aPrompt)
{
  PromptPrefix prefix;
  const std::size_t blocks =
    std::min(aPrompt.size() / kPrefixBlockBytes, kMaxPrefixBlocks);
  std::uint64_t hash = XXH64(aScope.data(), aScope.size(), 0);
  for (std::size_t block = 0; block < blocks; ++block) {
    const char* begin = aPrompt.data() + block * kPrefixBlockBytes;
    hash = XXH64(begin, kPrefixBlockBytes, hash);
    prefix.m_hashes.push_back(hash);
  }
  return prefix;
}

PrefixView::PrefixView(const PrefixViewOptions& aOptions)
  : m_options(aOptions)
{
}

void
PrefixView::AddDispatch(const PromptPrefix& aPrefix, const BackendServerId& aId)
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  // From the longest prefix to the shortest, so that the shortest becomes the
  // most recently used and the longest is evicted first.
  for (auto position = aPrefix.m_hashes.rbegin();
       position != aPrefix.m_hashes.rend();
       ++position) {
    const std::uint64_t hash = *position;
    const auto found = m_byHash.find(hash);
    if (found != m_byHash.end()) {
      m_entries.splice(m_entries.begin(), m_entries, found->second);
    } else {
      m_entries.emplace_front();
      m_byHash.emplace(hash, m_entries.begin());
    }
    m_entries.front() = { .m_hash = hash, .m_id = aId, .m_at = now };
  }
  while (m_entries.size() > m_options.m_maxEntries) {
    m_byHash.erase(m_entries.back().m_hash);
    m_entries.pop_back();
  }
}

std::vector<PrefixHolder>
PrefixView::FindHolders(const PromptPrefix& aPrefix) const
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::vector<PrefixHolder> holders;
  for (std::size_t block = 0; block < aPrefix.m_hashes.size(); ++block) {
    const Entry* entry = Find(aPrefix.m_hashes[block]);
    if (entry == nullptr) {
      continue;
    }
    const double halvings = std::chrono::duration<double>(now - entry->m_at) /
                            std::chrono::duration<double>(m_options.m_halfLife);
    const double bytes = static_cast<double>((block + 1) * kPrefixBlockBytes) *
                         std::exp2(-halvings);
    const auto known = std::find_if(
      holders.begin(), holders.end(), [&](const PrefixHolder& aHolder) {
        return aHolder.m_id == entry->m_id;
      });
    if (known == holders.end()) {
      holders.push_back({ .m_id = entry->m_id, .m_bytes = bytes });
    } else {
      known->m_bytes = std::max(known->m_bytes, bytes);
    }
  }
  return holders;
}

std::size_t
PrefixView::CountKnownBlocks(const PromptPrefix& aPrefix) const
{
  std::size_t known = aPrefix.m_hashes.size();
  while (known > 0 && Find(aPrefix.m_hashes[known - 1]) == nullptr) {
    --known;
  }
  return known;
}

const PrefixView::Entry*
PrefixView::Find(std::uint64_t aHash) const
{
  const auto found = m_byHash.find(aHash);
  if (found == m_byHash.end() ||
      m_options.m_clock.SteadyNow() - found->second->m_at >
        m_options.m_maxAge) {
    return nullptr;
  }
  return &*found->second;
}

void
PrefixView::RemoveServer(const BackendServerId& aId)
{
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    if (entry->m_id != aId) {
      ++entry;
      continue;
    }
    m_byHash.erase(entry->m_hash);
    entry = m_entries.erase(entry);
  }
}

} // namespace rattanweir
