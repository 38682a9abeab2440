#include "rattanweir/version/fleet_config_check/config_findings.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>

namespace rattanweir {
namespace {

FleetConfigData
SoundConfig()
{
  FleetConfigData data;
  data.m_routes = { { .m_id = RouteId("r"),
                      .m_host = "a.example",
                      .m_pathPrefix = "/r/",
                      .m_kind = RequestKind::Idempotent,
                      .m_pools = { { .m_pool = PoolId("p") } },
                      .m_maxAttempts = 2,
                      .m_timeout = std::chrono::seconds(4),
                      .m_latencyObjective = std::chrono::seconds(1),
                      .m_homeRegions = { RegionId("north") } } };
  data.m_pools = { { .m_id = PoolId("p") } };
  data.m_accounts = { { .m_id = ClientAccountId("anna"),
                        .m_ratePerSecond = 10,
                        .m_burst = 20,
                        .m_homeRegions = { RegionId("north") } } };
  data.m_keys = { { "secret-key", ClientAccountId("anna") } };
  data.m_hasAccounts = true;
  return data;
}

TEST_CASE("a sound configuration has no findings")
{
  CHECK(FindConfigFindings(SoundConfig()).empty());
}

// Guards against a fault that only shows once the configuration is in force.
TEST_CASE("each fault of a configuration is found, and no key is named")
{
  struct Row
  {
    FindingKind m_kind;
    std::string m_entry;
    std::function<void(FleetConfigData&)> m_change;
  };
  const std::vector<Row> rows = {
    { FindingKind::Error,
      "configuration",
      [](FleetConfigData& aData) {
        aData.m_routes[0].m_pools[0].m_pool = PoolId("q");
      } },
    { FindingKind::Error,
      "configuration",
      [](FleetConfigData& aData) { aData.m_routes[0].m_timeout = {}; } },
    { FindingKind::Error,
      "account anna",
      [](FleetConfigData& aData) {
        aData.m_accounts.push_back(aData.m_accounts[0]);
      } },
    { FindingKind::NeverMatches,
      "route s",
      [](FleetConfigData& aData) {
        aData.m_routes.push_back(aData.m_routes[0]);
        aData.m_routes[1].m_id = RouteId("s");
        aData.m_routes[1].m_host = "A.example";
      } },
    { FindingKind::NeverMatches,
      "pool q",
      [](FleetConfigData& aData) {
        aData.m_pools.push_back({ .m_id = PoolId("q") });
      } },
    { FindingKind::NeverMatches,
      "account anna",
      [](FleetConfigData& aData) { aData.m_keys.clear(); } },
    { FindingKind::NeverMatches,
      "account anna",
      [](FleetConfigData& aData) {
        aData.m_accounts[0].m_homeRegions = { RegionId("south") };
      } },
    { FindingKind::Contradiction,
      "route r",
      [](FleetConfigData& aData) {
        aData.m_routes[0].m_latencyObjective = std::chrono::seconds(5);
      } },
    { FindingKind::Contradiction,
      "route r",
      [](FleetConfigData& aData) {
        aData.m_routes[0].m_kind = RequestKind::NonIdempotent;
      } },
    { FindingKind::Contradiction,
      "route r",
      [](FleetConfigData& aData) { aData.m_routes[0].m_maxAttempts = 0; } },
    { FindingKind::Contradiction,
      "route r",
      [](FleetConfigData& aData) {
        aData.m_routes[0].m_resumesStreams = true;
      } },
    { FindingKind::Contradiction,
      "account anna",
      [](FleetConfigData& aData) { aData.m_accounts[0].m_burst = 0.5; } },
  };
  for (std::size_t index = 0; index < rows.size(); ++index) {
    FleetConfigData data = SoundConfig();
    rows[index].m_change(data);
    const auto findings = FindConfigFindings(data);
    INFO("row " << index);
    CHECK(std::ranges::any_of(findings, [&](const ConfigFinding& aFinding) {
      return aFinding.m_kind == rows[index].m_kind &&
             aFinding.m_entry == rows[index].m_entry;
    }));
    for (const ConfigFinding& finding : findings) {
      CHECK(finding.m_message.find("secret-key") == std::string::npos);
    }
  }
}

} // namespace
} // namespace rattanweir
