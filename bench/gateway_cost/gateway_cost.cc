// Measures the overhead that one real instance adds to a request. One run sends
// the same requests first directly to a stand-in backend server and then
// through the instance.
//
//   gateway_cost --seconds 5 --callers 4
//
// Prints the latency of a small request and of a stream (time to first event,
// and time between events), the processor time of the instance per request, and
// its resident bytes per idle connection and per running stream.

#include "bench/usage/process_usage.h"
#include "testing/harness/configuration_files.h"
#include "testing/harness/fleet.h"
#include "testing/http/http.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

DEFINE_int32(seconds, 5, "length of each measurement in seconds");
DEFINE_int32(callers, 4, "concurrent callers");
DEFINE_int32(idle_connections, 1000, "connections kept open without a request");
DEFINE_int32(streams, 200, "streams kept open");

namespace rattanweir::bench {
namespace {

using std::chrono::duration;
using std::chrono::steady_clock;
using testing::HttpConnection;
using testing::HttpRequest;

constexpr std::chrono::seconds kTimeout{ 30 };
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr const char* kInstance = "ostland-1";

HttpRequest
SmallRequest()
{
  return { .m_method = "POST",
           .m_target = "/lookups",
           .m_headers = { { "authorization",
                            "Bearer " + testing::KeyTextOf("parents") },
                          { "content-type", "application/json" } },
           .m_body = R"({"marker":"bench","group":"fox"})" };
}

HttpRequest
StreamRequest(int aTokens)
{
  HttpRequest request = SmallRequest();
  request.m_target = "/v1/chat";
  request.m_body = R"({"prompt":"what to pack","stream":true,"max_tokens":)" +
                   std::to_string(aTokens) + "}";
  return request;
}

// Collects the durations of one kind of event in seconds. Add is thread-safe;
// Quantile and Count must not run concurrently with other calls.
class Samples
{
public:
  void Add(duration<double> aTime)
  {
    const std::lock_guard lock(m_mutex);
    m_seconds.push_back(aTime.count());
  }

  // Returns the quantile in seconds, or 0 if there are no samples. `aQuantile`
  // is between 0 and 1.
  double Quantile(double aQuantile)
  {
    if (m_seconds.empty()) {
      return 0;
    }
    std::sort(m_seconds.begin(), m_seconds.end());
    const auto last = static_cast<double>(m_seconds.size() - 1);
    return m_seconds[static_cast<std::size_t>(aQuantile * last)];
  }

  std::size_t Count() const { return m_seconds.size(); }

private:
  std::mutex m_mutex;
  std::vector<double> m_seconds;
};

struct Times
{
  Samples m_total;
  Samples m_firstEvent;
  Samples m_betweenEvents;
  std::atomic<int> m_failed{ 0 };
};

void
CallOnce(HttpConnection& aConnection,
         const HttpRequest& aRequest,
         Times& aTimes)
{
  const auto start = steady_clock::now();
  auto previous = start;
  bool isFirst = true;
  const auto response =
    aConnection.Send(aRequest, [&](const std::string& /*aBody*/) {
      const auto now = steady_clock::now();
      (isFirst ? aTimes.m_firstEvent : aTimes.m_betweenEvents)
        .Add(now - previous);
      isFirst = false;
      previous = now;
      return true;
    });
  if (response.m_status != 200 || !response.m_isComplete) {
    ++aTimes.m_failed;
    return;
  }
  aTimes.m_total.Add(steady_clock::now() - start);
}

void
RunCallers(const Endpoint& aEndpoint,
           const HttpRequest& aRequest,
           Times& aTimes)
{
  const auto end = steady_clock::now() + std::chrono::seconds(FLAGS_seconds);
  std::vector<std::jthread> callers;
  callers.reserve(static_cast<std::size_t>(FLAGS_callers));
  for (int caller = 0; caller < FLAGS_callers; ++caller) {
    callers.emplace_back([&] {
      HttpConnection connection(aEndpoint, kTimeout);
      while (steady_clock::now() < end && connection.IsOpen()) {
        CallOnce(connection, aRequest, aTimes);
      }
    });
  }
}

void
PrintTimes(const char* aName, Times& aTimes)
{
  std::printf("%-28s %7zu %5d %9.0f %9.0f %9.0f %9.0f %9.0f %9.0f\n",
              aName,
              aTimes.m_total.Count(),
              aTimes.m_failed.load(),
              kMicrosecondsPerSecond * aTimes.m_total.Quantile(0.5),
              kMicrosecondsPerSecond * aTimes.m_total.Quantile(0.99),
              kMicrosecondsPerSecond * aTimes.m_firstEvent.Quantile(0.5),
              kMicrosecondsPerSecond * aTimes.m_firstEvent.Quantile(0.95),
              kMicrosecondsPerSecond * aTimes.m_betweenEvents.Quantile(0.5),
              kMicrosecondsPerSecond * aTimes.m_betweenEvents.Quantile(0.95));
}

void
Compare(testing::Fleet& aFleet,
        const std::string& aServer,
        const char* aName,
        const HttpRequest& aRequest)
{
  const int pid = aFleet.Instance(kInstance).Pid();
  Times direct;
  RunCallers(aFleet.ServerAddress(aServer), aRequest, direct);
  PrintTimes((std::string(aName) + ", direct").c_str(), direct);
  Times viaGateway;
  const auto before = ProcessorTime(pid);
  RunCallers(aFleet.CallerAddress(kInstance), aRequest, viaGateway);
  const duration<double> used = ProcessorTime(pid) - before;
  PrintTimes((std::string(aName) + ", gateway").c_str(), viaGateway);
  const auto calls = static_cast<double>(viaGateway.m_total.Count());
  std::printf("  core time a request: %.0f us; a core carries %.0f a second\n",
              kMicrosecondsPerSecond * used.count() / calls,
              calls / used.count());
}

void
MeasureIdleConnections(testing::Fleet& aFleet)
{
  const int pid = aFleet.Instance(kInstance).Pid();
  const std::uint64_t before = ResidentBytes(pid);
  std::vector<std::unique_ptr<HttpConnection>> connections;
  connections.reserve(static_cast<std::size_t>(FLAGS_idle_connections));
  for (int number = 0; number < FLAGS_idle_connections; ++number) {
    connections.push_back(std::make_unique<HttpConnection>(
      aFleet.CallerAddress(kInstance), kTimeout));
    // The response shows that the instance has accepted the connection.
    connections.back()->Send({ .m_method = "GET",
                               .m_target = "/v1/entries",
                               .m_headers = {},
                               .m_body = {} });
  }
  const auto growth = static_cast<double>(ResidentBytes(pid) - before);
  std::printf("resident bytes an idle connection: %.0f\n",
              growth / FLAGS_idle_connections);
}

void
MeasureStreams(testing::Fleet& aFleet)
{
  const int pid = aFleet.Instance(kInstance).Pid();
  const std::uint64_t before = ResidentBytes(pid);
  std::atomic<int> startedStreams{ 0 };
  std::atomic<bool> isMeasured{ false };
  std::vector<std::jthread> callers;
  callers.reserve(static_cast<std::size_t>(FLAGS_streams));
  for (int number = 0; number < FLAGS_streams; ++number) {
    callers.emplace_back([&] {
      HttpConnection connection(aFleet.CallerAddress(kInstance), kTimeout);
      bool isFirst = true;
      connection.Send(StreamRequest(1'000), [&](const std::string&) {
        startedStreams += isFirst ? 1 : 0;
        isFirst = false;
        return !isMeasured;
      });
    });
  }
  testing::WaitUntil("all streams have started",
                     [&] { return startedStreams == FLAGS_streams; });
  const auto growth = static_cast<double>(ResidentBytes(pid) - before);
  isMeasured = true;
  std::printf("resident bytes a running stream: %.0f\n",
              growth / FLAGS_streams);
}

// Starts a new instance for each measurement, so that no measurement reuses
// memory that an earlier one freed.
std::unique_ptr<testing::Fleet>
StartFleet()
{
  auto fleet = std::make_unique<testing::Fleet>(
    testing::FleetOptions{ .m_tokenInterval = "5ms" });
  fleet->WaitUntilReady();
  // Gives the rate bucket time for its first fill.
  std::this_thread::sleep_for(std::chrono::seconds(1));
  return fleet;
}

void
Run()
{
  MeasureIdleConnections(*StartFleet());
  MeasureStreams(*StartFleet());
  std::printf("%-28s %7s %5s %9s %9s %9s %9s %9s %9s\n",
              "us",
              "calls",
              "bad",
              "p50",
              "p99",
              "first50",
              "first95",
              "gap50",
              "gap95");
  const auto fleet = StartFleet();
  Compare(*fleet, "service-ostland", "small request", SmallRequest());
  Compare(*fleet, "engine-ostland", "stream of 32 events", StreamRequest(32));
}

} // namespace
} // namespace rattanweir::bench

int
main(int argc, char** argv)
{
  gflags::SetUsageMessage(
    "measures the overhead that one instance adds to a request");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  rattanweir::bench::Run();
  return 0;
}
