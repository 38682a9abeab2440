#include "rattanweir/version/fleet_config/fleet_config.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::seconds;

FleetRoute
MakeRoute(const char* aId, const char* aHost, const char* aPrefix)
{
  return { .m_id = RouteId(aId),
           .m_host = aHost,
           .m_pathPrefix = aPrefix,
           .m_pools = { { .m_pool = PoolId("p") } },
           .m_timeout = seconds(1) };
}

FleetConfigData
MakeConfigData(std::uint64_t aVersion, std::vector<FleetRoute> aRoutes)
{
  return { .m_version = SectionVersion(aVersion),
           .m_routes = std::move(aRoutes),
           .m_pools = { { .m_id = PoolId("p") } } };
}

std::string
FindRouteId(const FleetConfig& aConfig, const char* aHost, const char* aTarget)
{
  const FleetRoute* route = aConfig.FindRoute(aHost, aTarget);
  return route == nullptr ? "" : route->m_id.Value();
}

TEST_CASE("the longest matching prefix of the host's routes is selected")
{
  const FleetConfig config(
    MakeConfigData(1,
                   { MakeRoute("root", "a.example", "/"),
                     MakeRoute("deep", "a.example", "/x/y/"),
                     MakeRoute("short", "a.example", "/x/"),
                     MakeRoute("other", "b.example", "/x/") }));
  CHECK(FindRouteId(config, "a.example", "/x/y/z") == "deep");
  CHECK(FindRouteId(config, "a.example", "/x/y/") == "deep");
  CHECK(FindRouteId(config, "a.example", "/x/y") == "short");
  CHECK(FindRouteId(config, "a.example", "/q?/x/y/") == "root");
  CHECK(FindRouteId(config, "A.Example:8080", "/x/1") == "short");
  CHECK(FindRouteId(config, "b.example", "/x/y/z") == "other");
  CHECK(FindRouteId(config, "b.example", "/xy").empty());
  CHECK(FindRouteId(config, "c.example", "/x/").empty());
}

TEST_CASE(
  "an inconsistent configuration is rejected and the error names the route")
{
  FleetRoute unknownPool = MakeRoute("r", "a", "/x/");
  unknownPool.m_pools = { { .m_pool = PoolId("unlisted") } };
  CHECK_THROWS_WITH(FleetConfig(MakeConfigData(1, { unknownPool })),
                    "route r: unknown pool unlisted");
  CHECK_THROWS_AS(FleetConfig(MakeConfigData(1, { MakeRoute("r", "a", "/x") })),
                  FleetConfigError);
  FleetRoute zeroTimeout = MakeRoute("r", "a", "/x/");
  zeroTimeout.m_timeout = seconds(0);
  CHECK_THROWS_AS(FleetConfig(MakeConfigData(1, { zeroTimeout })),
                  FleetConfigError);
}

TEST_CASE("only newer versions are accepted")
{
  FleetConfigStore store;
  std::vector<std::uint64_t> seen;
  store.OnAccepted([&](const FleetConfig& aConfig) {
    seen.push_back(aConfig.Version().Value());
  });
  const auto offer = [&](std::uint64_t aVersion) {
    return store.Offer(std::make_shared<FleetConfig>(
      MakeConfigData(aVersion, { MakeRoute("r", "a", "/") })));
  };
  CHECK(offer(7));
  CHECK_FALSE(offer(5));
  CHECK_FALSE(offer(7));
  CHECK(offer(9));
  CHECK(seen == std::vector<std::uint64_t>{ 7, 9 });
  CHECK(store.InForce()->Version() == SectionVersion(9));
}

TEST_CASE(
  "no account is found for a key that is unknown or has an unknown account")
{
  FleetConfigData data = MakeConfigData(1, { MakeRoute("r", "a", "/") });
  data.m_accounts = { { .m_id = ClientAccountId("anna") } };
  data.m_keys = { { "k1", ClientAccountId("anna") },
                  { "k2", ClientAccountId("nobody") } };
  const FleetConfig config(data);
  REQUIRE(config.FindAccountOfKey("k1") != nullptr);
  CHECK(config.FindAccountOfKey("k1")->m_id == ClientAccountId("anna"));
  CHECK(config.FindAccountOfKey("k2") == nullptr);
  CHECK(config.FindAccountOfKey("k3") == nullptr);
}

} // namespace
} // namespace rattanweir
