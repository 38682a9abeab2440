#include "rattanweir/version/section/internal/section_reader.h"

namespace rattanweir::internal {
namespace {

constexpr Range<std::int64_t> kMaximumInFlight{ 1, 100'000 };
constexpr std::int64_t kDefaultMaximumInFlight = 64;

Endpoint
ReadAddress(MappingReader& aRow)
{
  Endpoint endpoint = aRow.ReadEndpoint("address");
  if (!endpoint.m_address.empty() && endpoint.m_port == 0) {
    aRow.AddFault("address", "port must not be 0");
  }
  return endpoint;
}

} // namespace

BackendServersSection
ReadBackendServers(MappingReader& aSection)
{
  BackendServersSection section;
  UniqueValues ids;
  UniqueValues addresses;
  aSection.ReadRows("backend_servers", [&](MappingReader& aRow) {
    BackendServer server{
      .m_id = aRow.ReadId<BackendServerId>("id"),
      .m_pool = aRow.ReadId<PoolId>("pool"),
      .m_kind = aRow.ReadChoice<BackendServerKind>(
        "kind",
        { { "model_engine", BackendServerKind::ModelEngine },
          { "plain_service", BackendServerKind::PlainService } }),
      .m_region = aRow.ReadId<RegionId>("region"),
      .m_zone = aRow.ReadId<AvailabilityZoneId>("availability_zone"),
      .m_endpoint = ReadAddress(aRow),
      .m_echoesAttemptId = aRow.ReadBoolean("echoes_attempt_id", false),
      .m_resumesStreams = aRow.ReadBoolean("resumes_streams", false),
      .m_isDraining = aRow.ReadBoolean("leaving", false),
      .m_maximumInFlight = static_cast<std::uint32_t>(aRow.ReadInteger(
        "maximum_in_flight", kMaximumInFlight, kDefaultMaximumInFlight)),
    };
    ids.Check(aRow, "id", server.m_id.Value(), "id");
    if (!server.m_endpoint.m_address.empty()) {
      addresses.Check(aRow, "address", server.m_endpoint.ToString(), "address");
    }
    section.m_backendServers.push_back(std::move(server));
  });
  return section;
}

} // namespace rattanweir::internal
