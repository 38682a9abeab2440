// Estimates which prompt parts each model engine holds in its KV cache. Used on
// the users' platform (settings with `fleet`), where requests declare the parts
// of their prompts.
//
//   PartCacheView view;
//   const PartChain chain = BuildPartChain("model", parts);
//   const Tokens cached = view.EstimateCachedTokens(engine, chain);
//   view.AddDispatch(engine, chain, Tokens(333'000));
//
// An engine can reuse the cached part only if it also holds all parts before
// it, so a part is identified by a hash over itself and all preceding parts.
// The view models each engine's cache as a least-recently-used cache with a
// capacity in tokens, filled by the prompts that this instance dispatched.
// Not thread-safe.

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

// One part of a prompt, as declared by the request.
struct PromptPart
{
  std::string m_id;
  Tokens m_tokens;
};

// A part of a prompt, together with all parts before it.
struct ChainLink
{
  // Covers the ids of this part and of all parts before it.
  std::uint64_t m_hash = 0;
  // Of this part alone.
  Tokens m_tokens;
};

using PartChain = std::vector<ChainLink>;

// Builds the chain of a prompt. Equal parts of different scopes get different
// hashes; the scope is the model's name, since models share no cache.
PartChain
BuildPartChain(std::string_view aScope, const std::vector<PromptPart>& aParts);

// The estimated cache content of each model engine.
class PartCacheView
{
public:
  // Records that a prompt was dispatched to the engine. `aCapacity` is the
  // number of tokens of this instance's prompts that the engine's cache holds.
  void AddDispatch(const BackendServerId& aEngine,
                   const PartChain& aChain,
                   Tokens aCapacity);

  // Returns the number of tokens in the longest prefix of the chain that the
  // engine probably holds.
  Tokens EstimateCachedTokens(const BackendServerId& aEngine,
                              const PartChain& aChain) const;

  // Removes the state of all engines that are not in `aListed`.
  void KeepOnly(const std::set<BackendServerId>& aListed);

private:
  struct Engine
  {
    // Most recently used first.
    std::list<ChainLink> m_links;
    std::unordered_map<std::uint64_t, std::list<ChainLink>::iterator> m_byHash;
    Tokens m_heldTokens;
  };

  std::map<BackendServerId, Engine> m_engines;
};

} // namespace rattanweir
