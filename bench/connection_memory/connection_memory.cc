// Measures the memory of an idle and of a streaming connection, and the time
// that the gateway's HTTP server and client add to a request.
//
//   connection_memory                  all measurements
//   connection_memory --memory_case 3  memory of one case, in a fresh process
//
// The gateway forwards requests without any routing decision. Each measurement
// is printed next to the same measurement without the gateway, from the same
// run. When several cases run in one process, the resident memory of a later
// case is too low, because the case reuses memory that an earlier case freed.

#include "rattanweir/base/asio/asio.h"

#include "bench/connection_memory/bench_fixture.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gflags/gflags.h>
#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <future>
#include <vector>

DEFINE_int32(
  memory_case,
  -1,
  "index of the only memory case to measure; -1 measures everything");

namespace rattanweir {
namespace {

using asio::ip::tcp;
using std::chrono::nanoseconds;

constexpr int kConnections = 2'000;
constexpr int kRoundsPerEndpoint = 40;
constexpr int kRequestsPerRound = 250;
constexpr int kConcurrentRequests = 32;
constexpr auto kLoadTime = std::chrono::seconds(3);

double
ResidentBytes()
{
  malloc_trim(0);
  std::ifstream statm("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double
AllocatedBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

// Opens kConnections plain sockets, so that the callers add no HTTP client
// state to the memory of this process.
std::vector<tcp::socket>
OpenCallers(asio::io_context& aContext,
            const Endpoint& aEndpoint,
            const std::string& aTarget,
            const std::string& aExpectedText)
{
  std::vector<tcp::socket> callers;
  callers.reserve(kConnections);
  const std::string request = "GET " + aTarget + " HTTP/1.1\r\n\r\n";
  for (int i = 0; i < kConnections; ++i) {
    tcp::socket& socket = callers.emplace_back(aContext);
    socket.connect(
      { asio::ip::make_address(aEndpoint.m_address), aEndpoint.m_port });
    asio::write(socket, asio::buffer(request));
    std::string response;
    asio::read_until(socket, asio::dynamic_buffer(response), aExpectedText);
  }
  return callers;
}

void
WaitUntilClosed(BenchFixture& aFixture)
{
  const auto isOpen = [](BenchServer& aServer, std::uint32_t aMax) {
    return aServer.Connections() > aMax;
  };
  while (isOpen(aFixture.m_gateway, 0) ||
         isOpen(aFixture.m_backend, kConcurrentRequests * 2)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

struct MemoryCost
{
  double m_resident = 0;
  double m_allocated = 0;
};

MemoryCost
MeasureMemory(BenchFixture& aFixture,
              const Endpoint& aEndpoint,
              const std::string& aTarget,
              const std::string& aExpectedText)
{
  asio::io_context context;
  const double resident = ResidentBytes();
  const double allocated = AllocatedBytes();
  MemoryCost cost;
  {
    const auto callers =
      OpenCallers(context, aEndpoint, aTarget, aExpectedText);
    cost.m_resident = (ResidentBytes() - resident) / kConnections;
    cost.m_allocated = (AllocatedBytes() - allocated) / kConnections;
  }
  WaitUntilClosed(aFixture);
  return cost;
}

void
ReportMemory(BenchFixture& aFixture)
{
  const struct
  {
    const char* m_name;
    Endpoint m_endpoint;
    const char* m_target;
    const char* m_expectedText;
  } cases[] = {
    { "idle, server alone",
      aFixture.m_backend.LocalEndpoint(),
      "/small",
      "ok" },
    { "idle, gateway", aFixture.m_gateway.LocalEndpoint(), "/small", "ok" },
    { "stream, server alone",
      aFixture.m_backend.LocalEndpoint(),
      "/hold",
      "forest" },
    { "stream, server and gateway",
      aFixture.m_gateway.LocalEndpoint(),
      "/hold",
      "forest" },
  };
  std::printf("%-28s %14s %14s\n", "bytes a connection", "resident", "in use");
  int number = 0;
  for (const auto& memoryCase : cases) {
    if (const int caseNumber = number++;
        FLAGS_memory_case >= 0 && FLAGS_memory_case != caseNumber) {
      continue;
    }
    const MemoryCost cost = MeasureMemory(aFixture,
                                          memoryCase.m_endpoint,
                                          memoryCase.m_target,
                                          memoryCase.m_expectedText);
    std::printf("%-28s %14.0f %14.0f\n",
                memoryCase.m_name,
                cost.m_resident,
                cost.m_allocated);
  }
}

Task<void>
SendRequest(HttpUpstream& aUpstream, Endpoint aEndpoint, std::string aTarget)
{
  CancelSource cancel;
  OutboundRequest request{ .m_method = "GET", .m_target = std::move(aTarget) };
  request.m_deadline = SystemClock().SteadyNow() + std::chrono::seconds(30);
  const auto exchange =
    co_await aUpstream.Send(aEndpoint, std::move(request), cancel);
  co_await exchange->ReadHead();
  while (co_await exchange->ReadChunk()) {
  }
}

// Runs the task on the thread and blocks until the task completes. Rethrows the
// task's exception.
void
RunOnThread(IoThread& aThread, std::function<Task<void>()> aTask)
{
  std::promise<void> done;
  asio::co_spawn(
    aThread.Context(), std::move(aTask), [&](const std::exception_ptr& aError) {
      aError ? done.set_exception(aError) : done.set_value();
    });
  done.get_future().get();
}

std::string
Quantiles(std::vector<nanoseconds>& aTimes)
{
  std::sort(aTimes.begin(), aTimes.end());
  const auto at = [&](double aQuantile) {
    const auto index = static_cast<std::size_t>(
      aQuantile * static_cast<double>(aTimes.size() - 1));
    return static_cast<double>(aTimes[index].count()) / 1e3;
  };
  char text[64];
  std::snprintf(text, sizeof text, "%10.1f %10.1f", at(0.5), at(0.99));
  return text;
}

// Measures the latency of sequential requests, in alternating rounds directly
// to the backend server and through the gateway.
void
ReportLatency(BenchFixture& aFixture,
              IoThread& aClient,
              HttpUpstream& aUpstream)
{
  const Endpoint endpoints[] = { aFixture.m_backend.LocalEndpoint(),
                                 aFixture.m_gateway.LocalEndpoint() };
  std::printf("\n%-28s %10s %10s\n", "us a request", "p50", "p99");
  for (const std::string target : { "/small", "/stream" }) {
    std::vector<nanoseconds> times[2];
    for (int round = 0; round < 2 * kRoundsPerEndpoint; ++round) {
      const int endpointIndex = round % 2;
      RunOnThread(aClient, [&]() -> Task<void> {
        for (int i = 0; i < kRequestsPerRound; ++i) {
          const auto start = std::chrono::steady_clock::now();
          co_await SendRequest(aUpstream, endpoints[endpointIndex], target);
          times[endpointIndex].push_back(std::chrono::steady_clock::now() -
                                         start);
        }
      });
    }
    std::printf(
      "%-28s %s\n", (target + " direct").c_str(), Quantiles(times[0]).c_str());
    std::printf(
      "%-28s %s\n", (target + " gateway").c_str(), Quantiles(times[1]).c_str());
  }
}

// Measures the throughput of concurrent requests and the processor time that
// they cost the gateway's thread.
void
ReportLoad(BenchFixture& aFixture, IoThread& aClient, HttpUpstream& aUpstream)
{
  std::printf("\n%-28s %10s %10s %12s\n",
              "gateway under load",
              "requests/s",
              "us of core",
              "requests/core");
  for (const std::string target : { "/small", "/stream" }) {
    const auto end = std::chrono::steady_clock::now() + kLoadTime;
    const nanoseconds before = aFixture.m_gateway.ProcessorTime();
    int count = 0;
    std::vector<std::future<void>> callers;
    callers.reserve(kConcurrentRequests);
    for (int caller = 0; caller < kConcurrentRequests; ++caller) {
      callers.push_back(std::async(std::launch::async, [&] {
        RunOnThread(aClient, [&]() -> Task<void> {
          while (std::chrono::steady_clock::now() < end) {
            co_await SendRequest(
              aUpstream, aFixture.m_gateway.LocalEndpoint(), target);
            ++count;
          }
        });
      }));
    }
    callers.clear();
    const auto used = std::chrono::duration<double>(
      aFixture.m_gateway.ProcessorTime() - before);
    const std::chrono::duration<double> time = kLoadTime;
    std::printf("%-28s %10.0f %10.1f %12.0f\n",
                target.c_str(),
                count / time.count(),
                used.count() / count * 1e6,
                count / used.count());
  }
}

void
Run()
{
  BenchFixture fixture;
  ReportMemory(fixture);
  if (FLAGS_memory_case >= 0) {
    return;
  }
  IoThread client;
  HttpUpstream upstream({ .m_executor = client.Context().get_executor() });
  ReportLatency(fixture, client, upstream);
  ReportLoad(fixture, client, upstream);
}

} // namespace
} // namespace rattanweir

int
main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  rattanweir::Run();
  return 0;
}
