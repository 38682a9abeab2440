#include "rattanweir/connection/gossip/gossip_messages.h"

#include "rattanweir/connection/rpc/rpc.h"

#include <charconv>
#include <string_view>

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

// All accounts in one text, `ACCOUNT=DEMAND:ADMITTED,`: as JSON members they
// would take most of the time that a message takes.
std::string
UsageText(const AccountUsages& aUsages)
{
  std::string text;
  for (const auto& [account, usage] : aUsages) {
    text += account.Value() + "=" +
            std::to_string(static_cast<std::uint64_t>(usage.m_demand)) + ":" +
            std::to_string(usage.m_admitted) + ",";
  }
  return text;
}

std::uint64_t
TakeNumber(std::string_view& aText, char aEnd)
{
  const std::size_t end = aText.find(aEnd);
  std::uint64_t number = 0;
  const auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (end == std::string_view::npos || parsed.ec != std::errc() ||
      parsed.ptr != aText.data() + end) {
    throw RpcError("usage: expected ACCOUNT=DEMAND:ADMITTED,");
  }
  aText.remove_prefix(end + 1);
  return number;
}

AccountUsages
UsagesFromText(std::string_view aText)
{
  AccountUsages usages;
  while (!aText.empty()) {
    const std::size_t equals = aText.find('=');
    if (equals == std::string_view::npos) {
      throw RpcError("usage: expected ACCOUNT=DEMAND:ADMITTED,");
    }
    const ClientAccountId account{ std::string(aText.substr(0, equals)) };
    aText.remove_prefix(equals + 1);
    const std::uint64_t demand = TakeNumber(aText, ':');
    usages.emplace(account,
                   AccountUsage{ .m_demand = static_cast<double>(demand),
                                 .m_admitted = TakeNumber(aText, ',') });
  }
  return usages;
}

// Names are short: these messages are most of the bytes of control.
Json::Value
RowToJson(const FleetMember& aRow)
{
  Json::Value value;
  value["id"] = aRow.m_id.Value();
  value["run"] = Json::UInt64(aRow.m_incarnation.Value());
  value["seq"] = Json::UInt64(aRow.m_sequence);
  value["ready"] = aRow.m_isReady;
  value["leaves"] = aRow.m_isDraining;
  value["reads"] = aRow.m_readsStore;
  value["config"] = Json::UInt64(aRow.m_configVersion.Value());
  if (!aRow.m_region.IsEmpty()) {
    value["region"] = aRow.m_region.Value();
    value["zone"] = aRow.m_zone.Value();
    value["caller"] = aRow.m_callerAddress.ToString();
    value["peer"] = aRow.m_peerAddress.ToString();
    value["capacity"] = aRow.m_capacity;
  }
  value["topics"] = Json::Value(Json::objectValue);
  for (const auto& [topic, revision] : aRow.m_publishedRevisions) {
    value["topics"][topic] = Json::UInt64(revision);
  }
  value["usage"] = UsageText(aRow.m_usages);
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
    .m_isReady = FlagOf(aValue, "ready"),
    .m_isDraining = FlagOf(aValue, "leaves"),
    .m_configVersion = SectionVersion(NumberOf(aValue, "config")),
    .m_readsStore = FlagOf(aValue, "reads"),
  };
  if (aValue.isMember("region")) {
    row.m_region = RegionId(TextOf(aValue, "region"));
    row.m_zone = AvailabilityZoneId(TextOf(aValue, "zone"));
    row.m_callerAddress = EndpointOf(aValue, "caller");
    row.m_peerAddress = EndpointOf(aValue, "peer");
    row.m_capacity = DecimalOf(aValue, "capacity");
  }
  const Json::Value& topics = ObjectOf(aValue, "topics");
  for (const std::string& topic : topics.getMemberNames()) {
    row.m_publishedRevisions.emplace(topic, NumberOf(topics, topic.c_str()));
  }
  row.m_usages = UsagesFromText(TextOf(aValue, "usage"));
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
FleetMembersFromJson(const Json::Value& aValue)
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
ToJson(const TopicSnapshot& aCopy)
{
  Json::Value value;
  value["revision"] = Json::UInt64(aCopy.m_revision);
  value["items"] = Json::Value(Json::objectValue);
  for (const auto& [key, text] : aCopy.m_items) {
    value["items"][key] = text;
  }
  return value;
}

TopicSnapshot
TopicSnapshotFromJson(const Json::Value& aValue)
{
  TopicSnapshot copy{ .m_revision = NumberOf(aValue, "revision") };
  const Json::Value& items = ObjectOf(aValue, "items");
  for (const std::string& key : items.getMemberNames()) {
    copy.m_items.emplace(key, TextOf(items, key.c_str()));
  }
  return copy;
}

Json::Value
ToJson(const std::vector<ItemChange>& aChanges)
{
  Json::Value value;
  value["changes"] = Json::Value(Json::arrayValue);
  for (const ItemChange& change : aChanges) {
    Json::Value entry;
    entry["key"] = change.m_key;
    entry["revision"] = Json::UInt64(change.m_revision);
    if (change.m_value) {
      entry["value"] = *change.m_value;
    }
    entry["lapsed"] = change.m_removal == RemovalReason::Lapsed;
    value["changes"].append(std::move(entry));
  }
  return value;
}

std::vector<ItemChange>
ChangesFromJson(const Json::Value& aValue)
{
  std::vector<ItemChange> changes;
  const Json::Value& list = Member(aValue, "changes");
  if (!list.isArray()) {
    throw RpcError("changes: expected a list");
  }
  for (const Json::Value& entry : list) {
    ItemChange change{ .m_key = TextOf(entry, "key"),
                       .m_removal = FlagOf(entry, "lapsed")
                                      ? RemovalReason::Lapsed
                                      : RemovalReason::Published,
                       .m_revision = NumberOf(entry, "revision") };
    if (entry.isMember("value")) {
      change.m_value = TextOf(entry, "value");
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

} // namespace rattanweir
