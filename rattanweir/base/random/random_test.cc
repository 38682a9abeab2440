#include "rattanweir/base/random/random.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

TEST_CASE(
  "RandomHex returns a text of the requested length that differs each time")
{
  const std::string first = RandomHex(16);
  REQUIRE(first.size() == 32);
  REQUIRE(first != RandomHex(16));
  REQUIRE(first.find_first_not_of("0123456789abcdef") == std::string::npos);
}

TEST_CASE(
  "UniformIndex stays below the size and is reproducible with the same seed")
{
  RandomEngine first(7);
  RandomEngine second(7);
  for (int round = 0; round < 100; ++round) {
    const std::size_t index = UniformIndex(first, 3);
    REQUIRE(index < 3);
    REQUIRE(index == UniformIndex(second, 3));
  }
}

} // namespace
} // namespace rattanweir
