#include "rattanweir/version/fleet_config_check/config_differences.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace rattanweir {
namespace {

FleetConfigData
Config(std::uint64_t aVersion)
{
  FleetConfigData data;
  data.m_version = SectionVersion(aVersion);
  data.m_routes = { { .m_id = RouteId("r"), .m_priority = 1 } };
  data.m_pools = { { .m_id = PoolId("p") } };
  data.m_accounts = { { .m_id = ClientAccountId("anna") } };
  data.m_keys = { { "old-key", ClientAccountId("anna") } };
  return data;
}

// Guards against a change that an operator doesn't see before it is sent.
TEST_CASE("added, removed and changed entries are listed, and keys counted")
{
  FleetConfigData next = Config(8);
  next.m_routes[0].m_priority = 2;
  next.m_routes[0].m_homeRegions = { RegionId("north") };
  next.m_pools = { { .m_id = PoolId("q") } };
  next.m_keys = { { "new-key", ClientAccountId("anna") } };
  next.m_limits.m_bodyBytes = ByteCount(1'024);
  const auto lines = FindConfigDifferences(Config(7), next);
  const std::vector<std::string> expected = {
    "pool p: removed",
    "limits: body_bytes 4194304 -> 1024",
    "pool q: added",
    "route r: home_regions any -> north",
    "route r: priority 1 -> 2",
    "account anna: 1 keys added, 1 removed",
  };
  CHECK(lines == expected);
}

TEST_CASE("the same configuration differs in nothing but a version that is not "
          "newer")
{
  CHECK(FindConfigDifferences(Config(7), Config(8)).empty());
  const auto lines = FindConfigDifferences(Config(7), Config(7));
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].starts_with("version 7 is not newer"));
}

} // namespace
} // namespace rattanweir
