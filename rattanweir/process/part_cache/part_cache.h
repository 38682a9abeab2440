// Which prompt parts each model engine probably holds in its cache.
//
//   PartCacheView cache({ .m_clock = clock });
//   const PartChain chain = BuildPartChain("model", parts);
//   const Tokens held = cache.EstimateCachedTokens(engine, chain);
//   cache.AddDispatch(engine, chain, Tokens(333'000));
//
// A part is held only after all the parts before it, so parts are known by the
// hash of the chain that ends with them. An engine's cache is taken for a
// least-recently-used one of a number of tokens, filled by what this instance
// sent there. For one thread.

#pragma once

#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/units/units.h"

#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rattanweir {

// One part of a prompt, as the request declares it.
struct PromptPart
{
  std::string m_id;
  Tokens m_tokens;
};

// A part with all that goes before it.
struct ChainLink
{
  std::uint64_t m_hash = 0;
  Tokens m_tokens;
};

using PartChain = std::vector<ChainLink>;

// The scope keeps equal parts apart that share no cache: the model's name.
PartChain
BuildPartChain(std::string_view aScope, const std::vector<PromptPart>& aParts);

class PartCacheView
{
public:
  // The prompt went to this engine, whose cache holds that many tokens of
  // this instance's prompts.
  void AddDispatch(const BackendServerId& aEngine,
                   const PartChain& aChain,
                   Tokens aCapacity);

  // Tokens of the chain's beginning that the engine probably holds.
  Tokens EstimateCachedTokens(const BackendServerId& aEngine,
                              const PartChain& aChain) const;

  // Forgets the engines that are not listed any more.
  void KeepOnly(const std::set<BackendServerId>& aListed);

private:
  struct Engine
  {
    // Most recently used first.
    std::list<ChainLink> m_links;
    std::unordered_map<std::uint64_t, std::list<ChainLink>::iterator> m_byHash;
    Tokens m_held;
  };

  std::map<BackendServerId, Engine> m_engines;
};

} // namespace rattanweir
