#include "rattanweir/version/document/document.h"

#include "rattanweir/version/text_file/text_file.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace rattanweir {
namespace {

const std::string kDocument = R"(client_accounts:
  maximum_instances: 8
  client_accounts: [{ id: a, rate_tokens_per_second: 1, burst_tokens: 1, home_region: west }]
keys:
  keys: [{ id: k, client_account: a, sha256: 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f }]
routes:
  version: 4
  routes: [{ id: r, path: /r, idempotent: true, residency: home, cost: { fixed_tokens: 1 }, deadline: 1s, pool: p }]
backend_servers:
  backend_servers: [{ id: s, pool: p, kind: plain_service, region: west, availability_zone: z, address: "10.0.0.1:1" }]
)";

struct Case
{
  const char* m_old;
  const char* m_new;
  const char* m_fault;
  const char* m_warning;
};

// clang-format off
const Case kCases[] = {
  { "maximum_instances: 8", "maximum_instances: 8", "", "" },
  { "maximum_instances: 8", "maximum_instances: x", "d:2: client_accounts.maximum_instances: 'x' is not a whole number", "" },
  { "deadline: 1s", "deadline: 1", "d:8: routes[0].deadline: '1' is not a duration such as 250ms, 30s, 5m or 2h", "" },
  { "keys:\n  keys:", "keyz:\n  keys:", "d:1: document.keys: is missing\nd:4: document.keyz: is not a known field", "" },
  { "client_account: a,", "client_account: b,", "", "d: keys[0].client_account: unknown client account 'b'" },
  { "pool: p }", "pool: q }", "", "d: routes[0].pool: pool 'q' has no backend server" },
  { "home_region: west", "home_region: east", "", "d: routes[0].residency: pool 'p' has no backend server in region 'east'" },
  { "residency: home", "residency: [west, north]", "", "d: routes[0].residency: pool 'p' has no backend server in region 'north'" },
};
// clang-format on

std::string
JoinFaults(const std::vector<SectionFault>& aFaults)
{
  return aFaults.empty() ? "" : SectionError(aFaults).what();
}

TEST_CASE(
  "faults and dangling references of a document are reported separately")
{
  for (const Case& c : kCases) {
    std::string text = kDocument;
    text.replace(text.find(c.m_old), std::string(c.m_old).size(), c.m_new);
    const auto report = CheckDocument({ .m_file = "d", .m_text = text });
    CAPTURE(c.m_new);
    CHECK(JoinFaults(report.m_faults) == c.m_fault);
    CHECK(JoinFaults(report.m_warnings) == c.m_warning);
  }
}

struct Sizes
{
  const char* m_example;
  std::size_t m_accounts;
  std::size_t m_engines;
  std::size_t m_services;
  std::size_t m_regions;
};

Document
ReadExample(const std::string& aExample)
{
  const std::string folder =
    std::string(RATTANWEIR_EXAMPLES "/") + aExample + "/configuration/";
  const auto text = [&](SectionKind aKind) {
    SectionText section = ReadTextFile(folder + SectionName(aKind) + ".yaml");
    REQUIRE(ReadSectionVersion(aKind, section) == SectionVersion(1));
    return section;
  };
  return {
    .m_clientAccounts = ParseClientAccounts(text(SectionKind::ClientAccounts)),
    .m_keys = ParseKeys(text(SectionKind::Keys)),
    .m_routes = ParseRoutes(text(SectionKind::Routes)),
    .m_backendServers = ParseBackendServers(text(SectionKind::BackendServers)),
  };
}

TEST_CASE("the example deployments are valid and have the expected sizes")
{
  const Sizes sizes[] = {
    { "skogstund", 5, 12, 3, 3 },
    { "venture", 5, 9, 3, 3 },
    { "quickstart", 1, 1, 1, 1 },
  };
  for (const Sizes& size : sizes) {
    CAPTURE(size.m_example);
    const Document document = ReadExample(size.m_example);
    CHECK(JoinFaults(FindDanglingReferences(document, "")).empty());
    CHECK(document.m_clientAccounts.m_clientAccounts.size() == size.m_accounts);
    std::map<BackendServerKind, std::size_t> kinds;
    std::set<RegionId> regions;
    for (const auto& server : document.m_backendServers.m_backendServers) {
      ++kinds[server.m_kind];
      regions.insert(server.m_region);
    }
    CHECK(kinds[BackendServerKind::ModelEngine] == size.m_engines);
    CHECK(kinds[BackendServerKind::PlainService] == size.m_services);
    CHECK(regions.size() == size.m_regions);
    const auto& routes = document.m_routes.m_routes;
    CHECK(std::any_of(routes.begin(), routes.end(), [](const Route& aRoute) {
      return aRoute.m_isOpenToAll;
    }));
    CHECK(std::any_of(routes.begin(), routes.end(), [](const Route& aRoute) {
      return !aRoute.m_isIdempotent;
    }));
  }
}

} // namespace
} // namespace rattanweir
