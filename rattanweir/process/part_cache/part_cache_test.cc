#include "rattanweir/process/part_cache/part_cache.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

const BackendServerId kEngine("e");
const Tokens kRoomy(10'000);

PartChain
Chain(const std::vector<PromptPart>& aParts)
{
  return BuildPartChain("m", aParts);
}

TEST_CASE("an engine holds the parts that it was sent, from the beginning")
{
  PartCacheView cache;
  const PartChain sent =
    Chain({ { "guide", Tokens(900) }, { "own", Tokens(50) } });
  CHECK(cache.EstimateCachedTokens(kEngine, sent) == Tokens(0));
  cache.AddDispatch(kEngine, sent, kRoomy);
  CHECK(cache.EstimateCachedTokens(kEngine, sent) == Tokens(950));
  CHECK(
    cache.EstimateCachedTokens(
      kEngine, Chain({ { "guide", Tokens(900) }, { "other", Tokens(70) } })) ==
    Tokens(900));
  CHECK(cache.EstimateCachedTokens(
          kEngine, Chain({ { "new", Tokens(1) }, { "own", Tokens(50) } })) ==
        Tokens(0));
  CHECK(cache.EstimateCachedTokens(BackendServerId("f"), sent) == Tokens(0));
  CHECK(cache.EstimateCachedTokens(
          kEngine, BuildPartChain("n", { { "guide", Tokens(900) } })) ==
        Tokens(0));
}

TEST_CASE("what was used least recently goes first")
{
  PartCacheView cache;
  const PartChain first = Chain({ { "a", Tokens(400) } });
  const PartChain second = Chain({ { "b", Tokens(400) } });
  const PartChain third = Chain({ { "c", Tokens(400) } });
  cache.AddDispatch(kEngine, first, Tokens(1'000));
  cache.AddDispatch(kEngine, second, Tokens(1'000));
  cache.AddDispatch(kEngine, first, Tokens(1'000));
  cache.AddDispatch(kEngine, third, Tokens(1'000));
  CHECK(cache.EstimateCachedTokens(kEngine, first) == Tokens(400));
  CHECK(cache.EstimateCachedTokens(kEngine, second) == Tokens(0));
  CHECK(cache.EstimateCachedTokens(kEngine, third) == Tokens(400));
}

TEST_CASE("an engine that is gone holds nothing")
{
  PartCacheView cache;
  const PartChain chain = Chain({ { "a", Tokens(400) } });
  cache.AddDispatch(kEngine, chain, kRoomy);
  cache.KeepOnly({ kEngine });
  CHECK(cache.EstimateCachedTokens(kEngine, chain) == Tokens(400));
  cache.KeepOnly({});
  CHECK(cache.EstimateCachedTokens(kEngine, chain) == Tokens(0));
}

} // namespace
} // namespace rattanweir
