#include "rattanweir/request/pipeline/entry_responses.h"

#include "rattanweir/request/pipeline/json_response.h"
#include "rattanweir/request/routing/entry_order.h"

#include <json/json.h>

#include <chrono>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;

// Callers refresh the list well before it expires.
constexpr milliseconds kTimeToLive(30'000);
constexpr milliseconds kRetryAfter(10'000);

void
AppendSelf(const ServingContext& aServing,
           std::vector<InstanceRecord>& aInstances)
{
  const auto self = aServing.m_membership.Self();
  const bool isDraining = self && self->m_isDraining;
  if (!aServing.m_isReady || aServing.m_isDraining || isDraining ||
      aServing.m_rates.IsPaused()) {
    return;
  }
  // The instance list may not contain the local instance yet.
  InstanceRecord record = self.value_or(InstanceRecord{});
  record.m_id = aServing.m_self;
  record.m_region = aServing.m_region;
  record.m_callerAddress = aServing.m_callerAddress;
  aInstances.push_back(std::move(record));
}

// Returns the key by which the entries are ordered. All callers of one client
// account get the same order; callers without a granted key get a random one.
std::string
OrderingSeed(const ServingContext& aServing,
             const std::optional<std::string>& aPresentedKey)
{
  const KeyGrant* grant =
    aPresentedKey ? aServing.m_catalog.FindKey(*aPresentedKey) : nullptr;
  return grant == nullptr ? std::to_string(aServing.m_random())
                          : grant->m_clientAccount.Value();
}

} // namespace

std::vector<InstanceRecord>
UsableEntries(const ServingContext& aServing,
              const std::optional<std::string>& aPresentedKey)
{
  std::vector<InstanceRecord> instances;
  AppendSelf(aServing, instances);
  for (const PeerView& peer : aServing.m_membership.Peers()) {
    if (aServing.m_membership.IsUsable(peer)) {
      instances.push_back(peer.m_record);
    }
  }
  const std::string spread = OrderingSeed(aServing, aPresentedKey);
  return OrderEntries(std::move(instances), aServing.m_region, spread);
}

std::string
EntriesJson(const ServingContext& aServing,
            const std::optional<std::string>& aPresentedKey)
{
  Json::Value response(Json::objectValue);
  Json::Value& entries = response["entries"] = Json::arrayValue;
  for (const InstanceRecord& record : UsableEntries(aServing, aPresentedKey)) {
    Json::Value entry(Json::objectValue);
    entry["instance"] = record.m_id.Value();
    entry["region"] = record.m_region.Value();
    entry["address"] = record.m_callerAddress.ToString();
    entries.append(std::move(entry));
  }
  response["expires_in_ms"] = Json::Int64(kTimeToLive.count());
  response["come_back_after_ms"] = Json::Int64(kRetryAfter.count());
  return JsonText(response);
}

} // namespace rattanweir
