#include "rattanweir/process/stream_origins/origin_coverage.h"

#include <catch2/catch.hpp>

#include <vector>

namespace rattanweir {
namespace {

// One letter for each instance: its region, in upper case if it is covered; or
// a dot for a silent instance of region a.
std::vector<OriginHolder>
Holders(const std::string& aText)
{
  std::vector<OriginHolder> holders;
  for (const char letter : aText) {
    if (letter == '.') {
      holders.push_back({ .m_region = RegionId("a"), .m_isSilent = true });
      continue;
    }
    const bool isCovered = letter >= 'A' && letter <= 'Z';
    holders.push_back(
      { .m_region = RegionId(std::string(
          1, isCovered ? static_cast<char>(letter - 'A' + 'a') : letter)),
        .m_isCovered = isCovered });
  }
  return holders;
}

TEST_CASE("an answer is conclusive unless all holders of a stream may be lost")
{
  struct Case
  {
    const char* m_holders;
    bool m_isConclusive;
  };
  const Case testCase = GENERATE(
    // All answered.
    Case{ "AABBCC", true },
    Case{ "A", true },
    // Some of one region are lost: a partner is in another region.
    Case{ "aAABBCC", true },
    Case{ "aaABBCC", true },
    // A region as a whole may have been cut off.
    Case{ "aaaBBCC", false },
    Case{ "aBBCC", false },
    // Instances of two regions can be all that knew a stream.
    Case{ "aAAbBBCC", false },
    Case{ "aabbcc", false },
    // One region: fewer are lost than know each stream.
    Case{ "aaAA", true },
    Case{ "aaaA", false },
    Case{ "aA", true },
    // One region, cut in two: those on the other side know streams that this
    // side does not.
    Case{ ".A", false },
    Case{ ".AA", true },
    Case{ "..A", false },
    Case{ "..AA", true },
    Case{ "...A", false },
    Case{ "...AAAA", false },
    Case{ ".aAA", true },
    // Several regions: a partner is in another region.
    Case{ ".AABB", true },
    Case{ "..BB", false },
    Case{ "aa", false },
    Case{ "a", false },
    Case{ "", false });
  CAPTURE(testCase.m_holders);
  CHECK(IsConclusive(Holders(testCase.m_holders)) == testCase.m_isConclusive);
}

} // namespace
} // namespace rattanweir
