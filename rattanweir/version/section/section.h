// The four sections of the configuration, as checked values.
//
// Each section is published on its own, with its own version, by the team
// that owns it. Whether one is accepted depends on its own text alone, so
// every instance judges alike whatever the order of arrival. References into
// other sections are looked up per request, not here.
//
//   const ClientAccountsSection accounts =
//     ParseClientAccounts({ .m_file = "client_accounts.yaml", .m_text = text
//     });
//
// The parsers throw SectionError, which holds every fault that was found.
// All types are values, safe to share once built.

#pragma once

#include "rattanweir/base/endpoint/endpoint.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/units/units.h"
#include "rattanweir/version/fault/fault.h"

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace rattanweir {

enum class SectionKind
{
  ClientAccounts,
  Keys,
  Routes,
  BackendServers,
};

inline constexpr SectionKind kAllSectionKinds[] = {
  SectionKind::ClientAccounts,
  SectionKind::Keys,
  SectionKind::Routes,
  SectionKind::BackendServers,
};

// `client_accounts`, `keys`, `routes` or `backend_servers`.
std::string
SectionName(SectionKind aKind);

// The reverse of SectionName, or nothing.
std::optional<SectionKind>
SectionKindFromName(const std::string& aName);

// A client account and its rights over the whole fleet.
struct ClientAccount
{
  ClientAccountId m_id;
  // Over any time t the fleet admits at most rate * t + burst tokens.
  TokenRate m_rate;
  Tokens m_burst;
  // The region where this account's data must stay, for routes whose
  // residency is the account's home.
  std::optional<RegionId> m_homeRegion;
};

struct ClientAccountsSection
{
  std::vector<ClientAccount> m_clientAccounts;
  // The most instances that ever run at once, replacements included. Each
  // owns an equal share of every account's rate and burst.
  std::uint32_t m_maximumInstances = 1;
};

// The SHA-256 of a key, as lower-case hexadecimal text.
struct KeyHash
{
  std::string m_hex;
  friend auto operator<=>(const KeyHash&, const KeyHash&) = default;
};

// One key and the client account that it serves. Withdrawn by leaving it out.
struct KeyGrant
{
  KeyId m_id;
  ClientAccountId m_clientAccount;
  KeyHash m_hash;
};

struct KeysSection
{
  std::vector<KeyGrant> m_keys;
};

// Where the data of a route's requests may be.
struct AnyRegion
{};
struct HomeRegionOfClientAccount
{};
struct ListedRegions
{
  std::set<RegionId> m_regions;
};
using Residency =
  std::variant<AnyRegion, HomeRegionOfClientAccount, ListedRegions>;

// How many tokens a request reserves before it is sent.
struct FixedCost
{
  Tokens m_tokens;
};
// The prompt's estimate plus the most that may be generated: the request's
// own `max_tokens`, or this default.
struct ModelCost
{
  Tokens m_defaultMaxTokens;
};
using RouteCost = std::variant<FixedCost, ModelCost>;

// One route: which requests it takes and how they are served.
struct Route
{
  RouteId m_id;
  // Takes a path equal to the prefix, or below it at a `/`. The longest
  // prefix that matches wins, and with equal prefixes one that names the
  // request's model goes before one that names none.
  std::string m_pathPrefix;
  std::optional<ModelId> m_model;
  bool m_isOpenToAll = false;
  bool m_isIdempotent = false;
  Residency m_residency;
  RouteCost m_cost;
  // From the end of the caller's request to the end of its answer.
  std::chrono::nanoseconds m_deadline{};
  PoolId m_pool;
};

struct RoutesSection
{
  std::vector<Route> m_routes;
};

enum class BackendServerKind
{
  ModelEngine,
  PlainService,
};

// One backend server.
struct BackendServer
{
  BackendServerId m_id;
  PoolId m_pool;
  BackendServerKind m_kind = BackendServerKind::PlainService;
  RegionId m_region;
  AvailabilityZoneId m_zone;
  Endpoint m_endpoint;
  // Whether its answers repeat the attempt id, so that one without it counts
  // as an answer to another request.
  bool m_echoesAttemptId = false;
  // Whether a broken stream can be resumed at an offset.
  bool m_resumesStreams = false;
  // Published as leaving: gets no new work.
  bool m_isDraining = false;
  // The most requests that it is sent at once by one instance.
  std::uint32_t m_maximumInFlight = 64;
};

struct BackendServersSection
{
  std::vector<BackendServer> m_backendServers;
};

// Each parses and checks one section. Throws SectionError.
ClientAccountsSection
ParseClientAccounts(const SectionText& aText);
KeysSection
ParseKeys(const SectionText& aText);
RoutesSection
ParseRoutes(const SectionText& aText);
BackendServersSection
ParseBackendServers(const SectionText& aText);

// Parses and checks a section of any kind; empty if it has no fault.
std::vector<SectionFault>
FindFaults(SectionKind aKind, const SectionText& aText);

// The `version` field of a section's text, whatever its other fields hold.
// Throws SectionError if there is none.
SectionVersion
ReadSectionVersion(SectionKind aKind, const SectionText& aText);

} // namespace rattanweir
