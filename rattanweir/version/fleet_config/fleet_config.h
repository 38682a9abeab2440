// One version of a fleet's complete configuration: routes by host and path,
// pools of backend servers, client accounts with their keys, caller limits.
// Used by the users' platform (settings with `fleet`); the product's own
// interface uses version/catalog.
//
//   FleetConfigStore store;
//   store.Offer(std::move(config));
//   const FleetConfigPtr config = store.InForce();
//   const FleetRoute* route = config->FindRoute("api.example", "/v1/chat/2");
//
// A FleetConfig is immutable, so that a request is handled by one version from
// start to end. Not thread-safe.

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

// Whether a route's requests may be retried after they may have run.
enum class RequestKind
{
  // May run more than once.
  Idempotent,
  // Runs at most once.
  NonIdempotent,
  // An event stream; runs at most once unless the route resumes streams.
  Stream,
};

// A pool and its weight in the traffic split of a route.
struct PoolWeight
{
  PoolId m_pool;
  double m_weight = 1;
};

struct FleetRoute
{
  RouteId m_id;
  // Matched without regard to case.
  std::string m_host;
  // Starts and ends with `/`.
  std::string m_pathPrefix;
  RequestKind m_kind = RequestKind::NonIdempotent;
  bool m_resumesStreams = false;
  // Not empty.
  std::vector<PoolWeight> m_pools;
  bool m_isOpenToAll = false;
  // The maximum number of backend servers that may run one request.
  unsigned m_maxAttempts = 1;
  std::chrono::nanoseconds m_timeout{};
  // The time in which a response, or the first event of a stream, meets the
  // latency objective.
  std::chrono::nanoseconds m_latencyObjective{};
  // 0 is the highest priority.
  unsigned m_priority = 0;
  // Empty: any region.
  std::set<RegionId> m_homeRegions;

  // Returns whether a request that may have run can be sent again.
  bool IsRetryable() const
  {
    return m_kind == RequestKind::Idempotent ||
           (m_kind == RequestKind::Stream && m_resumesStreams);
  }
};

// The published properties of the model engines of a pool.
struct EngineProfile
{
  // The number of requests that one engine processes concurrently.
  unsigned m_slots = 1;
  // The KV cache capacity, shared by running requests and cached prompt parts.
  Tokens m_cacheTokens;
  // The time that an engine takes to copy one cached prompt token from another
  // engine; empty if engines cannot copy.
  std::optional<std::chrono::duration<double, std::nano>>
    m_cacheCopyTimePerToken;
};

struct Pool
{
  PoolId m_id;
  std::string m_healthPath;
  // The maximum number of connections that one backend server accepts from all
  // instances together.
  unsigned m_maximumConnections = 0;
  // The time after its start for which a server counts as cold.
  std::chrono::nanoseconds m_coldDuration{};
  // The maximum rate of requests per second to a cold server; 0 means
  // unlimited.
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
  // Overrides the route's priority.
  std::optional<unsigned> m_priority;
  RateUnit m_unit = RateUnit::Requests;
  // The cost of a request that does not declare its size.
  Tokens m_defaultCost{ 1 };
  // The rate per second and the burst size across the entire fleet, in m_unit;
  // 0 means unlimited.
  double m_ratePerSecond = 0;
  double m_burst = 0;
  std::set<RegionId> m_homeRegions;
};

// Size limits and timeouts of caller requests.
struct FleetLimits
{
  ByteCount m_headerBytes{ 16UL * 1024 };
  ByteCount m_bodyBytes{ 4UL * 1024 * 1024 };
  std::chrono::nanoseconds m_headerTimeout{ std::chrono::seconds(10) };
  std::chrono::nanoseconds m_idleTimeout{ std::chrono::seconds(60) };
};

// The contents of a configuration before validation.
struct FleetConfigData
{
  SectionVersion m_version;
  std::vector<FleetRoute> m_routes;
  std::vector<Pool> m_pools;
  std::vector<FleetAccount> m_accounts;
  std::map<std::string, ClientAccountId> m_keys;
  // If false, requests need no key.
  bool m_hasAccounts = false;
  FleetLimits m_limits;
};

// Thrown for an inconsistent configuration. The message names the route.
class FleetConfigError : public std::invalid_argument
{
public:
  using std::invalid_argument::invalid_argument;
};

class FleetConfig
{
public:
  // Validates and indexes the contents. Throws FleetConfigError.
  explicit FleetConfig(FleetConfigData aData);

  SectionVersion Version() const { return m_data.m_version; }
  const FleetLimits& Limits() const { return m_data.m_limits; }
  bool HasAccounts() const { return m_data.m_hasAccounts; }
  const std::vector<FleetRoute>& Routes() const { return m_data.m_routes; }
  const std::vector<Pool>& Pools() const { return m_data.m_pools; }
  const std::vector<FleetAccount>& Accounts() const
  {
    return m_data.m_accounts;
  }
  std::size_t RouteCount() const { return m_data.m_routes.size(); }

  // Returns the host's route with the longest prefix of the target's path, or
  // null. The host's port and the target's query are ignored.
  const FleetRoute* FindRoute(std::string_view aHost,
                              std::string_view aTarget) const;
  // Returns the pool, or null.
  const Pool* FindPool(const PoolId& aId) const;
  // Returns the client account, or null.
  const FleetAccount* FindAccount(const ClientAccountId& aId) const;
  // Returns the client account of a key presented by a caller, or null.
  const FleetAccount* FindAccountOfKey(const std::string& aKey) const;

private:
  using RouteByPrefix = std::unordered_map<std::string, const FleetRoute*>;

  FleetConfigData m_data;
  std::unordered_map<std::string, RouteByPrefix> m_routesByHost;
  std::map<PoolId, const Pool*> m_pools;
  std::map<ClientAccountId, const FleetAccount*> m_accounts;
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

// Holds the newest accepted version.
class FleetConfigStore
{
public:
  // Puts the configuration in force. Returns false and ignores the
  // configuration if it is not newer than the one in force.
  bool Offer(FleetConfigPtr aConfig);

  // Returns null before the first accepted offer.
  FleetConfigPtr InForce() const { return m_inForce; }

  // Registers a callback that runs after each accepted offer.
  void OnAccepted(std::function<void(const FleetConfig&)> aFunction);

private:
  FleetConfigPtr m_inForce;
  std::vector<std::function<void(const FleetConfig&)>> m_onAccepted;
};

} // namespace rattanweir
