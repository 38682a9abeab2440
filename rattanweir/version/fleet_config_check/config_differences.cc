#include "rattanweir/version/fleet_config_check/config_differences.h"

#include <map>
#include <sstream>
#include <utility>

namespace rattanweir {
namespace {

// The values of an entry by their names, for comparison and display.
using Fields = std::map<std::string, std::string>;

constexpr const char* kNone = "none";

template<class Value>
std::string
Text(const Value& aValue)
{
  std::ostringstream text;
  text << aValue;
  return text.str();
}

std::string
MillisecondsOf(std::chrono::nanoseconds aDuration)
{
  return Text(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

std::string
RegionsOf(const std::set<RegionId>& aRegions)
{
  std::string text;
  for (const RegionId& region : aRegions) {
    text += (text.empty() ? "" : ",") + region.Value();
  }
  return text.empty() ? "any" : text;
}

std::string
PoolsOf(const FleetRoute& aRoute)
{
  std::string text;
  for (const PoolWeight& pool : aRoute.m_pools) {
    text += (text.empty() ? "" : ",") + pool.m_pool.Value() + ":" +
            Text(pool.m_weight);
  }
  return text;
}

Fields
FieldsOf(const FleetRoute& aRoute)
{
  return { { "host", aRoute.m_host },
           { "prefix", aRoute.m_pathPrefix },
           { "kind", Text(static_cast<int>(aRoute.m_kind)) },
           { "resumes_streams", Text(aRoute.m_resumesStreams) },
           { "pools", PoolsOf(aRoute) },
           { "open_to_all", Text(aRoute.m_isOpenToAll) },
           { "attempts", Text(aRoute.m_maxAttempts) },
           { "timeout_ms", MillisecondsOf(aRoute.m_timeout) },
           { "objective_ms", MillisecondsOf(aRoute.m_latencyObjective) },
           { "priority", Text(aRoute.m_priority) },
           { "home_regions", RegionsOf(aRoute.m_homeRegions) } };
}

Fields
FieldsOf(const Pool& aPool)
{
  Fields fields = {
    { "health_path", aPool.m_healthPath },
    { "max_connections", Text(aPool.m_maximumConnections) },
    { "cold_ms", MillisecondsOf(aPool.m_coldDuration) },
    { "cold_per_second", Text(aPool.m_coldRequestsPerSecond) },
    { "engine", Text(aPool.m_engine.has_value()) },
  };
  if (aPool.m_engine) {
    fields["slots"] = Text(aPool.m_engine->m_slots);
    fields["cache_tokens"] = Text(aPool.m_engine->m_cacheTokens.Value());
    const auto& copyTime = aPool.m_engine->m_cacheCopyTimePerToken;
    fields["copy_ns_per_token"] = copyTime ? Text(copyTime->count()) : "none";
  }
  return fields;
}

Fields
FieldsOf(const FleetAccount& aAccount)
{
  return { { "priority",
             aAccount.m_priority ? Text(*aAccount.m_priority) : "route's" },
           { "unit", Text(static_cast<int>(aAccount.m_unit)) },
           { "default_cost", Text(aAccount.m_defaultCost.Value()) },
           { "rate", Text(aAccount.m_ratePerSecond) },
           { "burst", Text(aAccount.m_burst) },
           { "home_regions", RegionsOf(aAccount.m_homeRegions) } };
}

Fields
FieldsOf(const FleetLimits& aLimits)
{
  return { { "header_bytes", Text(aLimits.m_headerBytes.Value()) },
           { "body_bytes", Text(aLimits.m_bodyBytes.Value()) },
           { "header_timeout_ms", MillisecondsOf(aLimits.m_headerTimeout) },
           { "idle_timeout_ms", MillisecondsOf(aLimits.m_idleTimeout) } };
}

std::map<std::string, Fields>
EntriesOf(const FleetConfigData& aData)
{
  std::map<std::string, Fields> entries;
  for (const FleetRoute& route : aData.m_routes) {
    entries["route " + route.m_id.Value()] = FieldsOf(route);
  }
  for (const Pool& pool : aData.m_pools) {
    entries["pool " + pool.m_id.Value()] = FieldsOf(pool);
  }
  for (const FleetAccount& account : aData.m_accounts) {
    entries["account " + account.m_id.Value()] = FieldsOf(account);
  }
  entries["limits"] = FieldsOf(aData.m_limits);
  return entries;
}

// Returns the numbers of keys of an account that were added and removed.
std::pair<std::size_t, std::size_t>
KeyChanges(const FleetConfigData& aInForce,
           const FleetConfigData& aNext,
           const ClientAccountId& aAccount)
{
  const auto countMissing = [&](const auto& aKeys, const auto& aIn) {
    std::size_t missing = 0;
    for (const auto& [key, account] : aKeys) {
      const auto found = aIn.find(key);
      missing +=
        account == aAccount && (found == aIn.end() || found->second != aAccount)
          ? 1
          : 0;
    }
    return missing;
  };
  return { countMissing(aNext.m_keys, aInForce.m_keys),
           countMissing(aInForce.m_keys, aNext.m_keys) };
}

std::string
DescribeChange(const std::string& aEntry,
               const std::string& aField,
               const std::string& aFrom,
               const std::string& aTo)
{
  std::ostringstream text;
  text << aEntry << ": " << aField << " " << aFrom << " -> " << aTo;
  return text.str();
}

void
CompareFields(const std::string& aEntry,
              const Fields& aInForce,
              const Fields& aNext,
              std::vector<std::string>& aLines)
{
  for (const auto& [name, value] : aNext) {
    const auto before = aInForce.find(name);
    const std::string old = before == aInForce.end() ? kNone : before->second;
    if (old != value) {
      aLines.push_back(DescribeChange(aEntry, name, old, value));
    }
  }
  for (const auto& [name, value] : aInForce) {
    if (!aNext.contains(name)) {
      aLines.push_back(DescribeChange(aEntry, name, value, kNone));
    }
  }
}

} // namespace

std::vector<std::string>
FindConfigDifferences(const FleetConfigData& aInForce,
                      const FleetConfigData& aNext)
{
  std::vector<std::string> lines;
  if (aNext.m_version <= aInForce.m_version) {
    lines.push_back("version " + Text(aNext.m_version.Value()) +
                    " is not newer than " + Text(aInForce.m_version.Value()) +
                    ": instances would ignore it");
  }
  const auto before = EntriesOf(aInForce);
  const auto after = EntriesOf(aNext);
  for (const auto& [entry, fields] : before) {
    if (!after.contains(entry)) {
      lines.push_back(entry + ": removed");
    }
  }
  for (const auto& [entry, fields] : after) {
    const auto found = before.find(entry);
    if (found == before.end()) {
      lines.push_back(entry + ": added");
      continue;
    }
    CompareFields(entry, found->second, fields, lines);
  }
  for (const FleetAccount& account : aNext.m_accounts) {
    const auto [added, removed] = KeyChanges(aInForce, aNext, account.m_id);
    if (added + removed > 0) {
      lines.push_back("account " + account.m_id.Value() + ": " + Text(added) +
                      " keys added, " + Text(removed) + " removed");
    }
  }
  return lines;
}

} // namespace rattanweir
