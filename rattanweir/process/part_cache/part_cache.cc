#include "rattanweir/process/part_cache/part_cache.h"

#include <xxhash.h>

namespace rattanweir {

PartChain
BuildPartChain(std::string_view aScope, const std::vector<PromptPart>& aParts)
{
  PartChain chain;
  std::uint64_t hash = XXH64(aScope.data(), aScope.size(), 0);
  for (const PromptPart& part : aParts) {
    hash = XXH64(part.m_id.data(), part.m_id.size(), hash);
    chain.push_back({ .m_hash = hash, .m_tokens = part.m_tokens });
  }
  return chain;
}

void
PartCacheView::AddDispatch(const BackendServerId& aEngine,
                           const PartChain& aChain,
                           Tokens aCapacity)
{
  Engine& engine = m_engines[aEngine];
  // From the last link to the first, so that the start of the prompt becomes
  // the most recently used and is evicted last.
  for (auto link = aChain.rbegin(); link != aChain.rend(); ++link) {
    const auto found = engine.m_byHash.find(link->m_hash);
    if (found != engine.m_byHash.end()) {
      engine.m_links.splice(
        engine.m_links.begin(), engine.m_links, found->second);
      continue;
    }
    engine.m_links.push_front(*link);
    engine.m_byHash.emplace(link->m_hash, engine.m_links.begin());
    engine.m_heldTokens += link->m_tokens;
  }
  while (engine.m_heldTokens > aCapacity && !engine.m_links.empty()) {
    engine.m_heldTokens -= engine.m_links.back().m_tokens;
    engine.m_byHash.erase(engine.m_links.back().m_hash);
    engine.m_links.pop_back();
  }
}

Tokens
PartCacheView::EstimateCachedTokens(const BackendServerId& aEngine,
                                    const PartChain& aChain) const
{
  Tokens cached;
  const auto engine = m_engines.find(aEngine);
  if (engine == m_engines.end()) {
    return cached;
  }
  for (const ChainLink& link : aChain) {
    if (!engine->second.m_byHash.contains(link.m_hash)) {
      break;
    }
    cached += link.m_tokens;
  }
  return cached;
}

void
PartCacheView::KeepOnly(const std::set<BackendServerId>& aListed)
{
  std::erase_if(m_engines, [&](const auto& aEntry) {
    return !aListed.contains(aEntry.first);
  });
}

} // namespace rattanweir
