#include "rattanweir/process/instance_list/instance_list.h"

#include "rattanweir/version/yaml/load.h"
#include "rattanweir/version/yaml/reader.h"
#include "rattanweir/version/yaml/unique_values.h"

#include <utility>

namespace rattanweir {
namespace {

InstanceRecord
ReadRecord(MappingReader& aRow)
{
  return InstanceRecord{
    .m_id = aRow.ReadId<InstanceId>("id"),
    .m_region = aRow.ReadId<RegionId>("region"),
    .m_zone = aRow.ReadId<AvailabilityZoneId>("availability_zone"),
    .m_callerAddress = aRow.ReadEndpoint("caller_address"),
    .m_peerAddress = aRow.ReadEndpoint("peer_address"),
    .m_isDraining = aRow.ReadBoolean("leaving", false),
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
    UniqueValues ids;
    list.ReadRows("instances", [&](MappingReader& aRow) {
      InstanceRecord record = ReadRecord(aRow);
      ids.Check(aRow, "id", record.m_id.Value(), "id");
      records.push_back(std::move(record));
    });
    list.RefuseUnknownFields();
  }
  faults.ThrowIfAny();
  return records;
}

} // namespace rattanweir
