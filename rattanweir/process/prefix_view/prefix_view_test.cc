#include "rattanweir/process/prefix_view/prefix_view.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

#include <string>

namespace rattanweir {
namespace {

using std::chrono::seconds;

const BackendServerId kFirst("a");
const BackendServerId kSecond("b");

std::string
Blocks(const std::string& aLetters)
{
  std::string text;
  for (const char letter : aLetters) {
    text += std::string(kPrefixBlockBytes, letter);
  }
  return text;
}

TEST_CASE("a hash covers the scope and all the text up to the end of its block")
{
  struct Row
  {
    std::string m_scope;
    std::string m_prompt;
    std::size_t m_blocks;
    std::size_t m_sharedBlocks;
  };
  const Row rows[] = {
    { "p", Blocks("xyz"), 3, 3 },
    { "p", Blocks("xyz") + "question", 3, 3 },
    { "p", Blocks("xyw"), 3, 2 },
    { "p", Blocks("wyz"), 3, 0 },
    { "q", Blocks("xyz"), 3, 0 },
    { "p", "short", 0, 0 },
    { "p", Blocks("xyz" + std::string(40, 'v')), kMaxPrefixBlocks, 3 },
  };
  const auto reference = HashPrefix("p", Blocks("xyz")).m_hashes;
  for (const Row& row : rows) {
    CAPTURE(row.m_scope, row.m_prompt.size());
    const auto hashes = HashPrefix(row.m_scope, row.m_prompt).m_hashes;
    REQUIRE(hashes.size() == row.m_blocks);
    for (std::size_t block = 0;
         block < std::min(row.m_blocks, reference.size());
         ++block) {
      REQUIRE((hashes[block] == reference[block]) ==
              (block < row.m_sharedBlocks));
    }
  }
}

TEST_CASE("holders are the last servers of a prefix, and decay with age")
{
  ManualClock clock;
  PrefixView view({ .m_clock = clock, .m_halfLife = seconds(10) });
  const auto longer = HashPrefix("p", Blocks("xyz"));
  const auto shorter = HashPrefix("p", Blocks("xw"));
  REQUIRE(view.FindHolders(longer).empty());
  REQUIRE(view.CountKnownBlocks(longer) == 0);
  view.AddDispatch(longer, kFirst);
  REQUIRE(view.CountKnownBlocks(longer) == 3);
  REQUIRE(view.CountKnownBlocks(shorter) == 1);
  clock.Advance(seconds(10));
  view.AddDispatch(shorter, kSecond);
  const auto holders = view.FindHolders(longer);
  REQUIRE(holders.size() == 2);
  REQUIRE(holders[0].m_id == kSecond);
  REQUIRE(holders[0].m_bytes == kPrefixBlockBytes);
  REQUIRE(holders[1].m_id == kFirst);
  REQUIRE(holders[1].m_bytes == 1.5 * kPrefixBlockBytes);
  clock.Advance(seconds(291));
  REQUIRE(view.FindHolders(longer).size() == 1);
  REQUIRE(view.CountKnownBlocks(longer) == 1);
  view.RemoveServer(kSecond);
  REQUIRE(view.FindHolders(longer).empty());
  REQUIRE(view.EntryCount() == 2);
}

TEST_CASE("entries are bounded; the least recently used are evicted first")
{
  ManualClock clock;
  PrefixView view({ .m_clock = clock, .m_maxEntries = 3 });
  const auto prefix = [](char aLetter) {
    return HashPrefix("p", Blocks(std::string(1, aLetter)));
  };
  for (const char letter : { 'a', 'b', 'c', 'a', 'd', 'e' }) {
    view.AddDispatch(prefix(letter), kFirst);
    REQUIRE(view.EntryCount() <= 3);
  }
  for (const char letter : { 'a', 'd', 'e' }) {
    REQUIRE(view.FindHolders(prefix(letter)).size() == 1);
  }
  REQUIRE(view.FindHolders(prefix('b')).empty());
  REQUIRE(view.FindHolders(prefix('c')).empty());
  view.AddDispatch(HashPrefix("p", Blocks("vwxyz")), kFirst);
  REQUIRE(view.EntryCount() == 3);
}

} // namespace
} // namespace rattanweir
