#include "rattanweir/connection/gossip/gossip_messages.h"

#include "rattanweir/connection/rpc/rpc.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace rattanweir {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr char kPartsField[] = "quarantine";
constexpr char kRequestsField[] = "quarantined_requests";

const Json::Value&
GetField(const Json::Value& aObject, const char* aName)
{
  if (!aObject.isObject() || !aObject.isMember(aName)) {
    throw RpcError(std::string(aName) + ": is missing");
  }
  return aObject[aName];
}

std::string
GetString(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = GetField(aObject, aName);
  if (!value.isString()) {
    throw RpcError(std::string(aName) + ": expected a string");
  }
  return value.asString();
}

std::uint64_t
GetUnsigned(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = GetField(aObject, aName);
  if (!value.isUInt64()) {
    throw RpcError(std::string(aName) + ": expected a non-negative integer");
  }
  return value.asUInt64();
}

bool
GetBool(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = GetField(aObject, aName);
  if (!value.isBool()) {
    throw RpcError(std::string(aName) + ": expected a boolean");
  }
  return value.asBool();
}

double
GetDouble(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = GetField(aObject, aName);
  if (!value.isNumeric()) {
    throw RpcError(std::string(aName) + ": expected a number");
  }
  return value.asDouble();
}

const Json::Value&
GetObject(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = GetField(aObject, aName);
  if (!value.isObject()) {
    throw RpcError(std::string(aName) + ": expected an object");
  }
  return value;
}

Endpoint
GetEndpoint(const Json::Value& aObject, const char* aName)
{
  try {
    return ParseEndpoint(GetString(aObject, aName));
  } catch (const EndpointError& error) {
    throw RpcError(std::string(aName) + ": " + error.what());
  }
}

Json::UInt64
ToMilliseconds(std::chrono::nanoseconds aDuration)
{
  return static_cast<Json::UInt64>(
    std::max<std::int64_t>(0, duration_cast<milliseconds>(aDuration).count()));
}

// Throws RpcError for anything but a number of milliseconds up to a day.
milliseconds
GetAge(const Json::Value& aValue)
{
  constexpr milliseconds kMaxAge = std::chrono::hours(24);
  if (!aValue.isUInt64() ||
      aValue.asUInt64() > static_cast<std::uint64_t>(kMaxAge.count())) {
    throw RpcError("quarantine: expected an age in milliseconds");
  }
  return milliseconds(aValue.asInt64());
}

// Encodes the usage of all accounts in one string, as a sequence of
// `ACCOUNT=DEMAND:ADMITTED,`. Encoded as JSON members, the accounts would take
// most of the processing time of a message.
std::string
FormatUsages(const AccountUsages& aUsages)
{
  std::string text;
  for (const auto& [account, usage] : aUsages) {
    text += account.Value() + "=" +
            std::to_string(static_cast<std::uint64_t>(usage.m_demand)) + ":" +
            std::to_string(usage.m_admitted) + ",";
  }
  return text;
}

// Parses the number before the delimiter `aEnd` and removes both from `aText`.
std::uint64_t
ConsumeNumber(std::string_view& aText, char aEnd)
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
ParseUsages(std::string_view aText)
{
  AccountUsages usages;
  while (!aText.empty()) {
    const std::size_t equals = aText.find('=');
    if (equals == std::string_view::npos) {
      throw RpcError("usage: expected ACCOUNT=DEMAND:ADMITTED,");
    }
    const ClientAccountId account{ std::string(aText.substr(0, equals)) };
    aText.remove_prefix(equals + 1);
    const std::uint64_t demand = ConsumeNumber(aText, ':');
    usages.emplace(account,
                   AccountUsage{ .m_demand = static_cast<double>(demand),
                                 .m_admitted = ConsumeNumber(aText, ',') });
  }
  return usages;
}

// Field names are short because gossip messages account for most of the control
// traffic between instances.
void
AddTopics(const FleetMember& aRecord, Json::Value& aValue)
{
  aValue["topics"] = Json::Value(Json::objectValue);
  for (const auto& [topic, version] : aRecord.m_publishedVersions) {
    aValue["topics"][topic] = Json::UInt64(version.m_revision);
    aValue["epochs"][topic] = Json::UInt64(version.m_epoch.Value());
  }
  for (const auto& [topic, fingerprint] : aRecord.m_publishedFingerprints) {
    aValue["fingerprints"][topic] = Json::UInt64(fingerprint.Value());
  }
}

Json::Value
RecordToJson(const FleetMember& aRecord)
{
  Json::Value value;
  value["id"] = aRecord.m_id.Value();
  value["run"] = Json::UInt64(aRecord.m_incarnation.Value());
  value["seq"] = Json::UInt64(aRecord.m_sequence);
  value["ready"] = aRecord.m_isReady;
  value["leaves"] = aRecord.m_isDraining;
  value["reads"] = aRecord.m_readsStore;
  value["config"] = Json::UInt64(aRecord.m_configVersion.Value());
  if (!aRecord.m_region.IsEmpty()) {
    value["region"] = aRecord.m_region.Value();
    value["zone"] = aRecord.m_zone.Value();
    value["caller"] = aRecord.m_callerAddress.ToString();
    value["peer"] = aRecord.m_peerAddress.ToString();
    value["capacity"] = aRecord.m_capacity;
  }
  AddTopics(aRecord, value);
  value["usage"] = FormatUsages(aRecord.m_usages);
  value["delay_ms"] = Json::Value(Json::objectValue);
  for (const auto& [pool, report] : aRecord.m_pools) {
    value["delay_ms"][pool.Value()] = Json::UInt64(static_cast<std::uint64_t>(
      duration_cast<milliseconds>(report.m_startDelay).count()));
    if (report.m_demand) {
      Json::Value demand(Json::arrayValue);
      demand.append(report.m_demand->m_arrivals.Value());
      demand.append(report.m_demand->m_capacity.Value());
      value["demand"][pool.Value()] = std::move(demand);
    }
  }
  for (const auto& [server, limit] : aRecord.m_serverLimits) {
    Json::Value entry(Json::arrayValue);
    entry.append(Json::UInt64(limit.m_version));
    entry.append(limit.m_rate ? Json::Value(limit.m_rate->Value())
                              : Json::Value());
    value["limits"][server.Value()] = std::move(entry);
  }
  for (const BackendServerId& server : aRecord.m_drainingServers) {
    value["draining"].append(server.Value());
  }
  for (const BackendServerId& server : aRecord.m_refusingServers) {
    value["refusing"].append(server.Value());
  }
  for (const PoolId& pool : aRecord.m_unreachablePools) {
    value["unreachable"].append(pool.Value());
  }
  for (const auto& [pool, refusals] : aRecord.m_maxRefusals) {
    value["max_refusals"][pool.Value()] = refusals.Value();
  }
  for (const auto& [server, room] : aRecord.m_refusedRooms) {
    Json::Value entry(Json::arrayValue);
    entry.append(Json::UInt64(room.m_version));
    entry.append(room.m_room);
    value["rooms"][server.Value()] = std::move(entry);
  }
  for (const InstanceId& member : aRecord.m_membersToIntroduce) {
    value["introduce"].append(member.Value());
  }
  return value;
}

NamedLimit
ServerLimitFromJson(const Json::Value& aValue)
{
  const bool hasVersion =
    aValue.isArray() && aValue.size() == 2 && aValue[0].isUInt64();
  const bool hasRate =
    hasVersion && aValue[1].isNumeric() && aValue[1].asDouble() >= 0;
  if (!hasRate && !(hasVersion && aValue[1].isNull())) {
    throw RpcError("limits: expected [VERSION, RATE or null]");
  }
  NamedLimit limit{ .m_version = aValue[0].asUInt64() };
  if (hasRate) {
    limit.m_rate = RequestRate(aValue[1].asDouble());
  }
  return limit;
}

RefusedRoom
RefusedRoomFromJson(const Json::Value& aValue)
{
  if (!aValue.isArray() || aValue.size() != 2 || !aValue[0].isUInt64() ||
      !aValue[1].isUInt()) {
    throw RpcError("rooms: expected [VERSION, ROOM]");
  }
  return { .m_room = aValue[1].asUInt(), .m_version = aValue[0].asUInt64() };
}

RequestRate
RateFromJson(const Json::Value& aValue)
{
  if (!aValue.isNumeric() || !(aValue.asDouble() >= 0)) {
    throw RpcError("max_refusals: expected a non-negative number");
  }
  return RequestRate(aValue.asDouble());
}

// Returns the strings of an array, or nothing if the field is missing.
std::vector<std::string>
GetStrings(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = aObject[aName];
  const bool isStrings =
    value.isArray() &&
    std::all_of(value.begin(), value.end(), [](const Json::Value& aElement) {
      return aElement.isString();
    });
  if (!isStrings && !value.isNull()) {
    throw RpcError(std::string(aName) + ": expected an array of strings");
  }
  std::vector<std::string> strings;
  for (const Json::Value& element : value) {
    strings.push_back(element.asString());
  }
  return strings;
}

// Reads what the instance says of its links to servers and of the room there.
void
ReadReachAndRooms(const Json::Value& aValue, FleetMember& aRecord)
{
  if (aValue.isMember("max_refusals")) {
    const Json::Value& refusals = GetObject(aValue, "max_refusals");
    for (const std::string& pool : refusals.getMemberNames()) {
      aRecord.m_maxRefusals.emplace(pool, RateFromJson(refusals[pool]));
    }
  }
  if (aValue.isMember("rooms")) {
    const Json::Value& rooms = GetObject(aValue, "rooms");
    for (const std::string& server : rooms.getMemberNames()) {
      aRecord.m_refusedRooms.emplace(server,
                                     RefusedRoomFromJson(rooms[server]));
    }
  }
  for (std::string& server : GetStrings(aValue, "refusing")) {
    aRecord.m_refusingServers.emplace(std::move(server));
  }
  for (std::string& pool : GetStrings(aValue, "unreachable")) {
    aRecord.m_unreachablePools.emplace(std::move(pool));
  }
}

PoolDemand
DemandFromJson(const Json::Value& aValue)
{
  if (!aValue.isArray() || aValue.size() < 2 || !aValue[0].isNumeric() ||
      !aValue[1].isNumeric()) {
    throw RpcError("demand: expected two numbers");
  }
  return { .m_arrivals = RequestRate(aValue[0].asDouble()),
           .m_capacity = RequestRate(aValue[1].asDouble()) };
}

void
ReadTopics(const Json::Value& aValue, FleetMember& aRecord)
{
  const Json::Value& topics = GetObject(aValue, "topics");
  for (const std::string& topic : topics.getMemberNames()) {
    const StoreEpoch epoch =
      aValue.isMember("epochs")
        ? StoreEpoch(GetUnsigned(GetObject(aValue, "epochs"), topic.c_str()))
        : StoreEpoch();
    aRecord.m_publishedVersions.emplace(
      topic,
      TopicVersion{ .m_epoch = epoch,
                    .m_revision = GetUnsigned(topics, topic.c_str()) });
  }
  if (aValue.isMember("fingerprints")) {
    const Json::Value& fingerprints = GetObject(aValue, "fingerprints");
    for (const std::string& topic : fingerprints.getMemberNames()) {
      aRecord.m_publishedFingerprints.emplace(
        topic, GetUnsigned(fingerprints, topic.c_str()));
    }
  }
}

FleetMember
RecordFromJson(const Json::Value& aValue)
{
  FleetMember record{
    .m_id = InstanceId(GetString(aValue, "id")),
    .m_incarnation = Incarnation(GetUnsigned(aValue, "run")),
    .m_sequence = GetUnsigned(aValue, "seq"),
    .m_isReady = GetBool(aValue, "ready"),
    .m_isDraining = GetBool(aValue, "leaves"),
    .m_configVersion = SectionVersion(GetUnsigned(aValue, "config")),
    .m_readsStore = GetBool(aValue, "reads"),
  };
  if (aValue.isMember("region")) {
    record.m_region = RegionId(GetString(aValue, "region"));
    record.m_zone = AvailabilityZoneId(GetString(aValue, "zone"));
    record.m_callerAddress = GetEndpoint(aValue, "caller");
    record.m_peerAddress = GetEndpoint(aValue, "peer");
    record.m_capacity = GetDouble(aValue, "capacity");
  }
  ReadTopics(aValue, record);
  record.m_usages = ParseUsages(GetString(aValue, "usage"));
  const Json::Value& delays = GetObject(aValue, "delay_ms");
  for (const std::string& pool : delays.getMemberNames()) {
    const milliseconds delay(GetUnsigned(delays, pool.c_str()));
    record.m_pools.emplace(PoolId(pool), PoolReport{ .m_startDelay = delay });
  }
  if (aValue.isMember("demand")) {
    const Json::Value& demands = GetObject(aValue, "demand");
    for (const std::string& pool : demands.getMemberNames()) {
      record.m_pools[PoolId(pool)].m_demand = DemandFromJson(demands[pool]);
    }
  }
  if (aValue.isMember("limits")) {
    const Json::Value& limits = GetObject(aValue, "limits");
    for (const std::string& server : limits.getMemberNames()) {
      record.m_serverLimits.emplace(server,
                                    ServerLimitFromJson(limits[server]));
    }
  }
  for (std::string& server : GetStrings(aValue, "draining")) {
    record.m_drainingServers.emplace(std::move(server));
  }
  ReadReachAndRooms(aValue, record);
  for (std::string& member : GetStrings(aValue, "introduce")) {
    record.m_membersToIntroduce.emplace_back(std::move(member));
  }
  return record;
}

// Returns the elements of an array field; none if the field is missing.
Json::Value
GetList(const Json::Value& aObject, const char* aName)
{
  if (!aObject.isObject() || !aObject.isMember(aName)) {
    return Json::Value(Json::arrayValue);
  }
  if (!aObject[aName].isArray()) {
    throw RpcError(std::string(aName) + ": expected an array");
  }
  return aObject[aName];
}

Json::Value
BreaksToJson(const std::vector<BreakReport>& aBreaks)
{
  Json::Value list(Json::arrayValue);
  for (const BreakReport& broken : aBreaks) {
    Json::Value fields(Json::arrayValue);
    fields.append(broken.m_server.m_incarnation.Value());
    fields.append(broken.m_server.m_software);
    fields.append(ToMilliseconds(broken.m_age));
    fields.append(broken.m_isExcused);
    fields.append(broken.m_wasAnswered);
    list.append(std::move(fields));
  }
  return list;
}

std::vector<BreakReport>
BreaksFromJson(const Json::Value& aEntry)
{
  const Json::Value& list = GetField(aEntry, "breaks");
  if (!list.isArray()) {
    throw RpcError("breaks: expected an array");
  }
  std::vector<BreakReport> breaks;
  for (const Json::Value& fields : list) {
    if (!fields.isArray() || fields.size() != 5 || !fields[0].isString() ||
        !fields[1].isString() || !fields[3].isBool() || !fields[4].isBool()) {
      throw RpcError(
        "breaks: expected [SERVER, SOFTWARE, AGE, EXCUSED, ANSWERED]");
    }
    breaks.push_back(
      { .m_server = { .m_incarnation = BackendServerId(fields[0].asString()),
                      .m_software = fields[1].asString() },
        .m_age = GetAge(fields[2]),
        .m_isExcused = fields[3].asBool(),
        .m_wasAnswered = fields[4].asBool() });
  }
  return breaks;
}

} // namespace

TopicVersion
VersionFromJson(const Json::Value& aValue, const char* aRevisionName)
{
  TopicVersion version{ .m_revision = GetUnsigned(aValue, aRevisionName) };
  if (aValue.isMember("epoch")) {
    version.m_epoch = StoreEpoch(GetUnsigned(aValue, "epoch"));
  }
  return version;
}

Json::Value
ToJson(const std::vector<FleetMember>& aRecords)
{
  Json::Value value;
  value["rows"] = Json::Value(Json::arrayValue);
  for (const FleetMember& record : aRecords) {
    value["rows"].append(RecordToJson(record));
  }
  return value;
}

std::vector<FleetMember>
FleetMembersFromJson(const Json::Value& aValue)
{
  const Json::Value& list = GetField(aValue, "rows");
  if (!list.isArray() || list.empty()) {
    throw RpcError("rows: expected a non-empty array");
  }
  std::vector<FleetMember> records;
  for (const Json::Value& record : list) {
    records.push_back(RecordFromJson(record));
  }
  return records;
}

void
AddQuarantine(const std::vector<SuspectReport>& aReports, Json::Value& aMessage)
{
  for (const SuspectReport& report : aReports) {
    const Suspect& suspect = report.m_suspect;
    const bool isRequest = suspect.m_kind == SuspectKind::Request;
    Json::Value entry;
    entry[isRequest ? "request" : "part"] = Json::UInt64(suspect.m_hash);
    if (isRequest) {
      entry["owner"] = Json::UInt64(suspect.m_owner);
    }
    entry["asked_ms"] = ToMilliseconds(report.m_requestAge);
    entry["breaks"] = BreaksToJson(report.m_breaks);
    aMessage[isRequest ? kRequestsField : kPartsField].append(std::move(entry));
  }
}

std::vector<SuspectReport>
QuarantineFromJson(const Json::Value& aMessage)
{
  std::vector<SuspectReport> reports;
  for (const Json::Value& entry : GetList(aMessage, kPartsField)) {
    reports.push_back({
      .m_suspect = { .m_kind = SuspectKind::PromptPart,
                     .m_hash = GetUnsigned(entry, "part") },
      .m_requestAge = GetAge(GetField(entry, "asked_ms")),
      .m_breaks = BreaksFromJson(entry),
    });
  }
  for (const Json::Value& entry : GetList(aMessage, kRequestsField)) {
    reports.push_back({
      .m_suspect = { .m_kind = SuspectKind::Request,
                     .m_owner =
                       static_cast<std::uint32_t>(GetUnsigned(entry, "owner")),
                     .m_hash = GetUnsigned(entry, "request") },
      .m_requestAge = GetAge(GetField(entry, "asked_ms")),
      .m_breaks = BreaksFromJson(entry),
    });
  }
  return reports;
}

Json::Value
ToJson(const TopicSnapshot& aSnapshot)
{
  Json::Value value;
  value["revision"] = Json::UInt64(aSnapshot.m_version.m_revision);
  value["epoch"] = Json::UInt64(aSnapshot.m_version.m_epoch.Value());
  value["items"] = Json::Value(Json::objectValue);
  for (const auto& [key, text] : aSnapshot.m_items) {
    value["items"][key] = text;
  }
  for (const auto& [key, revision] : aSnapshot.m_revisions) {
    value["revisions"][key] = Json::UInt64(revision);
  }
  return value;
}

TopicSnapshot
TopicSnapshotFromJson(const Json::Value& aValue)
{
  TopicSnapshot snapshot{ .m_version = VersionFromJson(aValue, "revision") };
  const Json::Value& items = GetObject(aValue, "items");
  for (const std::string& key : items.getMemberNames()) {
    snapshot.m_items.emplace(key, GetString(items, key.c_str()));
  }
  if (aValue.isMember("revisions")) {
    const Json::Value& revisions = GetObject(aValue, "revisions");
    for (const std::string& key : revisions.getMemberNames()) {
      snapshot.m_revisions.emplace(key, GetUnsigned(revisions, key.c_str()));
    }
  }
  return snapshot;
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
  const Json::Value& list = GetField(aValue, "changes");
  if (!list.isArray()) {
    throw RpcError("changes: expected an array");
  }
  for (const Json::Value& entry : list) {
    ItemChange change{ .m_key = GetString(entry, "key"),
                       .m_removal = GetBool(entry, "lapsed")
                                      ? RemovalReason::Lapsed
                                      : RemovalReason::Published,
                       .m_revision = GetUnsigned(entry, "revision") };
    if (entry.isMember("value")) {
      change.m_value = GetString(entry, "value");
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

} // namespace rattanweir
