#include "rattanweir/process/instance_list/instance_list.h"

#include "rattanweir/version/yaml/load.h"
#include "rattanweir/version/yaml/reader.h"
#include "rattanweir/version/yaml/unique_values.h"

#include <utility>

namespace rattanweir {
namespace {

InstanceRecord
ReadInstanceRecord(MappingReader& aEntry)
{
  return InstanceRecord{
    .m_id = aEntry.ReadId<InstanceId>("id"),
    .m_region = aEntry.ReadId<RegionId>("region"),
    .m_zone = aEntry.ReadId<AvailabilityZoneId>("availability_zone"),
    .m_callerAddress = aEntry.ReadEndpoint("caller_address"),
    .m_peerAddress = aEntry.ReadEndpoint("peer_address"),
    .m_isDraining = aEntry.ReadBoolean("leaving", false),
  };
}

} // namespace

std::vector<InstanceRecord>
ParseInstanceList(const SectionText& aText)
{
  FaultCollector faults(aText.m_file, "instances");
  std::vector<InstanceRecord> records;
  if (const auto root = LoadYaml(aText, faults)) {
    MappingReader list(*root, "", faults);
    UniqueValues uniqueIds;
    list.ReadRows("instances", [&](MappingReader& aEntry) {
      InstanceRecord record = ReadInstanceRecord(aEntry);
      uniqueIds.Check(aEntry, "id", record.m_id.Value(), "id");
      records.push_back(std::move(record));
    });
    list.RejectUnknownFields();
  }
  faults.ThrowIfAny();
  return records;
}

} // namespace rattanweir
