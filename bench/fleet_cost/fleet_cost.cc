// Measures the cost of control traffic per node. Real instances run on loopback
// with the configuration of a large fleet and serve no requests.
//
//   fleet_cost --instances 8,16,32 --seconds 20
//
// Prints one row per fleet size: processor time, resident memory and network
// bytes per node during the idle window, reads at the configuration service,
// and the time until a changed section is in force on all instances, once when
// all instances watch the changed service and once when all but one receive the
// change only through the relay between peers. The processes end with the
// program.

#include "bench/fleet_cost/fleet_files.h"
#include "bench/usage/process_usage.h"
#include "testing/harness/process.h"

#include <gflags/gflags.h>
#include <json/value.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

DEFINE_string(instances, "8,16,32", "fleet sizes, separated by commas");
DEFINE_int32(seconds, 20, "length of the idle window in seconds");
DEFINE_int32(per_region, 8, "instances per region");
DEFINE_int32(client_accounts, 1200, "client accounts in the configuration");
DEFINE_int32(maximum_instances,
             370,
             "maximum number of instances that share each rate");

namespace rattanweir::bench {
namespace {

using std::chrono::duration;
using std::chrono::system_clock;
using testing::Process;

// Longer than the first lease term and the first watches take.
constexpr std::chrono::seconds kSettleTime{ 8 };
constexpr double kBytesPerMebibyte = 1024.0 * 1024.0;

struct Node
{
  InstanceLocation m_location;
  std::unique_ptr<Process> m_process;
};

std::unique_ptr<Process>
StartPlatform(const FleetFiles& aFiles, Endpoint& aAddress)
{
  auto platform = std::make_unique<Process>(testing::ProcessOptions{
    .m_path = RATTANWEIR_STAND_IN_PLATFORM,
    .m_arguments = { "--directory", aFiles.Directory().string() } });
  const Json::Value record = platform->WaitForRecord("listening");
  aAddress = ParseEndpoint(record["address"].asString());
  return platform;
}

// A fleet whose first instance reads from one configuration service and whose
// other instances read from another. A version that only the first service
// publishes reaches the other instances through the relay between peers.
class MeasuredFleet
{
public:
  explicit MeasuredFleet(int aSize)
    : m_sizes{ .m_clientAccounts = FLAGS_client_accounts,
               .m_keys = 2 * FLAGS_client_accounts,
               .m_instances = FLAGS_maximum_instances }
    , m_firstFiles(m_sizes)
    , m_otherFiles(m_sizes)
  {
    m_firstFiles.WriteSections();
    m_otherFiles.WriteSections();
    m_firstPlatform = StartPlatform(m_firstFiles, m_firstAddress);
    m_otherPlatform = StartPlatform(m_otherFiles, m_otherAddress);
    for (int number = 0; number < aSize; ++number) {
      StartNode(number);
    }
    PublishInstances();
    for (const Node& node : m_nodes) {
      node.m_process->WaitForRecord("ready");
    }
  }

  const std::vector<Node>& Nodes() const { return m_nodes; }

  std::size_t PlatformLogLines() const
  {
    return m_firstPlatform->Lines().size() + m_otherPlatform->Lines().size();
  }

  // Publishes a version of the keys section at both services, or only at the
  // first one, and returns the seconds until it is in force on all instances.
  double SecondsUntilInForce(std::uint64_t aVersion, bool aAtBoth)
  {
    const auto publishedAt = system_clock::now();
    if (aAtBoth) {
      m_otherFiles.WriteKeysVersion(aVersion);
    }
    m_firstFiles.WriteKeysVersion(aVersion);
    for (const Node& node : m_nodes) {
      testing::WaitUntil(
        "the published version is in force on the instance",
        [&] { return HasAcceptedKeys(*node.m_process, aVersion); });
    }
    return duration<double>(system_clock::now() - publishedAt).count();
  }

private:
  void StartNode(int aNumber)
  {
    const int region = aNumber / FLAGS_per_region;
    const std::string name = "region-" + std::to_string(region);
    Node node{ .m_location = { .m_id = "node-" + std::to_string(aNumber),
                               .m_region = name,
                               .m_zone = name + "-a" } };
    const Endpoint& platform = aNumber == 0 ? m_firstAddress : m_otherAddress;
    const std::string settings =
      m_firstFiles.WriteSettings(node.m_location, platform);
    node.m_process = std::make_unique<Process>(testing::ProcessOptions{
      .m_path = RATTANWEIR_DAEMON, .m_arguments = { "--settings", settings } });
    const Json::Value record = node.m_process->WaitForRecord("listening");
    node.m_location.m_callerAddress =
      ParseEndpoint(record["caller"].asString());
    node.m_location.m_peerAddress = ParseEndpoint(record["peer"].asString());
    m_nodes.push_back(std::move(node));
  }

  void PublishInstances() const
  {
    std::vector<InstanceLocation> locations;
    for (const Node& node : m_nodes) {
      locations.push_back(node.m_location);
    }
    m_firstFiles.WriteInstances(locations);
    m_otherFiles.WriteInstances(locations);
  }

  static bool HasAcceptedKeys(const Process& aProcess, std::uint64_t aVersion)
  {
    const std::string versionField =
      "\"version\":\"" + std::to_string(aVersion) + "\"";
    const std::vector<std::string> lines = aProcess.Lines();
    return std::any_of(
      lines.rbegin(), lines.rend(), [&](const std::string& aLine) {
        return aLine.find("section_accepted") != std::string::npos &&
               aLine.find("\"keys\"") != std::string::npos &&
               aLine.find(versionField) != std::string::npos;
      });
  }

  SectionSizes m_sizes;
  FleetFiles m_firstFiles;
  FleetFiles m_otherFiles;
  std::unique_ptr<Process> m_firstPlatform;
  std::unique_ptr<Process> m_otherPlatform;
  Endpoint m_firstAddress;
  Endpoint m_otherAddress;
  std::vector<Node> m_nodes;
};

struct Window
{
  double m_processorShareMean = 0;
  double m_processorShareMax = 0;
  double m_mebibytesMean = 0;
  double m_mebibytesMax = 0;
  double m_bytesPerNodeSecond = 0;
  double m_readsPerSecond = 0;
};

Window
MeasureIdle(const MeasuredFleet& aFleet)
{
  std::vector<std::chrono::milliseconds> before;
  for (const Node& node : aFleet.Nodes()) {
    before.push_back(ProcessorTime(node.m_process->Pid()));
  }
  const std::uint64_t bytesBefore = LoopbackBytes();
  const std::size_t linesBefore = aFleet.PlatformLogLines();
  std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));

  Window window;
  const auto nodes = static_cast<double>(aFleet.Nodes().size());
  window.m_bytesPerNodeSecond =
    static_cast<double>(LoopbackBytes() - bytesBefore) / nodes / FLAGS_seconds;
  window.m_readsPerSecond =
    static_cast<double>(aFleet.PlatformLogLines() - linesBefore) /
    FLAGS_seconds;
  for (std::size_t index = 0; index < aFleet.Nodes().size(); ++index) {
    const int pid = aFleet.Nodes()[index].m_process->Pid();
    const duration<double> used = ProcessorTime(pid) - before[index];
    const double share = used.count() / FLAGS_seconds;
    const double mebibytes =
      static_cast<double>(ResidentBytes(pid)) / kBytesPerMebibyte;
    window.m_processorShareMean += share / nodes;
    window.m_processorShareMax = std::max(window.m_processorShareMax, share);
    window.m_mebibytesMean += mebibytes / nodes;
    window.m_mebibytesMax = std::max(window.m_mebibytesMax, mebibytes);
  }
  return window;
}

void
MeasureSize(int aSize)
{
  MeasuredFleet fleet(aSize);
  std::this_thread::sleep_for(kSettleTime);
  const Window window = MeasureIdle(fleet);
  const double byWatch = fleet.SecondsUntilInForce(2, true);
  const double byRelay = fleet.SecondsUntilInForce(3, false);
  constexpr double kPercent = 100;
  std::printf("%9d %8.2f %8.2f %8.1f %8.1f %10.0f %9.1f %9.2f %9.2f\n",
              aSize,
              kPercent * window.m_processorShareMean,
              kPercent * window.m_processorShareMax,
              window.m_mebibytesMean,
              window.m_mebibytesMax,
              window.m_bytesPerNodeSecond,
              window.m_readsPerSecond,
              byWatch,
              byRelay);
  std::fflush(stdout);
}

} // namespace
} // namespace rattanweir::bench

int
main(int argc, char** argv)
{
  gflags::SetUsageMessage(
    "measures the cost of control traffic per node, on loopback");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::printf("%9s %8s %8s %8s %8s %10s %9s %9s %9s\n",
              "instances",
              "core_%",
              "most_%",
              "MiB",
              "most_MiB",
              "B/s_node",
              "reads/s",
              "watch_s",
              "relay_s");
  std::istringstream sizes(FLAGS_instances);
  for (std::string size; std::getline(sizes, size, ',');) {
    rattanweir::bench::MeasureSize(std::stoi(size));
  }
  return 0;
}
