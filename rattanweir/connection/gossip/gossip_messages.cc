#include "rattanweir/connection/gossip/gossip_messages.h"

#include "rattanweir/connection/rpc/rpc.h"

namespace rattanweir {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

const Json::Value&
Member(const Json::Value& aObject, const char* aName)
{
  if (!aObject.isObject() || !aObject.isMember(aName)) {
    throw RpcError(std::string(aName) + ": is missing");
  }
  return aObject[aName];
}

std::string
TextOf(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = Member(aObject, aName);
  if (!value.isString()) {
    throw RpcError(std::string(aName) + ": expected a text");
  }
  return value.asString();
}

std::uint64_t
NumberOf(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = Member(aObject, aName);
  if (!value.isUInt64()) {
    throw RpcError(std::string(aName) + ": expected a whole number");
  }
  return value.asUInt64();
}

bool
FlagOf(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = Member(aObject, aName);
  if (!value.isBool()) {
    throw RpcError(std::string(aName) + ": expected true or false");
  }
  return value.asBool();
}

double
DecimalOf(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = Member(aObject, aName);
  if (!value.isNumeric()) {
    throw RpcError(std::string(aName) + ": expected a number");
  }
  return value.asDouble();
}

const Json::Value&
ObjectOf(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = Member(aObject, aName);
  if (!value.isObject()) {
    throw RpcError(std::string(aName) + ": expected an object");
  }
  return value;
}

Endpoint
EndpointOf(const Json::Value& aObject, const char* aName)
{
  try {
    return ParseEndpoint(TextOf(aObject, aName));
  } catch (const EndpointError& error) {
    throw RpcError(std::string(aName) + ": " + error.what());
  }
}

Json::Value
RowToJson(const FleetMember& aRow)
{
  Json::Value value;
  value["id"] = aRow.m_id.Value();
  value["run"] = Json::UInt64(aRow.m_incarnation.Value());
  value["seq"] = Json::UInt64(aRow.m_sequence);
  value["region"] = aRow.m_region.Value();
  value["zone"] = aRow.m_zone.Value();
  value["caller"] = aRow.m_callerAddress.ToString();
  value["peer"] = aRow.m_peerAddress.ToString();
  value["ready"] = aRow.m_isReady;
  value["draining"] = aRow.m_isDraining;
  value["capacity"] = aRow.m_capacity;
  value["config"] = Json::UInt64(aRow.m_configVersion.Value());
  value["topics"] = Json::Value(Json::objectValue);
  for (const auto& [topic, revision] : aRow.m_publishedRevisions) {
    value["topics"][topic] = Json::UInt64(revision);
  }
  value["usage"] = Json::Value(Json::objectValue);
  for (const auto& [account, usage] : aRow.m_usages) {
    Json::Value& entry = value["usage"][account.Value()];
    entry["demand"] = Json::UInt64(static_cast<std::uint64_t>(usage.m_demand));
    entry["admitted"] = Json::UInt64(usage.m_admitted);
  }
  value["delay_ms"] = Json::Value(Json::objectValue);
  for (const auto& [pool, report] : aRow.m_pools) {
    value["delay_ms"][pool.Value()] = Json::UInt64(static_cast<std::uint64_t>(
      duration_cast<milliseconds>(report.m_startDelay).count()));
  }
  return value;
}

FleetMember
RowFromJson(const Json::Value& aValue)
{
  FleetMember row{
    .m_id = InstanceId(TextOf(aValue, "id")),
    .m_incarnation = Incarnation(NumberOf(aValue, "run")),
    .m_sequence = NumberOf(aValue, "seq"),
    .m_region = RegionId(TextOf(aValue, "region")),
    .m_zone = AvailabilityZoneId(TextOf(aValue, "zone")),
    .m_callerAddress = EndpointOf(aValue, "caller"),
    .m_peerAddress = EndpointOf(aValue, "peer"),
    .m_isReady = FlagOf(aValue, "ready"),
    .m_isDraining = FlagOf(aValue, "draining"),
    .m_capacity = DecimalOf(aValue, "capacity"),
    .m_configVersion = SectionVersion(NumberOf(aValue, "config")),
  };
  const Json::Value& topics = ObjectOf(aValue, "topics");
  for (const std::string& topic : topics.getMemberNames()) {
    row.m_publishedRevisions.emplace(topic, NumberOf(topics, topic.c_str()));
  }
  const Json::Value& usages = ObjectOf(aValue, "usage");
  for (const std::string& account : usages.getMemberNames()) {
    const Json::Value& entry = ObjectOf(usages, account.c_str());
    row.m_usages.emplace(
      ClientAccountId(account),
      AccountUsage{ .m_demand = DecimalOf(entry, "demand"),
                    .m_admitted = NumberOf(entry, "admitted") });
  }
  const Json::Value& delays = ObjectOf(aValue, "delay_ms");
  for (const std::string& pool : delays.getMemberNames()) {
    const milliseconds delay(NumberOf(delays, pool.c_str()));
    row.m_pools.emplace(PoolId(pool), PoolReport{ .m_startDelay = delay });
  }
  return row;
}

} // namespace

Json::Value
ToJson(const std::vector<FleetMember>& aRows)
{
  Json::Value value;
  value["rows"] = Json::Value(Json::arrayValue);
  for (const FleetMember& row : aRows) {
    value["rows"].append(RowToJson(row));
  }
  return value;
}

std::vector<FleetMember>
FleetRowsFromJson(const Json::Value& aValue)
{
  const Json::Value& list = Member(aValue, "rows");
  if (!list.isArray() || list.empty()) {
    throw RpcError("rows: expected a list that is not empty");
  }
  std::vector<FleetMember> rows;
  for (const Json::Value& row : list) {
    rows.push_back(RowFromJson(row));
  }
  return rows;
}

Json::Value
ToJson(const TopicCopy& aCopy)
{
  Json::Value value;
  value["revision"] = Json::UInt64(aCopy.m_revision);
  value["items"] = Json::Value(Json::objectValue);
  for (const auto& [key, text] : aCopy.m_items) {
    value["items"][key] = text;
  }
  return value;
}

TopicCopy
TopicCopyFromJson(const Json::Value& aValue)
{
  TopicCopy copy{ .m_revision = NumberOf(aValue, "revision") };
  const Json::Value& items = ObjectOf(aValue, "items");
  for (const std::string& key : items.getMemberNames()) {
    copy.m_items.emplace(key, TextOf(items, key.c_str()));
  }
  return copy;
}

} // namespace rattanweir
