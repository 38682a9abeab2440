#include "rattanweir/version/catalog/catalog.h"

#include "rattanweir/base/random/random.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace rattanweir {
namespace {

// SHA-256 of "quickstart-key" and of "other-key".
constexpr const char* kQuickstartHash =
  "130a82f68d3064ef477880b571abfcf0f1f4aac4f9cd161aea5e6b543d2ee2d8";
constexpr const char* kOtherHash =
  "580843d03d2216ff1a275d0991bad66e4d1af871171d929e9de604b7959f9bca";

SectionOffer
MakeOffer(SectionKind aKind, std::uint64_t aVersion, const std::string& aText)
{
  return { .m_kind = aKind,
           .m_version = SectionVersion(aVersion),
           .m_text = { .m_file = SectionName(aKind), .m_text = aText } };
}

SectionOffer
Accounts(std::uint64_t aVersion, const std::string& aId)
{
  return MakeOffer(SectionKind::ClientAccounts,
                   aVersion,
                   "maximum_instances: 8\nclient_accounts: [{id: " + aId +
                     ", rate_tokens_per_second: 1, burst_tokens: 1}]");
}

SectionOffer
FaultyAccounts(std::uint64_t aVersion)
{
  return MakeOffer(SectionKind::ClientAccounts,
                   aVersion,
                   "fault: " + std::to_string(aVersion));
}

std::string
RouteRow(const std::string& aId,
         const std::string& aPath,
         const std::string& aModel = "")
{
  return "  - {id: " + aId + ", path: " + aPath +
         (aModel.empty() ? "" : ", model: " + aModel) +
         ", idempotent: true, residency: any, cost: {fixed_tokens: 1}, "
         "deadline: 1s, pool: p}\n";
}

std::string
ServerRow(const std::string& aId,
          const std::string& aPool,
          const std::string& aRegion,
          int aPort,
          bool aIsDraining = false)
{
  return "  - {id: " + aId + ", pool: " + aPool +
         ", kind: plain_service, region: " + aRegion +
         ", availability_zone: z, address: '10.0.0.1:" + std::to_string(aPort) +
         "'" + (aIsDraining ? ", leaving: true" : "") + "}\n";
}

// Returns the id of the only client account in force; empty if no accounts are
// in force.
std::string
AccountInForce(const Catalog& aCatalog)
{
  const auto& accounts = aCatalog.ClientAccounts().m_clientAccounts;
  return accounts.empty() ? "" : accounts.at(0).m_id.Value();
}

TEST_CASE("only newer versions are accepted")
{
  Catalog catalog;
  std::vector<SectionKind> acceptedKinds;
  catalog.OnAccepted(
    [&](SectionKind aKind) { acceptedKinds.push_back(aKind); });
  REQUIRE(catalog.Offer(Accounts(5, "five")) == OfferOutcome::Accepted);
  REQUIRE(catalog.Offer(Accounts(4, "four")) == OfferOutcome::NotNewer);
  REQUIRE(catalog.Offer(FaultyAccounts(3)) == OfferOutcome::NotNewer);
  REQUIRE(catalog.Offer(Accounts(5, "five")) == OfferOutcome::NotNewer);
  REQUIRE(catalog.Status(SectionKind::ClientAccounts).m_conflictCount == 0);
  REQUIRE(catalog.Offer(Accounts(5, "other")) == OfferOutcome::NotNewer);
  REQUIRE(catalog.Status(SectionKind::ClientAccounts).m_conflictCount == 1);
  REQUIRE(AccountInForce(catalog) == "five");
  REQUIRE(catalog.Offer(Accounts(6, "six")) == OfferOutcome::Accepted);
  REQUIRE(AccountInForce(catalog) == "six");
  REQUIRE(catalog.InForce(SectionKind::ClientAccounts)->m_version ==
          SectionVersion(6));
  REQUIRE(catalog.InForce(SectionKind::ClientAccounts)->m_text.m_text ==
          Accounts(6, "six").m_text.m_text);
  REQUIRE(acceptedKinds == std::vector(2, SectionKind::ClientAccounts));
}

TEST_CASE(
  "a rejected version is recorded and does not replace the accepted one")
{
  Catalog catalog;
  const auto status = [&] {
    return catalog.Status(SectionKind::ClientAccounts);
  };
  REQUIRE(catalog.Offer(FaultyAccounts(1)) == OfferOutcome::Rejected);
  REQUIRE(!status().m_inForce);
  REQUIRE(!catalog.InForce(SectionKind::ClientAccounts));
  REQUIRE(catalog.Offer(Accounts(5, "five")) == OfferOutcome::Accepted);
  REQUIRE(!status().m_rejected);
  REQUIRE(catalog.Offer(FaultyAccounts(9)) == OfferOutcome::Rejected);
  REQUIRE(catalog.Offer(FaultyAccounts(7)) == OfferOutcome::Rejected);
  REQUIRE(status().m_rejected == SectionVersion(9));
  REQUIRE(status().m_faults.at(0).m_field == "maximum_instances");
  REQUIRE(status().m_rejectedCount == 3);
  REQUIRE(catalog.Offer(FaultyAccounts(9)) == OfferOutcome::Rejected);
  REQUIRE(status().m_rejectedCount == 3);
  REQUIRE(AccountInForce(catalog) == "five");
  REQUIRE(catalog.Offer(Accounts(8, "eight")) == OfferOutcome::Accepted);
  REQUIRE(status().m_rejected == SectionVersion(9));
  REQUIRE(catalog.Offer(Accounts(10, "ten")) == OfferOutcome::Accepted);
  REQUIRE(!status().m_rejected);
  REQUIRE(status().m_faults.empty());
  REQUIRE(status().m_acceptedCount == 3);
}

TEST_CASE("the final state does not depend on the order of offers")
{
  constexpr std::uint64_t kSeeds = 200;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    RandomEngine engine(seed);
    std::vector<SectionOffer> offers;
    std::uint64_t newestValid = 0;
    std::uint64_t newestFaulty = 0;
    for (std::uint64_t version = 1; version <= 8; ++version) {
      const bool isValid = UniformIndex(engine, 2) == 0;
      (isValid ? newestValid : newestFaulty) = version;
      offers.push_back(isValid ? Accounts(version, std::to_string(version))
                               : FaultyAccounts(version));
      if (UniformIndex(engine, 3) == 0) {
        offers.push_back(offers.back());
      }
    }
    std::shuffle(offers.begin(), offers.end(), engine);
    Catalog catalog;
    for (const SectionOffer& offer : offers) {
      catalog.Offer(offer);
    }
    CAPTURE(seed, newestValid, newestFaulty);
    const auto status = catalog.Status(SectionKind::ClientAccounts);
    REQUIRE(AccountInForce(catalog) ==
            (newestValid == 0 ? "" : std::to_string(newestValid)));
    REQUIRE(status.m_inForce.value_or(SectionVersion(0)) ==
            SectionVersion(newestValid));
    REQUIRE(status.m_rejected.value_or(SectionVersion(0)) ==
            SectionVersion(newestFaulty > newestValid ? newestFaulty : 0));
  }
}

TEST_CASE("the catalog is complete once each section has a version")
{
  Catalog catalog;
  REQUIRE(!catalog.IsComplete());
  catalog.Offer(Accounts(1, "a"));
  catalog.Offer(MakeOffer(SectionKind::Keys, 1, "keys: []"));
  catalog.Offer(MakeOffer(SectionKind::Routes, 1, "routes: []"));
  REQUIRE(!catalog.IsComplete());
  catalog.Offer(
    MakeOffer(SectionKind::BackendServers, 1, "backend_servers: []"));
  REQUIRE(catalog.IsComplete());
}

TEST_CASE("the longest prefix at a / wins, then the request's model")
{
  Catalog catalog;
  const std::string rows = RouteRow("v1", "/v1") +
                           RouteRow("chat", "/v1/chat") +
                           RouteRow("chat-guide", "/v1/chat", "guide") +
                           RouteRow("draft-guide", "/v1/chat/draft", "guide") +
                           RouteRow("book", "/book");
  REQUIRE(
    catalog.Offer(MakeOffer(SectionKind::Routes, 1, "routes:\n" + rows)) ==
    OfferOutcome::Accepted);
  struct Case
  {
    const char* m_path;
    const char* m_model;
    // Empty if no route matches the path.
    const char* m_route;
  };
  const Case cases[] = {
    { "/v1", "", "v1" },
    { "/v1/", "", "v1" },
    { "/v1/chatty", "", "v1" },
    { "/v1/chat", "", "chat" },
    { "/v1/chat", "guide", "chat-guide" },
    { "/v1/chat", "other", "chat" },
    { "/v1/chat/x/y/z/and/so/on/and/on", "guide", "chat-guide" },
    { "/v1/chat/draft/", "guide", "draft-guide" },
    { "/v1/chat/draft", "other", "chat" },
    { "/v1/chat/drafts", "guide", "chat-guide" },
    { "/v2", "", "" },
    { "/v10", "", "" },
    { "/", "", "" },
    { "", "", "" },
    { "v1", "", "" },
    { "*", "", "" },
    { "/v1/a%20b", "", "v1" },
    // Paths that a backend server might treat as another route's path.
    { "/v1/../book", "", "" },
    { "/v1/./chat", "", "" },
    { "/v1//chat", "", "" },
    { "/v1/%2e%2e/book", "", "" },
    { "/v1/%2E./book", "", "" },
    { "/v1%2fchat", "", "" },
    { "/v1/%63hat", "", "" },
    { "/v1/..;/book", "", "" },
    { "/v1\\chat", "", "" },
    { "/v1/%5cchat", "", "" },
    { "/v1/%2", "", "" },
    { "/v1/%", "", "" },
    { "/v1/%zz", "", "" },
  };
  for (const Case& c : cases) {
    CAPTURE(c.m_path, c.m_model);
    const std::string model = c.m_model;
    const Route* route = catalog.FindRoute(
      c.m_path, model.empty() ? std::nullopt : std::optional(ModelId(model)));
    CHECK((route == nullptr ? "" : route->m_id.Value()) == c.m_route);
  }
  REQUIRE(catalog.FindRoute(RouteId("book"))->m_pathPrefix == "/book");
  REQUIRE(catalog.FindRoute(RouteId("none")) == nullptr);
}

TEST_CASE("a route for / matches every path")
{
  Catalog catalog;
  catalog.Offer(
    MakeOffer(SectionKind::Routes, 1, "routes:\n" + RouteRow("all", "/")));
  const char* path = GENERATE("/", "/a", "/a/b", "/a/b/");
  REQUIRE(catalog.FindRoute(path, std::nullopt) != nullptr);
  REQUIRE(catalog.FindRoute("*", std::nullopt) == nullptr);
}

TEST_CASE("a presented key is found until the key is withdrawn")
{
  Catalog catalog;
  const auto row = [](const std::string& aId, const std::string& aHash) {
    return "  - {id: " + aId + ", client_account: a, sha256: " + aHash + "}\n";
  };
  const std::string both =
    "keys:\n" + row("k1", kQuickstartHash) + row("k2", kOtherHash);
  catalog.Offer(MakeOffer(SectionKind::Keys, 1, both));
  REQUIRE(catalog.FindKey("quickstart-key")->m_id == KeyId("k1"));
  REQUIRE(catalog.FindKey("other-key")->m_id == KeyId("k2"));
  REQUIRE(catalog.IsGranted(KeyId("k1"), ClientAccountId("a")));
  REQUIRE(!catalog.IsGranted(KeyId("k1"), ClientAccountId("b")));
  const char* wrong = GENERATE("", "quickstart-keys", "Other-key", "k1");
  REQUIRE(catalog.FindKey(wrong) == nullptr);
  REQUIRE(catalog.FindKey(kQuickstartHash) == nullptr);

  catalog.Offer(
    MakeOffer(SectionKind::Keys, 2, "keys:\n" + row("k2", kOtherHash)));
  REQUIRE(catalog.FindKey("quickstart-key") == nullptr);
  REQUIRE(!catalog.IsGranted(KeyId("k1"), ClientAccountId("a")));
  REQUIRE(catalog.FindKey("other-key") != nullptr);
}

TEST_CASE("backend servers are found by pool and region")
{
  Catalog catalog;
  const std::string rows =
    ServerRow("a", "p", "west", 1) + ServerRow("b", "p", "west", 2, true) +
    ServerRow("c", "p", "east", 3) + ServerRow("d", "p", "north", 4, true) +
    ServerRow("e", "q", "west", 5);
  catalog.Offer(
    MakeOffer(SectionKind::BackendServers, 1, "backend_servers:\n" + rows));
  REQUIRE(catalog.BackendServersOf(PoolId("p"), RegionId("west")).size() == 2);
  REQUIRE(catalog.BackendServersOf(PoolId("p"), RegionId("south")).empty());
  REQUIRE(catalog.BackendServersOf(PoolId("none"), RegionId("west")).empty());
  REQUIRE(catalog.RegionsOf(PoolId("p")) ==
          std::vector{ RegionId("east"), RegionId("west") });
  REQUIRE(catalog.RegionsOf(PoolId("none")).empty());
  REQUIRE(catalog.BackendServerIds().size() == 5);
  catalog.Offer(
    MakeOffer(SectionKind::BackendServers,
              2,
              "backend_servers:\n" + ServerRow("b", "p", "west", 2)));
  REQUIRE(catalog.BackendServerIds() == std::set{ BackendServerId("b") });
}

} // namespace
} // namespace rattanweir
