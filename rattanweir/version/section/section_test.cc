#include "rattanweir/version/section/section.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;

constexpr const char* kAccounts = R"(version: 3
maximum_instances: 8
client_accounts:
  - { id: parents, rate_tokens_per_second: 500, burst_tokens: 4000, home_region: ostland }
  - { id: teachers, rate_tokens_per_second: 0.5, burst_tokens: 90 }
)";
constexpr const char* kKeys = R"(version: 1
keys:
  - id: parents-1
    client_account: parents
    sha256: 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
)";
constexpr const char* kRoutes = R"(version: 1
routes:
  - id: chat
    path: /v1/chat
    model: guide
    idempotent: true
    residency: any
    cost: { default_max_tokens: 256 }
    deadline: 30s
    pool: answers
  - id: book
    path: /v1/book
    open_to_all: true
    idempotent: false
    residency: [ostland, vestland]
    cost: { fixed_tokens: 5 }
    deadline: 5s
    pool: booking
)";
constexpr const char* kServers = R"(version: 1
backend_servers:
  - id: engine-1
    pool: answers
    kind: model_engine
    region: ostland
    availability_zone: ostland-a
    address: 10.0.0.1:9000
    echoes_attempt_id: true
    resumes_streams: true
  - { id: s1, pool: booking, kind: plain_service, region: ostland, availability_zone: ostland-a, address: "10.0.0.2:9000", leaving: true, maximum_in_flight: 4 }
)";

const char*
ValidText(SectionKind aKind)
{
  switch (aKind) {
    case SectionKind::ClientAccounts:
      return kAccounts;
    case SectionKind::Keys:
      return kKeys;
    case SectionKind::Routes:
      return kRoutes;
    case SectionKind::BackendServers:
      return kServers;
  }
  return "";
}

std::string
ReplaceFirst(std::string aText,
             const std::string& aOld,
             const std::string& aNew)
{
  const std::size_t position = aText.find(aOld);
  REQUIRE(position != std::string::npos);
  return aText.replace(position, aOld.size(), aNew);
}

std::vector<std::string>
FaultTexts(SectionKind aKind, const std::string& aText)
{
  std::vector<std::string> texts;
  for (const auto& fault :
       FindFaults(aKind, { .m_file = "f", .m_text = aText })) {
    texts.push_back(fault.ToString());
  }
  return texts;
}

TEST_CASE("each section is read with all its fields")
{
  const auto accounts = ParseClientAccounts({ "f", kAccounts });
  REQUIRE(accounts.m_maximumInstances == 8);
  REQUIRE(accounts.m_clientAccounts.size() == 2);
  REQUIRE(accounts.m_clientAccounts[0].m_homeRegion == RegionId("ostland"));
  REQUIRE(accounts.m_clientAccounts[0].m_burst == Tokens(4000));
  REQUIRE(accounts.m_clientAccounts[1].m_rate == TokenRate(0.5));
  REQUIRE(!accounts.m_clientAccounts[1].m_homeRegion);

  const auto keys = ParseKeys({ "f", kKeys });
  REQUIRE(keys.m_keys.at(0).m_clientAccount == ClientAccountId("parents"));
  REQUIRE(keys.m_keys.at(0).m_hash.m_hex.starts_with("0001"));

  const auto routes = ParseRoutes({ "f", kRoutes }).m_routes;
  REQUIRE(routes.at(0).m_model == ModelId("guide"));
  REQUIRE(routes.at(0).m_isIdempotent);
  REQUIRE(!routes.at(0).m_isOpenToAll);
  REQUIRE(std::get<ModelCost>(routes.at(0).m_cost).m_defaultMaxTokens ==
          Tokens(256));
  REQUIRE(routes.at(0).m_deadline == 30s);
  REQUIRE(std::holds_alternative<AnyRegion>(routes.at(0).m_residency));
  REQUIRE(routes.at(1).m_isOpenToAll);
  REQUIRE(!routes.at(1).m_isIdempotent);
  REQUIRE(std::get<ListedRegions>(routes.at(1).m_residency).m_regions.size() ==
          2);
  REQUIRE(std::get<FixedCost>(routes.at(1).m_cost).m_tokens == Tokens(5));

  const auto servers = ParseBackendServers({ "f", kServers }).m_backendServers;
  REQUIRE(servers.at(0).m_kind == BackendServerKind::ModelEngine);
  REQUIRE(servers.at(0).m_echoesAttemptId);
  REQUIRE(servers.at(0).m_resumesStreams);
  REQUIRE(servers.at(0).m_maximumInFlight == 64);
  REQUIRE(servers.at(1).m_isDraining);
  REQUIRE(servers.at(1).m_maximumInFlight == 4);
  REQUIRE(servers.at(1).m_endpoint == Endpoint{ "10.0.0.2", 9000 });
}

struct FaultCase
{
  SectionKind m_kind;
  // The part of the valid text to replace, and its replacement.
  const char* m_old;
  const char* m_new;
  // The location of the expected fault, and a part of its message.
  const char* m_location;
  const char* m_message;
};

constexpr SectionKind kAccountsKind = SectionKind::ClientAccounts;
constexpr SectionKind kKeysKind = SectionKind::Keys;
constexpr SectionKind kRoutesKind = SectionKind::Routes;
constexpr SectionKind kServersKind = SectionKind::BackendServers;

// clang-format off
const FaultCase kFaultCases[] = {
  { kAccountsKind, "version: 3", "version: 0", "f:1: client_accounts.version", "within" },
  { kAccountsKind, "version: 3", "version: x", "f:1: client_accounts.version", "whole" },
  { kAccountsKind, "maximum_instances: 8", "x: 8", "f:1: client_accounts.maximum_instances", "missing" },
  { kAccountsKind, "maximum_instances: 8", "maximum_instances: 0", "f:2: client_accounts.maximum_instances", "0 is not within 1 to 10000" },
  { kAccountsKind, "maximum_instances: 8", "maximum_instances: 8.5", "f:2: client_accounts.maximum_instances", "whole number" },
  { kAccountsKind, "maximum_instances: 8", "maximum_instances: [8]", "f:2: client_accounts.maximum_instances", "not a single value" },
  { kAccountsKind, "maximum_instances: 8", "maximum_instances: 8\nother: 1", "f:3: client_accounts.other", "not a known field" },
  { kAccountsKind, "maximum_instances: 8", "maximum_instances: 8\nversion: 4", "f:3: client_accounts.version", "twice" },
  { kAccountsKind, "id: teachers", "id: parents", "f:5: client_accounts[1].id", "line 4" },
  { kAccountsKind, "id: teachers", "id: 'a b'", "f:5: client_accounts[1].id", "not an id" },
  { kAccountsKind, "id: teachers, ", "", "f:5: client_accounts[1].id", "missing" },
  { kAccountsKind, "rate_tokens_per_second: 500", "rate_tokens_per_second: fast", "f:4: client_accounts[0].rate_tokens_per_second", "not a number" },
  { kAccountsKind, "rate_tokens_per_second: 500", "rate_tokens_per_second: nan", "f:4: client_accounts[0].rate_tokens_per_second", "within" },
  { kAccountsKind, "rate_tokens_per_second: 500", "rate_tokens_per_second: -1", "f:4: client_accounts[0].rate_tokens_per_second", "within" },
  { kAccountsKind, "burst_tokens: 4000", "burst_tokens: 0", "f:4: client_accounts[0].burst_tokens", "within" },
  { kAccountsKind, "burst_tokens: 4000", "burst_tokens: 4k", "f:4: client_accounts[0].burst_tokens", "whole number" },
  { kAccountsKind, "home_region", "home", "f:4: client_accounts[0].home", "not a known field" },
  { kAccountsKind, "client_accounts:", "client_accounts: {a: 1}\nrest:", "f:3: client_accounts.client_accounts", "not a list" },
  { kAccountsKind, "id: parents,", "id: 'parents,", "f:6: client_accounts", "not YAML" },
  { kKeysKind, "id: parents-1", "id: parents-1\n    key: secret", "f:4: keys[0].key", "not a known field" },
  { kKeysKind, "sha256: 00", "sha256: ", "f:5: keys[0].sha256", "64 lower-case" },
  { kKeysKind, "sha256: 00", "sha256: AA", "f:5: keys[0].sha256", "64 lower-case" },
  { kKeysKind, "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f", "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855", "f:5: keys[0].sha256", "empty string" },
  { kKeysKind, "parents-1\n    client_account: parents\n    sha256: 0", "a\n    client_account: b\n    sha256: 0001020304050607080900000000000000000000000000000000000000000000\n  - id: b\n    client_account: b\n    sha256: 0001020304050607080900000000000000000000000000000000000000000000\n  - id: c\n    client_account: c\n    sha256: 0", "f:8: keys[1].sha256", "is already used (line 5)" },
  { kKeysKind, "client_account: parents", "client_account: ''", "f:4: keys[0].client_account", "not an id" },
  { kRoutesKind, "id: book", "id: chat", "f:11: routes[1].id", "line 3" },
  { kRoutesKind, "path: /v1/book", "path: /v1/chat\n    model: guide", "f:12: routes[1].path", "line 4" },
  { kRoutesKind, "/v1/book", "v1", "f:12: routes[1].path", "not a path prefix" },
  { kRoutesKind, "/v1/book", "/v1/", "f:12: routes[1].path", "not a path prefix" },
  { kRoutesKind, "/v1/book", "/v1/../x", "f:12: routes[1].path", "not a path prefix" },
  { kRoutesKind, "/v1/book", "/v1/%62ook", "f:12: routes[1].path", "not a path prefix" },
  { kRoutesKind, "idempotent: false", "idempotent: maybe", "f:14: routes[1].idempotent", "false, true" },
  { kRoutesKind, "    idempotent: false\n", "", "f:11: routes[1].idempotent", "missing" },
  { kRoutesKind, "residency: any", "residency: nowhere", "f:7: routes[0].residency", "any, home" },
  { kRoutesKind, "[ostland, vestland]", "[]", "f:15: routes[1].residency", "at least one" },
  { kRoutesKind, "[ostland, vestland]", "[ostland, ostland]", "f:15: routes[1].residency", "twice" },
  { kRoutesKind, "[ostland, vestland]", "home", "f:15: routes[1].residency", "open to all" },
  { kRoutesKind, "fixed_tokens: 5", "fixed_tokens: 5, default_max_tokens: 5", "f:16: routes[1].cost", "either" },
  { kRoutesKind, "{ fixed_tokens: 5 }", "{}", "f:16: routes[1].cost", "either" },
  { kRoutesKind, "{ fixed_tokens: 5 }", "5", "f:16: routes[1].cost", "not a mapping" },
  { kRoutesKind, "fixed_tokens: 5", "fixed_tokens: -5", "f:16: routes[1].cost.fixed_tokens", "within" },
  { kRoutesKind, "deadline: 30s", "deadline: 30", "f:9: routes[0].deadline", "not a duration" },
  { kRoutesKind, "deadline: 30s", "deadline: 30KiB", "f:9: routes[0].deadline", "not a duration" },
  { kRoutesKind, "deadline: 30s", "deadline: 1ms", "f:9: routes[0].deadline", "10ms to 24h" },
  { kRoutesKind, "    pool: booking\n", "", "f:11: routes[1].pool", "missing" },
  { kServersKind, "id: s1", "id: engine-1", "f:11: backend_servers[1].id", "line 3" },
  { kServersKind, "10.0.0.2:9000", "10.0.0.1:9000", "f:11: backend_servers[1].address", "line 8" },
  { kServersKind, "10.0.0.2:9000", "host:9000", "f:11: backend_servers[1].address", "is not an IPv4 address and port" },
  { kServersKind, "10.0.0.2:9000", "10.0.0.2:0", "f:11: backend_servers[1].address", "port must not be 0" },
  { kServersKind, "kind: plain_service", "kind: engine", "f:11: backend_servers[1].kind", "model_engine, plain_service" },
  { kServersKind, "leaving: true", "leaving: 1", "f:11: backend_servers[1].leaving", "false, true" },
  { kServersKind, "maximum_in_flight: 4", "maximum_in_flight: 0", "f:11: backend_servers[1].maximum_in_flight", "within" },
  { kServersKind, "region: ostland\n", "region:\n", "f:6: backend_servers[0].region", "not a single value" },
  { kServersKind, "  - { id: s1", "  - s1\n  - { id: s1", "f:11: backend_servers[1]", "not a mapping" },
  { kServersKind, "pool: answers", "pool: &p answers\n    kind: *p", "f:5: backend_servers", "alias" },
  { kServersKind, "version: 1", "version: 1\n---", "f: backend_servers", "more than one" },
};
// clang-format on

TEST_CASE("a faulty section is rejected with the location of its fault")
{
  for (const FaultCase& c : kFaultCases) {
    const std::string text =
      ReplaceFirst(ValidText(c.m_kind), c.m_old, c.m_new);
    const std::vector<std::string> faults = FaultTexts(c.m_kind, text);
    CAPTURE(text, faults, c.m_location, c.m_message);
    const auto isExpected = [&](const std::string& aFault) {
      return aFault.starts_with(std::string(c.m_location) + ": ") &&
             aFault.find(c.m_message) != std::string::npos;
    };
    CHECK(std::count_if(faults.begin(), faults.end(), isExpected) == 1);
  }
}

TEST_CASE("all faults of a section are reported together, ordered by line")
{
  const std::string text = ReplaceFirst(
    ReplaceFirst(ReplaceFirst(kRoutes, "deadline: 30s", "deadline: soon"),
                 "idempotent: false",
                 "idempotent: no"),
    "pool: booking",
    "pools: booking");
  std::vector<std::string> locations;
  for (const std::string& fault : FaultTexts(kRoutesKind, text)) {
    locations.push_back(fault.substr(0, fault.rfind(": ")));
  }
  REQUIRE(locations == std::vector<std::string>{ "f:9: routes[0].deadline",
                                                 "f:11: routes[1].pool",
                                                 "f:14: routes[1].idempotent",
                                                 "f:18: routes[1].pools" });
}

TEST_CASE(
  "a text that is empty, too large, too deep or not a mapping is rejected")
{
  const SectionKind kind =
    GENERATE(kAccountsKind, kKeysKind, kRoutesKind, kServersKind);
  REQUIRE(FaultTexts(kind, ValidText(kind)).empty());
  REQUIRE(FaultTexts(kind, "").size() == 1);
  REQUIRE(FaultTexts(kind, "[1, 2]").size() == 1);
  REQUIRE(FaultTexts(kind, "{").size() == 1);
  // Recursion to this depth would overflow any stack.
  REQUIRE(FaultTexts(kind, std::string(900'000, '[')).size() == 1);
  std::string large = std::string(ValidText(kind)) + "#";
  large.append(1'000'000 - large.size(), 'x');
  REQUIRE(FaultTexts(kind, large).empty());
  large += "x";
  REQUIRE(FaultTexts(kind, large).at(0).find("1000001 bytes") !=
          std::string::npos);
}

TEST_CASE("no fault repeats an invalid value of a key's hash")
{
  const auto faults =
    FaultTexts(kKeysKind, ReplaceFirst(kKeys, "sha256: 0", "sha256: s"));
  REQUIRE(faults.size() == 1);
  REQUIRE(faults[0].find("s00102") == std::string::npos);
}

TEST_CASE("only the first 200 faults are kept and the others are counted")
{
  std::string text = "keys:\n";
  for (int i = 0; i < 500; ++i) {
    text += "  - 1\n";
  }
  const auto faults = FaultTexts(kKeysKind, text);
  REQUIRE(faults.size() == 201);
  REQUIRE(faults.back() == "f: keys: 300 more faults");
}

TEST_CASE("the version field is read even if other fields are faulty")
{
  REQUIRE(ReadSectionVersion(kAccountsKind, { "f", "version: 12\nother: 1" }) ==
          SectionVersion(12));
  const char* text = GENERATE("other: 1", "version: -1", "version: {", "");
  REQUIRE_THROWS_AS(ReadSectionVersion(kAccountsKind, { "f", text }),
                    SectionError);
}

} // namespace
} // namespace rattanweir
