#include "rattanweir/version/fleet_config_check/config_findings.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <utility>

namespace rattanweir {
namespace {

using Findings = std::vector<ConfigFinding>;

std::string
NameOf(const FleetRoute& aRoute)
{
  return "route " + aRoute.m_id.Value();
}

std::string
NameOf(const FleetAccount& aAccount)
{
  return "account " + aAccount.m_id.Value();
}

std::string
LowerCase(std::string aText)
{
  std::ranges::transform(aText, aText.begin(), [](unsigned char aLetter) {
    return static_cast<char>(std::tolower(aLetter));
  });
  return aText;
}

void
FindErrors(const FleetConfigData& aData, Findings& aFindings)
{
  try {
    const FleetConfig config(aData);
  } catch (const FleetConfigError& error) {
    aFindings.push_back({ FindingKind::Error, "configuration", error.what() });
  }
  std::set<ClientAccountId> accounts;
  for (const FleetAccount& account : aData.m_accounts) {
    if (!accounts.insert(account.m_id).second) {
      aFindings.push_back({ FindingKind::Error,
                            NameOf(account),
                            "an earlier account has the same name" });
    }
  }
}

void
FindHiddenRoutes(const FleetConfigData& aData, Findings& aFindings)
{
  std::set<std::pair<std::string, std::string>> matched;
  for (const FleetRoute& route : aData.m_routes) {
    if (!matched.emplace(LowerCase(route.m_host), route.m_pathPrefix).second) {
      aFindings.push_back(
        { FindingKind::NeverMatches,
          NameOf(route),
          "an earlier route has the same host and path prefix" });
    }
  }
}

void
FindUnusedEntries(const FleetConfigData& aData, Findings& aFindings)
{
  std::set<PoolId> used;
  for (const FleetRoute& route : aData.m_routes) {
    for (const PoolWeight& pool : route.m_pools) {
      used.insert(pool.m_pool);
    }
  }
  for (const Pool& pool : aData.m_pools) {
    if (!used.contains(pool.m_id)) {
      aFindings.push_back({ FindingKind::NeverMatches,
                            "pool " + pool.m_id.Value(),
                            "no route sends to it" });
    }
  }
  std::set<ClientAccountId> withKeys;
  for (const auto& [key, account] : aData.m_keys) {
    withKeys.insert(account);
  }
  for (const FleetAccount& account : aData.m_accounts) {
    if (!withKeys.contains(account.m_id)) {
      aFindings.push_back(
        { FindingKind::NeverMatches, NameOf(account), "it has no key" });
    }
  }
}

// Requests of such a pair are refused with residency_conflict.
void
FindResidencyConflicts(const FleetConfigData& aData, Findings& aFindings)
{
  for (const FleetAccount& account : aData.m_accounts) {
    for (const FleetRoute& route : aData.m_routes) {
      const bool areBothBound = !account.m_homeRegions.empty() &&
                                !route.m_homeRegions.empty() &&
                                !route.m_isOpenToAll;
      const auto isHomeOfRoute = [&](const RegionId& aRegion) {
        return route.m_homeRegions.contains(aRegion);
      };
      if (areBothBound &&
          std::ranges::none_of(account.m_homeRegions, isHomeOfRoute)) {
        aFindings.push_back({ FindingKind::NeverMatches,
                              NameOf(account),
                              "it has no home region in common with " +
                                NameOf(route) +
                                ": its requests there are refused" });
      }
    }
  }
}

void
FindContradictions(const FleetRoute& aRoute, Findings& aFindings)
{
  const auto add = [&](const char* aMessage) {
    aFindings.push_back(
      { FindingKind::Contradiction, NameOf(aRoute), aMessage });
  };
  if (aRoute.m_latencyObjective > aRoute.m_timeout) {
    add("the latency objective is longer than the timeout");
  }
  if (aRoute.m_maxAttempts == 0) {
    add("no attempt is permitted");
  }
  if (aRoute.m_maxAttempts > 1 && !aRoute.IsRetryable()) {
    add("several attempts are permitted, but its requests run at most once");
  }
  if (aRoute.m_resumesStreams && aRoute.m_kind != RequestKind::Stream) {
    add("it resumes streams, but has none");
  }
}

void
FindContradictions(const FleetAccount& aAccount, Findings& aFindings)
{
  const auto add = [&](const char* aMessage) {
    aFindings.push_back(
      { FindingKind::Contradiction, NameOf(aAccount), aMessage });
  };
  if (aAccount.m_ratePerSecond <= 0) {
    return;
  }
  const auto cost = static_cast<double>(
    aAccount.m_unit == RateUnit::Requests ? 1 : aAccount.m_defaultCost.Value());
  if (aAccount.m_burst < cost) {
    add("its burst is below the cost of one request that declares no size");
  }
}

} // namespace

const char*
TextOf(FindingKind aKind)
{
  switch (aKind) {
    case FindingKind::Error:
      return "error";
    case FindingKind::NeverMatches:
      return "never matches";
    case FindingKind::Contradiction:
      break;
  }
  return "contradiction";
}

Findings
FindConfigFindings(const FleetConfigData& aData)
{
  Findings findings;
  FindErrors(aData, findings);
  FindHiddenRoutes(aData, findings);
  FindUnusedEntries(aData, findings);
  FindResidencyConflicts(aData, findings);
  for (const FleetRoute& route : aData.m_routes) {
    FindContradictions(route, findings);
  }
  for (const FleetAccount& account : aData.m_accounts) {
    FindContradictions(account, findings);
  }
  return findings;
}

} // namespace rattanweir
