// The four sections of the configuration, as validated values. Used by the
// product's own interface; the users' platform uses version/fleet_config.
//
// Each section is published separately, with its own version, by the team that
// owns it. Its validity depends on its own text alone, so all instances reach
// the same result in whatever order the sections arrive. References to other
// sections are resolved per request, not here.
//
//   const ClientAccountsSection accounts =
//     ParseClientAccounts({ .m_file = "client_accounts.yaml", .m_text = text
//     });
//
// The parsers throw SectionError, which holds every fault that was found.
// All types are value types; const access from several threads is safe.

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

// Returns `client_accounts`, `keys`, `routes` or `backend_servers`.
std::string
SectionName(SectionKind aKind);

// Returns the kind with this SectionName, or nullopt.
std::optional<SectionKind>
SectionKindFromName(const std::string& aName);

// A client account and its rate limit across the entire fleet.
struct ClientAccount
{
  ClientAccountId m_id;
  // In any interval of length t, the fleet admits at most rate * t + burst
  // tokens.
  TokenRate m_rate;
  Tokens m_burst;
  // The region that this account's data must not leave on routes whose
  // residency is `home`.
  std::optional<RegionId> m_homeRegion;
};

struct ClientAccountsSection
{
  std::vector<ClientAccount> m_clientAccounts;
  // The maximum number of instances that run at the same time, including
  // replacements. Each owns an equal share of every account's rate and burst.
  std::uint32_t m_maximumInstances = 1;
};

// The SHA-256 of a key, as lower-case hexadecimal text.
struct KeyHash
{
  std::string m_hex;
  friend auto operator<=>(const KeyHash&, const KeyHash&) = default;
};

// One key and the client account that it authenticates. A key is withdrawn by
// omitting it from a newer version.
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

// Residency: the regions in which the data of a route's requests may be
// processed.
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

// RouteCost: the number of tokens that a request reserves before it is sent.
struct FixedCost
{
  Tokens m_tokens;
};
// The estimated prompt tokens plus the maximum that may be generated: the
// request's `max_tokens`, or this default.
struct ModelCost
{
  Tokens m_defaultMaxTokens;
};
using RouteCost = std::variant<FixedCost, ModelCost>;

// One route: which requests it matches and how they are served.
struct Route
{
  RouteId m_id;
  // Matches a path that equals the prefix or continues it with a `/`. The
  // longest matching prefix wins; among equal prefixes, a route for the
  // request's model is preferred to one without a model.
  std::string m_pathPrefix;
  std::optional<ModelId> m_model;
  bool m_isOpenToAll = false;
  bool m_isIdempotent = false;
  Residency m_residency;
  RouteCost m_cost;
  // Measured from the end of the caller's request to the end of its response.
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
  // Whether the server's responses echo the attempt id. If so, a response
  // without that id is treated as a response to another request.
  bool m_echoesAttemptId = false;
  // Whether a broken stream can be resumed at an offset.
  bool m_resumesStreams = false;
  // A draining server gets no new requests. The setting's name is `leaving`.
  bool m_isDraining = false;
  // The maximum number of requests in flight from one instance to the server.
  std::uint32_t m_maximumInFlight = 64;
};

struct BackendServersSection
{
  std::vector<BackendServer> m_backendServers;
};

// Each function parses and validates one section. Throws SectionError.
ClientAccountsSection
ParseClientAccounts(const SectionText& aText);
KeysSection
ParseKeys(const SectionText& aText);
RoutesSection
ParseRoutes(const SectionText& aText);
BackendServersSection
ParseBackendServers(const SectionText& aText);

// Parses and validates a section of any kind. Returns its faults; empty if the
// section is valid.
std::vector<SectionFault>
FindFaults(SectionKind aKind, const SectionText& aText);

// Returns the `version` field of a section's text, without validating the other
// fields. Throws SectionError if the field is missing or invalid.
SectionVersion
ReadSectionVersion(SectionKind aKind, const SectionText& aText);

} // namespace rattanweir
