#include "testing/harness/fleet.h"

#include <algorithm>
#include <csignal>
#include <sstream>

namespace rattanweir::testing {

namespace {

using namespace std::chrono_literals;

constexpr auto kCallTimeout = 30s;

} // namespace

Fleet::Fleet(const FleetOptions& aOptions)
  : m_options(aOptions)
{
  for (const std::string& account : ClientAccountNames()) {
    m_history.m_keys.insert(KeyTextOf(account));
  }
  m_history.m_accounts["small"] = m_options.m_smallRights;
  for (const std::string& region : m_options.m_serverRegions) {
    StartServer("engine", region);
    StartServer("service", region);
  }
  m_files.WriteAccounts(m_options.m_regions.size(), m_options.m_smallRights);
  m_files.WriteRoutes(m_options.m_bookingDeadline);
  WriteServers();
  PublishKeys(m_keysVersion);
  for (const std::string& region : m_options.m_regions) {
    Node& node = m_nodes[region + "-1"];
    node.m_region = region;
    node.m_link = std::make_unique<LinkCutter>();
    node.m_callerAddress = { .m_address = "127.0.0.1", .m_port = 1 };
  }
  WriteInstances();
  if (m_options.m_hasPlatform) {
    StartPlatform();
  }
  for (auto& [id, node] : m_nodes) {
    node.m_platformLink = std::make_unique<LinkCutter>();
    node.m_platformLink->SetTarget(m_platformAddress);
    StartNode(id);
  }
  WriteInstances();
}

void
Fleet::StartServer(const std::string& aKind, const std::string& aRegion)
{
  BackendServer& server = m_servers[aKind + "-" + aRegion];
  server.m_region = aRegion;
  ProcessOptions options{ .m_path = aKind == "engine"
                                      ? RATTANWEIR_STAND_IN_ENGINE
                                      : RATTANWEIR_STAND_IN_SERVICE };
  if (aKind == "engine") {
    options.m_arguments = { "--token-interval", m_options.m_tokenInterval };
  }
  server.m_process = std::make_unique<Process>(options);
  const Json::Value record = server.m_process->WaitForRecord("listening");
  server.m_address = ParseEndpoint(record["address"].asString());
}

void
Fleet::StartPlatform()
{
  const ProcessOptions options{ .m_path = RATTANWEIR_STAND_IN_PLATFORM,
                                .m_arguments = { "--directory",
                                                 m_files.Directory() } };
  m_platform = std::make_unique<Process>(options);
  const Json::Value record = m_platform->WaitForRecord("listening");
  m_platformAddress = ParseEndpoint(record["address"].asString());
}

std::string
Fleet::PlatformSetting(const Node& aNode) const
{
  if (!m_options.m_hasPlatform) {
    return "{ directory: " + m_files.Directory() + " }";
  }
  const std::string address = aNode.m_platformLink->Address().ToString();
  return "{ configuration_service: \"" + address + "\", instance_list: \"" +
         address + "\" }";
}

void
Fleet::StartNode(const std::string& aInstance)
{
  Node& node = m_nodes.at(aInstance);
  const std::string settings =
    m_files.WriteSettings(aInstance,
                          node.m_region,
                          PlatformSetting(node),
                          m_options.m_shutdownTimeout);
  const ProcessOptions options{ .m_path = RATTANWEIR_DAEMON,
                                .m_arguments = { "--settings", settings } };
  node.m_process = std::make_unique<Process>(options);
  const Json::Value record = node.m_process->WaitForRecord("listening");
  const std::lock_guard lock(m_mutex);
  node.m_callerAddress = ParseEndpoint(record["caller"].asString());
  node.m_adminAddress = ParseEndpoint(record["admin"].asString());
  node.m_link->SetTarget(ParseEndpoint(record["peer"].asString()));
}

void
Fleet::Restart(const std::string& aInstance)
{
  m_nodes.at(aInstance).m_process.reset();
  StartNode(aInstance);
  WriteInstances();
}

void
Fleet::WriteInstances() const
{
  std::vector<InstanceEntry> entries;
  for (const auto& [id, node] : m_nodes) {
    entries.push_back({ .m_id = id,
                        .m_region = node.m_region,
                        .m_callerAddress = node.m_callerAddress,
                        .m_peerAddress = node.m_link->Address() });
  }
  m_files.WriteInstances(entries);
}

void
Fleet::WriteServers()
{
  std::vector<ServerEntry> entries;
  for (const auto& [id, server] : m_servers) {
    entries.push_back({ .m_id = id,
                        .m_region = server.m_region,
                        .m_address = server.m_address,
                        .m_isEngine = id.starts_with("engine"),
                        .m_isDraining = m_drainingServers.contains(id) });
  }
  m_files.WriteServers(entries);
}

void
Fleet::PublishKeys(std::uint64_t aVersion)
{
  m_keysVersion = aVersion;
  m_files.WriteKeys(aVersion, m_withdrawnKeys);
}

void
Fleet::WithdrawKey(const std::string& aKeyId)
{
  m_withdrawnKeys.insert(aKeyId);
  PublishKeys(m_keysVersion + 1);
  m_history.m_withdrawnKeys.push_back(
    { .m_id = aKeyId, .m_at = WallMicroseconds() });
}

void
Fleet::MarkDraining(const std::string& aServer)
{
  m_drainingServers.insert(aServer);
  WriteServers();
  m_history.m_drainingServers.push_back(
    { .m_id = aServer, .m_at = WallMicroseconds() });
}

void
Fleet::WaitUntilReady()
{
  for (const auto& [id, node] : m_nodes) {
    WaitUntil(id + " to be ready", [this, &each = id] {
      return Admin(each, "/readyz").m_status == 200;
    });
  }
}

std::vector<std::string>
Fleet::Instances() const
{
  std::vector<std::string> ids;
  for (const auto& [id, node] : m_nodes) {
    ids.push_back(id);
  }
  return ids;
}

Process&
Fleet::Instance(const std::string& aInstance)
{
  return *m_nodes.at(aInstance).m_process;
}

Process&
Fleet::Server(const std::string& aServer)
{
  return *m_servers.at(aServer).m_process;
}

LinkCutter&
Fleet::Link(const std::string& aInstance)
{
  return *m_nodes.at(aInstance).m_link;
}

LinkCutter&
Fleet::PlatformLink(const std::string& aInstance)
{
  return *m_nodes.at(aInstance).m_platformLink;
}

Endpoint
Fleet::CallerAddress(const std::string& aInstance) const
{
  const std::lock_guard lock(m_mutex);
  return m_nodes.at(aInstance).m_callerAddress;
}

Endpoint
Fleet::ServerAddress(const std::string& aServer) const
{
  return m_servers.at(aServer).m_address;
}

void
Fleet::Switch(const std::string& aServer, const std::string& aJson)
{
  const Endpoint address =
    aServer == "platform" ? m_platformAddress : m_servers.at(aServer).m_address;
  HttpConnection connection(address, kCallTimeout);
  connection.Send(
    { .m_method = "POST", .m_target = "/_switch", .m_body = aJson });
}

Endpoint
Fleet::AdminAddress(const std::string& aInstance) const
{
  const std::lock_guard lock(m_mutex);
  return m_nodes.at(aInstance).m_adminAddress;
}

HttpResponse
Fleet::Admin(const std::string& aInstance,
             const std::string& aPath,
             const std::string& aMethod)
{
  try {
    HttpConnection connection(m_nodes.at(aInstance).m_adminAddress,
                              kCallTimeout);
    return connection.Send({ .m_method = aMethod, .m_target = aPath });
  } catch (const HttpError& error) {
    std::string message = aInstance + ": " + error.what();
    for (const std::string& line : Instance(aInstance).Lines()) {
      message += "\n  " + line;
    }
    throw HttpError(message);
  }
}

std::uint64_t
Fleet::VersionOf(const std::string& aInstance, const std::string& aSection)
{
  const Json::Value status = ParseJson(Admin(aInstance, "/status").m_body);
  const Json::Value& version = status["sections"][aSection]["version"];
  if (!version.isIntegral()) {
    return 0;
  }
  const std::lock_guard lock(m_mutex);
  m_history.m_versions.push_back({ .m_instance = aInstance,
                                   .m_section = aSection,
                                   .m_version = version.asUInt64(),
                                   .m_at = WallMicroseconds() });
  return version.asUInt64();
}

void
Fleet::Drain(const std::string& aInstance)
{
  m_history.m_drainedInstances.insert(aInstance);
  Instance(aInstance).Signal(SIGTERM);
}

std::size_t
Fleet::CountRecords(const std::string& aServer, const std::string& aEvent)
{
  std::size_t count = 0;
  for (const std::string& line : Server(aServer).Lines()) {
    count += ParseJson(line)["event"] == aEvent ? 1 : 0;
  }
  return count;
}

void
Fleet::Record(const CallerRecord& aCall)
{
  const std::lock_guard lock(m_mutex);
  m_history.m_calls.push_back(aCall);
}

std::size_t
Fleet::CallCount() const
{
  const std::lock_guard lock(m_mutex);
  return m_history.m_calls.size();
}

std::size_t
Fleet::ServedCount() const
{
  const std::lock_guard lock(m_mutex);
  return static_cast<std::size_t>(
    std::count_if(m_history.m_calls.begin(),
                  m_history.m_calls.end(),
                  [](const CallerRecord& aCall) {
                    return aCall.m_status == 200 && aCall.m_isComplete;
                  }));
}

std::string
Fleet::NewMarker()
{
  const std::lock_guard lock(m_mutex);
  return "m" + std::to_string(++m_markerCount);
}

std::vector<Violation>
Fleet::StopAndCheckHistory()
{
  for (auto& [id, node] : m_nodes) {
    node.m_process.reset();
  }
  for (const auto& [id, server] : m_servers) {
    server.m_process->Signal(SIGTERM);
    server.m_process->WaitForExit();
    for (const std::string& line : server.m_process->Lines()) {
      AddStandInLine(m_history, id, server.m_region, line);
    }
  }
  for (const auto& [id, node] : m_nodes) {
    for (const std::string& hops : node.m_link->Hops()) {
      ForwardRecord forward{ .m_to = id };
      std::istringstream list(hops);
      for (std::string visited; std::getline(list >> std::ws, visited, ',');) {
        forward.m_visited.push_back(visited);
      }
      m_history.m_forwards.push_back(forward);
    }
  }
  return CheckHistory(m_history);
}

} // namespace rattanweir::testing
