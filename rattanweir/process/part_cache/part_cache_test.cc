#include "rattanweir/process/part_cache/part_cache.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

const BackendServerId kEngine("e");
const Tokens kLargeCapacity(10'000);

PartChain
Chain(const std::vector<PromptPart>& aParts)
{
  return BuildPartChain("m", aParts);
}

TEST_CASE(
  "an engine holds the longest prefix of parts that was dispatched to it")
{
  PartCacheView view;
  const PartChain sent =
    Chain({ { "guide", Tokens(900) }, { "own", Tokens(50) } });
  CHECK(view.EstimateCachedTokens(kEngine, sent) == Tokens(0));
  view.AddDispatch(kEngine, sent, kLargeCapacity);
  CHECK(view.EstimateCachedTokens(kEngine, sent) == Tokens(950));
  CHECK(
    view.EstimateCachedTokens(
      kEngine, Chain({ { "guide", Tokens(900) }, { "other", Tokens(70) } })) ==
    Tokens(900));
  CHECK(view.EstimateCachedTokens(
          kEngine, Chain({ { "new", Tokens(1) }, { "own", Tokens(50) } })) ==
        Tokens(0));
  CHECK(view.EstimateCachedTokens(BackendServerId("f"), sent) == Tokens(0));
  CHECK(view.EstimateCachedTokens(
          kEngine, BuildPartChain("n", { { "guide", Tokens(900) } })) ==
        Tokens(0));
}

TEST_CASE("the least recently used part is evicted first")
{
  PartCacheView view;
  const PartChain first = Chain({ { "a", Tokens(400) } });
  const PartChain second = Chain({ { "b", Tokens(400) } });
  const PartChain third = Chain({ { "c", Tokens(400) } });
  view.AddDispatch(kEngine, first, Tokens(1'000));
  view.AddDispatch(kEngine, second, Tokens(1'000));
  view.AddDispatch(kEngine, first, Tokens(1'000));
  view.AddDispatch(kEngine, third, Tokens(1'000));
  CHECK(view.EstimateCachedTokens(kEngine, first) == Tokens(400));
  CHECK(view.EstimateCachedTokens(kEngine, second) == Tokens(0));
  CHECK(view.EstimateCachedTokens(kEngine, third) == Tokens(400));
}

TEST_CASE("an engine that is not listed any more holds nothing")
{
  PartCacheView view;
  const PartChain chain = Chain({ { "a", Tokens(400) } });
  view.AddDispatch(kEngine, chain, kLargeCapacity);
  view.KeepOnly({ kEngine });
  CHECK(view.EstimateCachedTokens(kEngine, chain) == Tokens(400));
  view.KeepOnly({});
  CHECK(view.EstimateCachedTokens(kEngine, chain) == Tokens(0));
}

} // namespace
} // namespace rattanweir
