// Measures what one real instance adds to a request, beside stand-ins: the same
// requests go straight to the stand-in and through the instance, in turn, in
// one run.
//
//   gateway_cost --seconds 5 --callers 4
//
// Prints times of a small request and of a stream (to its first event, and
// between events), processor time of the instance a request, and its resident
// bytes for an idle connection and for a running stream.

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

DEFINE_int32(seconds, 5, "length of each part");
DEFINE_int32(callers, 4, "callers at once");
DEFINE_int32(idle_connections, 1000, "connections held without a request");
DEFINE_int32(streams, 200, "streams held open");

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

// Seconds of one kind of event, from all callers.
class Samples
{
public:
  void Add(duration<double> aTime)
  {
    const std::lock_guard lock(m_mutex);
    m_seconds.push_back(aTime.count());
  }

  // The time that this part of the samples stays below.
  double Quantile(double aPart)
  {
    if (m_seconds.empty()) {
      return 0;
    }
    std::sort(m_seconds.begin(), m_seconds.end());
    const auto last = static_cast<double>(m_seconds.size() - 1);
    return m_seconds[static_cast<std::size_t>(aPart * last)];
  }

  std::size_t Count() const { return m_seconds.size(); }

private:
  std::mutex m_mutex;
  std::vector<double> m_seconds;
};

struct Times
{
  Samples m_whole;
  Samples m_first;
  Samples m_between;
  std::atomic<int> m_failed{ 0 };
};

void
CallOnce(HttpConnection& aConnection,
         const HttpRequest& aRequest,
         Times& aTimes)
{
  const auto begin = steady_clock::now();
  auto previous = begin;
  bool isFirst = true;
  const auto response =
    aConnection.Send(aRequest, [&](const std::string& /*aBody*/) {
      const auto now = steady_clock::now();
      (isFirst ? aTimes.m_first : aTimes.m_between).Add(now - previous);
      isFirst = false;
      previous = now;
      return true;
    });
  if (response.m_status != 200 || !response.m_isComplete) {
    ++aTimes.m_failed;
    return;
  }
  aTimes.m_whole.Add(steady_clock::now() - begin);
}

void
CallAll(const Endpoint& aEndpoint, const HttpRequest& aRequest, Times& aTimes)
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
              aTimes.m_whole.Count(),
              aTimes.m_failed.load(),
              kMicrosecondsPerSecond * aTimes.m_whole.Quantile(0.5),
              kMicrosecondsPerSecond * aTimes.m_whole.Quantile(0.99),
              kMicrosecondsPerSecond * aTimes.m_first.Quantile(0.5),
              kMicrosecondsPerSecond * aTimes.m_first.Quantile(0.95),
              kMicrosecondsPerSecond * aTimes.m_between.Quantile(0.5),
              kMicrosecondsPerSecond * aTimes.m_between.Quantile(0.95));
}

void
Compare(testing::Fleet& aFleet,
        const std::string& aServer,
        const char* aName,
        const HttpRequest& aRequest)
{
  const int pid = aFleet.Instance(kInstance).Pid();
  Times direct;
  CallAll(aFleet.ServerAddress(aServer), aRequest, direct);
  PrintTimes((std::string(aName) + ", direct").c_str(), direct);
  Times through;
  const auto before = ProcessorTime(pid);
  CallAll(aFleet.CallerAddress(kInstance), aRequest, through);
  const duration<double> used = ProcessorTime(pid) - before;
  PrintTimes((std::string(aName) + ", gateway").c_str(), through);
  const auto calls = static_cast<double>(through.m_whole.Count());
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
    // The connection is served once its request is answered.
    connections.back()->Send({ .m_method = "GET",
                               .m_target = "/v1/entries",
                               .m_headers = {},
                               .m_body = {} });
  }
  const auto grown = static_cast<double>(ResidentBytes(pid) - before);
  std::printf("resident bytes an idle connection: %.0f\n",
              grown / FLAGS_idle_connections);
}

void
MeasureStreams(testing::Fleet& aFleet)
{
  const int pid = aFleet.Instance(kInstance).Pid();
  const std::uint64_t before = ResidentBytes(pid);
  std::atomic<int> begun{ 0 };
  std::atomic<bool> isMeasured{ false };
  std::vector<std::jthread> callers;
  callers.reserve(static_cast<std::size_t>(FLAGS_streams));
  for (int number = 0; number < FLAGS_streams; ++number) {
    callers.emplace_back([&] {
      HttpConnection connection(aFleet.CallerAddress(kInstance), kTimeout);
      bool isFirst = true;
      connection.Send(StreamRequest(1'000), [&](const std::string&) {
        begun += isFirst ? 1 : 0;
        isFirst = false;
        return !isMeasured;
      });
    });
  }
  testing::WaitUntil("the streams run", [&] { return begun == FLAGS_streams; });
  const auto grown = static_cast<double>(ResidentBytes(pid) - before);
  isMeasured = true;
  std::printf("resident bytes a running stream: %.0f\n", grown / FLAGS_streams);
}

// A fresh instance for each part, so that no part finds memory that another
// left behind.
std::unique_ptr<testing::Fleet>
StartFleet()
{
  auto fleet = std::make_unique<testing::Fleet>(
    testing::FleetOptions{ .m_tokenInterval = "5ms" });
  fleet->WaitUntilReady();
  // Past the first fill of the bucket.
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
  gflags::SetUsageMessage("what one instance adds to a request");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  rattanweir::bench::Run();
  return 0;
}
