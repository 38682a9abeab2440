// Estimates which backend servers hold the prefix of a prompt in their cache.
// Used by the product's own interface.
//
//   PrefixView view({ .m_clock = clock });
//   const PromptPrefix prefix = HashPrefix(scope, prompt);
//   for (const PrefixHolder& holder : view.FindHolders(prefix)) ...
//   view.AddDispatch(prefix, id);
//
// The view is built only from this instance's own dispatches, since model
// engines report the content of their caches late and incompletely. So a holder
// is a hint: it may decide between two suitable servers and must serve no other
// purpose. The weight of an entry decays with its age. The number of entries is
// bounded; the least recently used are evicted first. Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rattanweir {

// Size of one block of a prompt. Prefixes are compared in complete blocks.
inline constexpr std::size_t kPrefixBlockBytes = 1024;
// Maximum number of blocks of a prompt that are hashed; the rest is ignored.
inline constexpr std::size_t kMaxPrefixBlocks = 32;

// One hash for each complete block of a prompt; each hash covers all the text
// up to the end of its block.
struct PromptPrefix
{
  std::vector<std::uint64_t> m_hashes;
};

// Hashes the prefix of a prompt. Equal texts of different scopes get different
// hashes; the scope is the pool's id, since pools share no cache.
PromptPrefix
HashPrefix(std::string_view aScope, std::string_view aPrompt);

// A server to which a prompt with the same prefix was dispatched.
struct PrefixHolder
{
  BackendServerId m_id;
  // Bytes of the prompt that the server's cache is expected to hold, reduced
  // with the age of the dispatch.
  double m_bytes = 0;
};

struct PrefixViewOptions
{
  const Clock& m_clock;
  // Maximum number of entries; each takes about 200 bytes.
  std::size_t m_maxEntries = 16'384;
  // Age at which a dispatch has half its initial weight.
  std::chrono::nanoseconds m_halfLife{ std::chrono::seconds(30) };
  // Older dispatches are ignored.
  std::chrono::nanoseconds m_maxAge{ std::chrono::minutes(5) };
};

// The prefixes that this instance dispatched recently, with their servers.
class PrefixView
{
public:
  explicit PrefixView(const PrefixViewOptions& aOptions);

  // Records that the prompt was dispatched to this server, which is now
  // expected to hold all its blocks.
  void AddDispatch(const PromptPrefix& aPrefix, const BackendServerId& aId);

  // Returns the last server of each known prefix of the prompt, of whatever
  // length; each server once, with its largest number of bytes.
  std::vector<PrefixHolder> FindHolders(const PromptPrefix& aPrefix) const;

  // Returns the length, in blocks, of the longest prefix of the prompt that was
  // dispatched to any server.
  std::size_t CountKnownBlocks(const PromptPrefix& aPrefix) const;

  // Removes the entries of a server that has stopped or failed, and so has lost
  // its cache.
  void RemoveServer(const BackendServerId& aId);

  std::size_t EntryCount() const { return m_entries.size(); }

private:
  struct Entry
  {
    std::uint64_t m_hash = 0;
    BackendServerId m_id;
    SteadyTime m_at;
  };

  // Returns the entry with that hash, or nullptr if none exists or it is too
  // old.
  const Entry* Find(std::uint64_t aHash) const;

  PrefixViewOptions m_options;
  // Most recently used first.
  std::list<Entry> m_entries;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_byHash;
};

} // namespace rattanweir
