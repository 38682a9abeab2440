// Which backend server probably holds the beginning of a prompt in its cache.
//
//   PrefixView view({ .m_clock = clock });
//   const PromptPrefix prefix = HashPrefix(scope, prompt);
//   for (const PrefixHolder& holder : view.FindHolders(prefix)) ...
//   view.AddDispatch(prefix, id);
//
// It knows only what this instance dispatched itself: engines tell of their
// caches late and with gaps. So a holder is a hint, good for preferring one of
// two servers and for nothing else. Entries fade with age; their number is
// bounded, the least recently used go first. For one thread.

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

// Bytes of one block of a prompt. Prefixes are told apart in whole blocks.
inline constexpr std::size_t kPrefixBlockBytes = 1024;
// Blocks of a prompt that are looked at; what follows counts for nothing.
inline constexpr std::size_t kMaxPrefixBlocks = 32;

// One hash for each whole block; each covers all the text up to its end.
struct PromptPrefix
{
  std::vector<std::uint64_t> m_hashes;
};

// The scope keeps equal texts apart that share no cache: the pool's id.
PromptPrefix
HashPrefix(std::string_view aScope, std::string_view aPrompt);

// A server that was sent a prompt with the same beginning.
struct PrefixHolder
{
  BackendServerId m_id;
  // Bytes of the prompt that its cache is expected to hold, less the older the
  // dispatch is.
  double m_bytes = 0;
};

struct PrefixViewOptions
{
  const Clock& m_clock;
  // Entries kept, about 200 bytes each.
  std::size_t m_maximumEntries = 16'384;
  // A dispatch of this age counts for half.
  std::chrono::nanoseconds m_halfLife{ std::chrono::seconds(30) };
  // An older one counts for nothing.
  std::chrono::nanoseconds m_oldest{ std::chrono::minutes(5) };
};

class PrefixView
{
public:
  explicit PrefixView(const PrefixViewOptions& aOptions);

  // The prompt went to this server, which now holds all its blocks.
  void AddDispatch(const PromptPrefix& aPrefix, const BackendServerId& aId);

  // The server to which the longest known part was last sent, and those of
  // shorter parts; each once, at its largest value.
  std::vector<PrefixHolder> FindHolders(const PromptPrefix& aPrefix) const;

  // How many of the prompt's blocks were in one that was dispatched before,
  // wherever to.
  std::size_t CountKnownBlocks(const PromptPrefix& aPrefix) const;

  // Forgets a server that left or failed: its cache is gone.
  void RemoveServer(const BackendServerId& aId);

  std::size_t EntryCount() const { return m_entries.size(); }

private:
  struct Entry
  {
    std::uint64_t m_hash = 0;
    BackendServerId m_id;
    SteadyTime m_at;
  };

  // The entry of that block unless it is too old.
  const Entry* Find(std::uint64_t aHash) const;

  PrefixViewOptions m_options;
  // Most recently used first.
  std::list<Entry> m_entries;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_byHash;
};

} // namespace rattanweir
