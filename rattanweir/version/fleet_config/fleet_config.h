// One version of a fleet's whole configuration: routes by host and path,
// pools of backend servers, client accounts with their keys, caller limits.
//
//   FleetConfigStore store;
//   store.Offer(std::move(config));
//   const FleetConfigPtr config = store.InForce();
//   const FleetRoute* route = config->FindRoute("api.example", "/v1/chat/2");
//
// A snapshot never changes after it was built, so that a request is handled by
// one version from its beginning to its end. For one thread.

#pragma once

#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/units/units.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rattanweir {

// What may be repeated of a route's requests.
enum class RequestKind
{
  // May run more than once.
  Idempotent,
  // Runs at most once.
  NonIdempotent,
  // An event stream; runs at most once unless the route resumes streams.
  Stream,
};

// A pool that serves a part of a route's requests.
struct PoolWeight
{
  PoolId m_pool;
  double m_weight = 1;
};

struct FleetRoute
{
  RouteId m_id;
  // In lower case.
  std::string m_host;
  // Begins and ends with a slash.
  std::string m_pathPrefix;
  RequestKind m_kind = RequestKind::NonIdempotent;
  bool m_resumesStreams = false;
  // At least one.
  std::vector<PoolWeight> m_pools;
  bool m_isOpenToAll = false;
  // The most backend servers that run one request.
  unsigned m_maxAttempts = 1;
  std::chrono::nanoseconds m_timeout{};
  // An answer, or the first event of a stream, is on time within this.
  std::chrono::nanoseconds m_latencyObjective{};
  // 0 goes first.
  unsigned m_priority = 0;
  // Empty: any region.
  std::set<RegionId> m_homeRegions;

  // Whether a request that may have run can be sent again.
  bool IsRetryable() const
  {
    return m_kind == RequestKind::Idempotent ||
           (m_kind == RequestKind::Stream && m_resumesStreams);
  }
};

// What is published of the model engines of a pool.
struct EngineProfile
{
  // Requests that one engine processes at once.
  unsigned m_slots = 1;
  // Shared by running requests and cached prompt parts.
  Tokens m_cacheTokens;
  // How long an engine takes to copy a cached prompt token from another one;
  // nothing if it cannot.
  std::optional<std::chrono::duration<double, std::nano>>
    m_cacheCopyTimePerToken;
};

struct Pool
{
  PoolId m_id;
  std::string m_healthPath;
  // Connections that one backend server accepts from all callers.
  unsigned m_maximumConnections = 0;
  // A server that has just started is cold for this long.
  std::chrono::nanoseconds m_coldDuration{};
  // Requests a second that a cold server takes; 0 is no bound.
  double m_coldRequestsPerSecond = 0;
  std::optional<EngineProfile> m_engine;
};

enum class RateUnit
{
  Requests,
  Tokens,
};

struct FleetAccount
{
  ClientAccountId m_id;
  // Goes before the route's.
  std::optional<unsigned> m_priority;
  RateUnit m_unit = RateUnit::Requests;
  // What a request without a declared size counts as.
  Tokens m_defaultCost{ 1 };
  // A second and at once, over the whole fleet, in the unit; 0 is no bound.
  double m_ratePerSecond = 0;
  double m_burst = 0;
  std::set<RegionId> m_homeRegions;
};

// What a caller may send, and how long it may take.
struct FleetLimits
{
  ByteCount m_headerBytes{ 16UL * 1024 };
  ByteCount m_bodyBytes{ 4UL * 1024 * 1024 };
  std::chrono::nanoseconds m_headerTimeout{ std::chrono::seconds(10) };
  std::chrono::nanoseconds m_idleTimeout{ std::chrono::seconds(60) };
};

// The rows of a configuration before they are checked.
struct FleetConfigRows
{
  SectionVersion m_version;
  std::vector<FleetRoute> m_routes;
  std::vector<Pool> m_pools;
  std::vector<FleetAccount> m_accounts;
  std::map<std::string, ClientAccountId> m_keys;
  // Without accounts requests need no key.
  bool m_hasAccounts = false;
  FleetLimits m_limits;
};

// A configuration that contradicts itself; the message names the row.
class FleetConfigError : public std::invalid_argument
{
public:
  using std::invalid_argument::invalid_argument;
};

class FleetConfig
{
public:
  // Throws FleetConfigError.
  explicit FleetConfig(FleetConfigRows aRows);

  SectionVersion Version() const { return m_rows.m_version; }
  const FleetLimits& Limits() const { return m_rows.m_limits; }
  bool HasAccounts() const { return m_rows.m_hasAccounts; }
  const std::vector<Pool>& Pools() const { return m_rows.m_pools; }
  const std::vector<FleetAccount>& Accounts() const
  {
    return m_rows.m_accounts;
  }
  std::size_t RouteCount() const { return m_rows.m_routes.size(); }

  // The route of the host with the longest prefix that begins the path (a
  // query does not count), or null.
  const FleetRoute* FindRoute(std::string_view aHost,
                              std::string_view aTarget) const;
  const Pool* FindPool(const PoolId& aId) const;
  const FleetAccount* FindAccount(const ClientAccountId& aId) const;
  // The account of a key as its caller shows it, or null.
  const FleetAccount* FindAccountOfKey(const std::string& aKey) const;

private:
  using RouteByPrefix = std::unordered_map<std::string, const FleetRoute*>;

  FleetConfigRows m_rows;
  std::unordered_map<std::string, RouteByPrefix> m_routesByHost;
  std::map<PoolId, const Pool*> m_pools;
  std::map<ClientAccountId, const FleetAccount*> m_accounts;
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

// Holds the newest version; never goes back to an older one.
class FleetConfigStore
{
public:
  // False if it is not newer than the one in force.
  bool Offer(FleetConfigPtr aConfig);

  // Null before the first one.
  FleetConfigPtr InForce() const { return m_inForce; }

  // Runs after each accepted offer.
  void OnAccepted(std::function<void(const FleetConfig&)> aFunction);

private:
  FleetConfigPtr m_inForce;
  std::vector<std::function<void(const FleetConfig&)>> m_onAccepted;
};

} // namespace rattanweir
