#include "rattanweir/connection/gossip/packed_gossip.h"

#include "rattanweir/connection/rpc/rpc.h"

#include <algorithm>
#include <limits>
#include <span>

namespace rattanweir {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// The fields of a record, in their order in the message.
enum RecordField : std::size_t
{
  FieldId,
  FieldIncarnation,
  FieldSequence,
  FieldIsReady,
  FieldIsDraining,
  FieldReadsStore,
  FieldConfigVersion,
  // Nil in an abridged record, else [region, zone, caller address, peer
  // address, capacity].
  FieldConstants,
  // [topic, epoch, revision, fingerprint] each; the last may be missing.
  FieldTopics,
  // [account, demand, admitted] each.
  FieldUsages,
  // [pool, start delay in milliseconds] each.
  FieldPools,
  // [server, version, rate or nil] each.
  FieldLimits,
  FieldDraining,
  FieldToIntroduce,
  // Records of releases before reach and room were told end here.
  FieldUnreachablePools,
  // [pool, refusals a second] each.
  FieldMaxRefusals,
  // [server, version, room] each.
  FieldRefusedRooms,
  // Records of earlier releases end here.
  FieldRefusingServers,
  FieldCount
};

constexpr std::uint32_t kTopicFields = 3;
constexpr std::uint32_t kTopicFieldsWithFingerprint = 4;
// The items of a topic, as in a snapshot.
constexpr std::uint32_t kItemFields = 2;
constexpr std::uint32_t kItemFieldsWithRevision = 3;

std::uint64_t
ToMilliseconds(nanoseconds aDuration)
{
  return static_cast<std::uint64_t>(
    std::max<std::int64_t>(0, duration_cast<milliseconds>(aDuration).count()));
}

// Returns a duration of at most a day.
milliseconds
ReadMilliseconds(const PackedValue& aValue, const char* aName)
{
  constexpr milliseconds kMax = std::chrono::hours(24);
  const std::uint64_t count = ReadUnsigned(aValue, aName);
  if (count > static_cast<std::uint64_t>(kMax.count())) {
    throw RpcError(std::string(aName) + ": expected milliseconds up to a day");
  }
  return milliseconds(count);
}

void
WriteEndpoint(const Endpoint& aEndpoint, PackedWriter& aWriter)
{
  aWriter.pack(aEndpoint.ToString());
}

Endpoint
ReadEndpoint(const PackedValue& aValue, const char* aName)
{
  try {
    return ParseEndpoint(ReadTextView(aValue, aName));
  } catch (const EndpointError& error) {
    throw RpcError(std::string(aName) + ": " + error.what());
  }
}

template<class Ids>
void
WriteIds(const Ids& aIds, PackedWriter& aWriter)
{
  aWriter.pack_array(static_cast<std::uint32_t>(aIds.size()));
  for (const auto& id : aIds) {
    aWriter.pack(id.Value());
  }
}

// Starts an array with one element for each of `aEntries`.
template<class Entries>
void
WriteSize(const Entries& aEntries, PackedWriter& aWriter)
{
  aWriter.pack_array(static_cast<std::uint32_t>(aEntries.size()));
}

void
WriteConstants(const FleetMember& aRecord, PackedWriter& aWriter)
{
  constexpr std::uint32_t kFields = 5;
  aWriter.pack_array(kFields);
  aWriter.pack(aRecord.m_region.Value());
  aWriter.pack(aRecord.m_zone.Value());
  WriteEndpoint(aRecord.m_callerAddress, aWriter);
  WriteEndpoint(aRecord.m_peerAddress, aWriter);
  aWriter.pack(aRecord.m_capacity);
}

void
WriteUsages(const AccountUsages& aUsages, PackedWriter& aWriter)
{
  constexpr std::uint32_t kFields = 3;
  WriteSize(aUsages, aWriter);
  for (const auto& [account, usage] : aUsages) {
    aWriter.pack_array(kFields);
    aWriter.pack(account.Value());
    aWriter.pack(static_cast<std::uint64_t>(usage.m_demand));
    aWriter.pack(usage.m_admitted);
  }
}

void
WriteLimits(const std::map<BackendServerId, NamedLimit>& aLimits,
            PackedWriter& aWriter)
{
  constexpr std::uint32_t kFields = 3;
  WriteSize(aLimits, aWriter);
  for (const auto& [server, limit] : aLimits) {
    aWriter.pack_array(kFields);
    aWriter.pack(server.Value());
    aWriter.pack(limit.m_version);
    if (limit.m_rate) {
      aWriter.pack(limit.m_rate->Value());
    } else {
      aWriter.pack_nil();
    }
  }
}

// The demand is left out if it is not known; earlier builds ignore it.
void
WritePools(const std::map<PoolId, PoolReport>& aPools, PackedWriter& aWriter)
{
  constexpr std::uint32_t kFields = 2;
  constexpr std::uint32_t kFieldsWithDemand = 4;
  WriteSize(aPools, aWriter);
  for (const auto& [pool, report] : aPools) {
    aWriter.pack_array(report.m_demand ? kFieldsWithDemand : kFields);
    aWriter.pack(pool.Value());
    aWriter.pack(ToMilliseconds(report.m_startDelay));
    if (report.m_demand) {
      aWriter.pack(static_cast<float>(report.m_demand->m_arrivals.Value()));
      aWriter.pack(static_cast<float>(report.m_demand->m_capacity.Value()));
    }
  }
}

void
WriteRooms(const FleetMember& aRecord, PackedWriter& aWriter)
{
  constexpr std::uint32_t kRefusalFields = 2;
  constexpr std::uint32_t kRoomFields = 3;
  WriteSize(aRecord.m_maxRefusals, aWriter);
  for (const auto& [pool, refusals] : aRecord.m_maxRefusals) {
    aWriter.pack_array(kRefusalFields);
    aWriter.pack(pool.Value());
    aWriter.pack(refusals.Value());
  }
  WriteSize(aRecord.m_refusedRooms, aWriter);
  for (const auto& [server, room] : aRecord.m_refusedRooms) {
    aWriter.pack_array(kRoomFields);
    aWriter.pack(server.Value());
    aWriter.pack(room.m_version);
    aWriter.pack(room.m_room);
  }
}

// Earlier builds ignore the fingerprint.
void
WriteTopics(const FleetMember& aRecord, PackedWriter& aWriter)
{
  WriteSize(aRecord.m_publishedVersions, aWriter);
  for (const auto& [topic, version] : aRecord.m_publishedVersions) {
    const auto fingerprint = aRecord.m_publishedFingerprints.find(topic);
    const bool hasFingerprint =
      fingerprint != aRecord.m_publishedFingerprints.end();
    aWriter.pack_array(hasFingerprint ? kTopicFieldsWithFingerprint
                                      : kTopicFields);
    aWriter.pack(topic);
    aWriter.pack(version.m_epoch.Value());
    aWriter.pack(version.m_revision);
    if (hasFingerprint) {
      aWriter.pack(fingerprint->second.Value());
    }
  }
}

void
WriteRecord(const OutgoingRecord& aOutgoing, PackedWriter& aWriter)
{
  const FleetMember& record = aOutgoing.m_record;
  aWriter.pack_array(FieldCount);
  aWriter.pack(record.m_id.Value());
  aWriter.pack(record.m_incarnation.Value());
  aWriter.pack(record.m_sequence);
  aWriter.pack(record.m_isReady);
  aWriter.pack(record.m_isDraining);
  aWriter.pack(record.m_readsStore);
  aWriter.pack(record.m_configVersion.Value());
  if (aOutgoing.m_isAbridged || record.m_region.IsEmpty()) {
    aWriter.pack_nil();
  } else {
    WriteConstants(record, aWriter);
  }
  WriteTopics(record, aWriter);
  WriteUsages(record.m_usages, aWriter);
  WritePools(record.m_pools, aWriter);
  WriteLimits(record.m_serverLimits, aWriter);
  WriteIds(record.m_drainingServers, aWriter);
  WriteIds(record.m_membersToIntroduce, aWriter);
  WriteIds(record.m_unreachablePools, aWriter);
  WriteRooms(record, aWriter);
  WriteIds(record.m_refusingServers, aWriter);
}

void
ReadConstants(const PackedValue& aValue, FleetMember& aRecord)
{
  if (aValue.is_nil()) {
    return;
  }
  const auto fields = ReadArray(aValue, "constants", 5);
  aRecord.m_region = RegionId(ReadText(fields[0], "region"));
  aRecord.m_zone = AvailabilityZoneId(ReadText(fields[1], "zone"));
  aRecord.m_callerAddress = ReadEndpoint(fields[2], "caller");
  aRecord.m_peerAddress = ReadEndpoint(fields[3], "peer");
  aRecord.m_capacity = ReadNumber(fields[4], "capacity");
}

AccountUsages
ReadUsages(const PackedValue& aValue)
{
  AccountUsages usages;
  for (const PackedValue& entry : ReadArray(aValue, "usages")) {
    const auto fields = ReadArray(entry, "usage", 3);
    // The accounts are in ascending order.
    usages.emplace_hint(
      usages.end(),
      ClientAccountId(ReadText(fields[0], "account")),
      AccountUsage{ .m_demand =
                      static_cast<double>(ReadUnsigned(fields[1], "demand")),
                    .m_admitted = ReadUnsigned(fields[2], "admitted") });
  }
  return usages;
}

NamedLimit
ReadLimit(std::span<const PackedValue> aFields)
{
  NamedLimit limit{ .m_version = ReadUnsigned(aFields[1], "version") };
  if (aFields[2].is_nil()) {
    return limit;
  }
  const double rate = ReadNumber(aFields[2], "rate");
  if (rate < 0) {
    throw RpcError("rate: expected a non-negative number");
  }
  limit.m_rate = RequestRate(rate);
  return limit;
}

void
ReadRooms(std::span<const PackedValue> aFields, FleetMember& aRecord)
{
  for (const PackedValue& entry :
       ReadArray(aFields[FieldMaxRefusals], "max_refusals")) {
    const auto fields = ReadArray(entry, "max_refusals", 2);
    const double refusals = ReadNumber(fields[1], "max_refusals");
    if (refusals < 0) {
      throw RpcError("max_refusals: expected a non-negative number");
    }
    aRecord.m_maxRefusals.emplace(ReadText(fields[0], "pool"),
                                  RequestRate(refusals));
  }
  for (const PackedValue& entry :
       ReadArray(aFields[FieldRefusedRooms], "rooms")) {
    const auto fields = ReadArray(entry, "room", 3);
    const std::uint64_t room = ReadUnsigned(fields[2], "room");
    if (room > std::numeric_limits<unsigned>::max()) {
      throw RpcError("room: expected a 32-bit integer");
    }
    aRecord.m_refusedRooms.emplace(
      ReadText(fields[0], "server"),
      RefusedRoom{ .m_room = static_cast<unsigned>(room),
                   .m_version = ReadUnsigned(fields[1], "version") });
  }
}

void
ReadLists(std::span<const PackedValue> aFields, FleetMember& aRecord)
{
  for (const PackedValue& entry : ReadArray(aFields[FieldTopics], "topics")) {
    const auto topic = ReadArray(entry, "topic", kTopicFields);
    const std::string name = ReadText(topic[0], "topic");
    aRecord.m_publishedVersions.emplace(
      name,
      TopicVersion{ .m_epoch = StoreEpoch(ReadUnsigned(topic[1], "epoch")),
                    .m_revision = ReadUnsigned(topic[2], "revision") });
    if (topic.size() >= kTopicFieldsWithFingerprint) {
      aRecord.m_publishedFingerprints.emplace(
        name, ReadUnsigned(topic[3], "fingerprint"));
    }
  }
  aRecord.m_usages = ReadUsages(aFields[FieldUsages]);
  for (const PackedValue& entry : ReadArray(aFields[FieldPools], "pools")) {
    const auto pool = ReadArray(entry, "pool", 2);
    PoolReport report{ .m_startDelay = ReadMilliseconds(pool[1], "delay") };
    constexpr std::size_t kFieldsWithDemand = 4;
    if (pool.size() >= kFieldsWithDemand) {
      report.m_demand =
        PoolDemand{ .m_arrivals = RequestRate(ReadNumber(pool[2], "arrivals")),
                    .m_capacity =
                      RequestRate(ReadNumber(pool[3], "capacity")) };
    }
    aRecord.m_pools.emplace(PoolId(ReadText(pool[0], "pool")), report);
  }
  for (const PackedValue& entry : ReadArray(aFields[FieldLimits], "limits")) {
    const auto limit = ReadArray(entry, "limit", 3);
    aRecord.m_serverLimits.emplace(ReadText(limit[0], "server"),
                                   ReadLimit(limit));
  }
  for (const PackedValue& server :
       ReadArray(aFields[FieldDraining], "draining")) {
    aRecord.m_drainingServers.emplace(ReadText(server, "draining"));
  }
  for (const PackedValue& member :
       ReadArray(aFields[FieldToIntroduce], "introduce")) {
    aRecord.m_membersToIntroduce.emplace_back(ReadText(member, "introduce"));
  }
  if (aFields.size() <= FieldRefusedRooms) {
    return;
  }
  for (const PackedValue& pool :
       ReadArray(aFields[FieldUnreachablePools], "unreachable")) {
    aRecord.m_unreachablePools.emplace(ReadText(pool, "unreachable"));
  }
  ReadRooms(aFields, aRecord);
  if (aFields.size() <= FieldRefusingServers) {
    return;
  }
  for (const PackedValue& server :
       ReadArray(aFields[FieldRefusingServers], "refusing")) {
    aRecord.m_refusingServers.emplace(ReadText(server, "refusing"));
  }
}

std::vector<BreakReport>
ReadBreaks(const PackedValue& aValue)
{
  std::vector<BreakReport> breaks;
  for (const PackedValue& entry : ReadArray(aValue, "breaks")) {
    const auto fields = ReadArray(entry, "break", 5);
    breaks.push_back(
      { .m_server = { .m_incarnation =
                        BackendServerId(ReadText(fields[0], "server")),
                      .m_software = ReadText(fields[1], "software") },
        .m_age = ReadMilliseconds(fields[2], "age"),
        .m_isExcused = ReadBool(fields[3], "excused"),
        .m_wasAnswered = ReadBool(fields[4], "answered") });
  }
  return breaks;
}

void
WriteChanges(const std::vector<ItemChange>& aChanges, PackedWriter& aWriter)
{
  constexpr std::uint32_t kFields = 4;
  WriteSize(aChanges, aWriter);
  for (const ItemChange& change : aChanges) {
    aWriter.pack_array(kFields);
    aWriter.pack(change.m_key);
    aWriter.pack(change.m_revision);
    if (change.m_value) {
      aWriter.pack(*change.m_value);
    } else {
      aWriter.pack_nil();
    }
    aWriter.pack(change.m_removal == RemovalReason::Lapsed);
  }
}

std::vector<ItemChange>
ReadChanges(const PackedValue& aValue)
{
  std::vector<ItemChange> changes;
  for (const PackedValue& entry : ReadArray(aValue, "changes")) {
    const auto fields = ReadArray(entry, "change", 4);
    ItemChange& change = changes.emplace_back(ItemChange{
      .m_key = ReadText(fields[0], "key"),
      .m_removal = ReadBool(fields[3], "lapsed") ? RemovalReason::Lapsed
                                                 : RemovalReason::Published,
      .m_revision = ReadUnsigned(fields[1], "revision") });
    if (!fields[2].is_nil()) {
      change.m_value = ReadText(fields[2], "value");
    }
  }
  return changes;
}

void
WriteSnapshot(const TopicSnapshot& aSnapshot, PackedWriter& aWriter)
{
  constexpr std::uint32_t kFields = 3;
  aWriter.pack_array(kFields);
  aWriter.pack(aSnapshot.m_version.m_epoch.Value());
  aWriter.pack(aSnapshot.m_version.m_revision);
  WriteSize(aSnapshot.m_items, aWriter);
  for (const auto& [key, value] : aSnapshot.m_items) {
    const auto revision = aSnapshot.m_revisions.find(key);
    const bool hasRevision = revision != aSnapshot.m_revisions.end();
    aWriter.pack_array(hasRevision ? kItemFieldsWithRevision : kItemFields);
    aWriter.pack(key);
    aWriter.pack(value);
    if (hasRevision) {
      aWriter.pack(revision->second);
    }
  }
}

TopicSnapshot
ReadSnapshot(const PackedValue& aValue)
{
  const auto fields = ReadArray(aValue, "snapshot", 3);
  TopicSnapshot snapshot{
    .m_version = { .m_epoch = StoreEpoch(ReadUnsigned(fields[0], "epoch")),
                   .m_revision = ReadUnsigned(fields[1], "revision") }
  };
  for (const PackedValue& entry : ReadArray(fields[2], "items")) {
    const auto item = ReadArray(entry, "item", kItemFields);
    const std::string key = ReadText(item[0], "key");
    snapshot.m_items.emplace(key, ReadText(item[1], "value"));
    if (item.size() >= kItemFieldsWithRevision) {
      snapshot.m_revisions.emplace(key, ReadUnsigned(item[2], "revision"));
    }
  }
  return snapshot;
}

} // namespace

void
WriteTopicUpdate(const TopicUpdate& aUpdate, PackedWriter& aWriter)
{
  constexpr std::uint32_t kFields = 2;
  aWriter.pack_array(kFields);
  const auto* changes = std::get_if<std::vector<ItemChange>>(&aUpdate);
  aWriter.pack(changes != nullptr);
  if (changes != nullptr) {
    WriteChanges(*changes, aWriter);
  } else {
    WriteSnapshot(std::get<TopicSnapshot>(aUpdate), aWriter);
  }
}

TopicUpdate
ReadTopicUpdate(const PackedValue& aValue)
{
  const auto fields = ReadArray(aValue, "update", 2);
  if (ReadBool(fields[0], "is_changes")) {
    return ReadChanges(fields[1]);
  }
  return ReadSnapshot(fields[1]);
}

void
WriteRecords(const std::vector<OutgoingRecord>& aRecords, PackedWriter& aWriter)
{
  WriteSize(aRecords, aWriter);
  for (const OutgoingRecord& record : aRecords) {
    WriteRecord(record, aWriter);
  }
}

std::vector<FleetMember>
ReadRecords(const PackedValue& aValue, const FleetView& aFleet)
{
  std::vector<FleetMember> records;
  for (const PackedValue& value : ReadArray(aValue, "records", 1)) {
    const auto fields = ReadArray(value, "record", FieldUnreachablePools);
    FleetMember& record = records.emplace_back(FleetMember{
      .m_id = InstanceId(ReadText(fields[FieldId], "id")),
      .m_incarnation =
        Incarnation(ReadUnsigned(fields[FieldIncarnation], "incarnation")),
      .m_sequence = ReadUnsigned(fields[FieldSequence], "sequence") });
    if (records.size() > 1 &&
        !aFleet.IsNews(record.m_id, record.m_incarnation, record.m_sequence)) {
      continue;
    }
    record.m_isReady = ReadBool(fields[FieldIsReady], "ready");
    record.m_isDraining = ReadBool(fields[FieldIsDraining], "draining");
    record.m_readsStore = ReadBool(fields[FieldReadsStore], "reads_store");
    record.m_configVersion =
      SectionVersion(ReadUnsigned(fields[FieldConfigVersion], "config"));
    ReadConstants(fields[FieldConstants], record);
    ReadLists(fields, record);
  }
  return records;
}

void
WriteSuspects(const std::vector<SuspectReport>& aReports, PackedWriter& aWriter)
{
  constexpr std::uint32_t kReportFields = 5;
  constexpr std::uint32_t kBreakFields = 5;
  WriteSize(aReports, aWriter);
  for (const SuspectReport& report : aReports) {
    aWriter.pack_array(kReportFields);
    aWriter.pack(report.m_suspect.m_kind == SuspectKind::Request);
    aWriter.pack(report.m_suspect.m_owner);
    aWriter.pack(report.m_suspect.m_hash);
    aWriter.pack(ToMilliseconds(report.m_requestAge));
    WriteSize(report.m_breaks, aWriter);
    for (const BreakReport& broken : report.m_breaks) {
      aWriter.pack_array(kBreakFields);
      aWriter.pack(broken.m_server.m_incarnation.Value());
      aWriter.pack(broken.m_server.m_software);
      aWriter.pack(ToMilliseconds(broken.m_age));
      aWriter.pack(broken.m_isExcused);
      aWriter.pack(broken.m_wasAnswered);
    }
  }
}

std::vector<SuspectReport>
ReadSuspects(const PackedValue& aValue)
{
  std::vector<SuspectReport> reports;
  for (const PackedValue& entry : ReadArray(aValue, "suspects")) {
    const auto fields = ReadArray(entry, "suspect", 5);
    const std::uint64_t owner = ReadUnsigned(fields[1], "owner");
    if (owner > std::numeric_limits<std::uint32_t>::max()) {
      throw RpcError("owner: expected a 32-bit integer");
    }
    reports.push_back(
      { .m_suspect = { .m_kind = ReadBool(fields[0], "request")
                                   ? SuspectKind::Request
                                   : SuspectKind::PromptPart,
                       .m_owner = static_cast<std::uint32_t>(owner),
                       .m_hash = ReadUnsigned(fields[2], "hash") },
        .m_requestAge = ReadMilliseconds(fields[3], "age"),
        .m_breaks = ReadBreaks(fields[4]) });
  }
  return reports;
}

} // namespace rattanweir
