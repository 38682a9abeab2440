// Stops of several instances of the users' platform, which run as processes
// before backend servers and a store in the test's process, while callers go on
// sending requests on kept connections until each process is gone.
//
// RATTANWEIR_MIXED_FIRST and RATTANWEIR_MIXED_SECOND name the programs that are
// started at first and in place of those (default: the current build),
// RATTANWEIR_MIXED_SEEDS and RATTANWEIR_MIXED_FIRST_SEED the seeds,
// RATTANWEIR_MIXED_LOGS a folder for the instances' logs.

#include "rattanweir/base/asio/asio.h"

#include "rattanweir/base/json/json.h"
#include "rattanweir/base/random/random.h"
#include "rattanweir/connection/http_client/http_client.h"
#include "rattanweir/connection/http_server/http_server.h"
#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/wait/wait.h"
#include "testing/harness/process.h"
#include "testing/stand_in_store/stand_in_store.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include <unistd.h>

namespace rattanweir::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kRouteTimeout{ 6'000 };
constexpr int kShutdownSeconds = 8;
constexpr int kCallersPerInstance = 3;
constexpr milliseconds kCallInterval{ 15 };
// Callers may send to an instance for this time after its stop signal.
constexpr milliseconds kNoticeTime{ 3'000 };
// Short requests must be served for this time after the signal.
constexpr milliseconds kServedTime{ 2'500 };
constexpr milliseconds kMaxShortRun{ 40 };
constexpr milliseconds kEventInterval{ 300 };

// One route of each kind.
const char* const kKinds[] = { "once", "read", "stream", "resume" };
const char* const kZones[] = { "north-a",
                               "north-a",
                               "north-b",
                               "south-a",
                               "south-a" };

std::string
ReadEnvironment(const char* aName, const std::string& aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : text;
}

std::string
RegionOf(const std::string& aZone)
{
  return aZone.substr(0, aZone.find('-'));
}

// Returns a port that an instance keeps across restarts, below the system's
// ephemeral ports and above those of the fleet soak.
std::uint16_t
FixedPort(std::size_t aInstance, std::size_t aNumber)
{
  constexpr std::uint64_t kFirst = 29'100;
  constexpr std::uint64_t kFleets = 90;
  constexpr std::uint64_t kPerFleet = 40;
  constexpr std::uint64_t kPerInstance = 5;
  return static_cast<std::uint16_t>(
    kFirst + static_cast<std::uint64_t>(::getpid()) % kFleets * kPerFleet +
    aInstance * kPerInstance + aNumber);
}

struct Run
{
  SteadyTime m_startedAt;
  std::optional<SteadyTime> m_endedAt;
};

using Runs = std::map<std::string, std::vector<Run>>;

// Runs each request for the milliseconds at the end of its target.
class Server final : public RequestHandler
{
public:
  Server(asio::io_context& aContext,
         Runs& aRuns,
         std::string aId,
         std::string aZone,
         std::string aService)
    : m_context(aContext)
    , m_runs(aRuns)
    , m_id(std::move(aId))
    , m_zone(std::move(aZone))
    , m_service(std::move(aService))
    , m_server({ .m_executor = aContext.get_executor(),
                 .m_address = ParseEndpoint("127.0.0.1:0"),
                 .m_handler = *this })
  {
    m_server.Start();
  }

  const std::string& Id() const { return m_id; }

  std::string StoreRecord() const
  {
    return R"({"service":")" + m_service + R"(","address":")" +
           m_server.LocalEndpoint().ToString() + R"(","zone":")" + m_zone +
           R"(","slots":300,"state":"ready","born":1,"sequence":1})";
  }

  Task<void> Handle(InboundRequest aRequest,
                    ResponseSink& aSink,
                    CancelSource& aCancel) override
  {
    const std::string id =
      *FindHeader(aRequest.m_headers, "Rattanweir-Request-Id");
    const std::string* expected =
      FindHeader(aRequest.m_headers, "Rattanweir-Expect-Instance");
    if (expected == nullptr || *expected != m_id) {
      ResponseHead refusal{ .m_status = 421,
                            .m_headers = { { "Rattanweir-Not-Run", "1" } },
                            .m_contentLength = 0 };
      co_await aSink.WriteHead(std::move(refusal));
      co_await aSink.Finish();
      co_return;
    }
    const std::size_t run = m_runs[id].size();
    m_runs[id].push_back({ .m_startedAt = SystemClock().SteadyNow() });
    const std::string& target = aRequest.m_target;
    const milliseconds duration(
      std::stoul(target.substr(target.rfind('/') + 1)));
    ResponseHead head{ .m_status = 200,
                       .m_headers = { { "Rattanweir-Request-Id", id },
                                      { "Rattanweir-Response-Seal", "s" } } };
    if (target.starts_with("/once") || target.starts_with("/read")) {
      co_await Wait(duration, aCancel);
      head.m_contentLength = id.size();
      co_await aSink.WriteHead(std::move(head));
      co_await aSink.WriteChunk(id);
    } else {
      head.m_headers.push_back({ "Content-Type", "text/event-stream" });
      co_await aSink.WriteHead(std::move(head));
      const int events =
        std::max(2, static_cast<int>(duration / kEventInterval));
      for (int event = 1; event <= events; ++event) {
        co_await Wait(duration / events, aCancel);
        co_await aSink.WriteChunk("id: " + std::to_string(event) +
                                  "\ndata: x\n\n");
      }
    }
    m_runs[id][run].m_endedAt = SystemClock().SteadyNow();
    co_await aSink.Finish();
  }

private:
  Task<void> Wait(milliseconds aDuration, CancelSource& aCancel)
  {
    co_await WaitFor(m_context.get_executor(), aDuration, aCancel);
    if (const auto reason = aCancel.Reason()) {
      throw RequestError(*reason, "the caller left");
    }
  }

  asio::io_context& m_context;
  Runs& m_runs;
  std::string m_id;
  std::string m_zone;
  std::string m_service;
  HttpServer m_server;
};

struct Instance
{
  std::string m_name;
  std::string m_zone;
  std::string m_settingsPath;
  std::vector<std::uint16_t> m_ports;
  std::unique_ptr<Process> m_process;
  std::size_t m_starts = 0;
  // True between a start and the report that it is ready.
  bool m_isStarting = true;
  // Times of each stop.
  std::vector<SteadyTime> m_signalledAt;

  Endpoint Address(std::size_t aNumber) const
  {
    return ParseEndpoint("127.0.0.1:" + std::to_string(m_ports[aNumber]));
  }
};

struct Call
{
  std::string m_id;
  std::string m_instance;
  std::string m_kind;
  std::string m_target;
  milliseconds m_duration{ 0 };
  SteadyTime m_sentAt;
  SteadyTime m_endedAt;
  // The last stop signal to the instance when the call ended.
  std::optional<SteadyTime> m_signalledAt;
  bool m_wasStarting = false;
  // False if no byte was sent.
  bool m_isSent = true;
  // 0 if the connection ended without a complete response.
  unsigned m_status = 0;
  bool m_isNotRun = false;
  std::string m_detail;

  bool IsShort() const { return m_duration <= kMaxShortRun; }
  bool RunsOnce() const { return m_kind == "once" || m_kind == "stream"; }
};

class MixedFleet
{
public:
  MixedFleet(std::uint64_t aSeed, int aLongRequests)
    : m_seed(aSeed)
    , m_longRequests(aLongRequests)
    , m_random(aSeed)
    , m_store(m_context)
    , m_upstream(
        { .m_executor = m_context.get_executor(), .m_maxIdlePerEndpoint = 300 })
  {
    m_folder = std::filesystem::temp_directory_path() /
               ("mixed_fleet_" + std::to_string(::getpid()) + "_" +
                std::to_string(aSeed));
    std::filesystem::create_directories(m_folder);
    for (const char* zone : { "north-a", "north-b", "south-a" }) {
      AddServer(zone, "desk");
    }
    AddServer("south-a", "far");
    for (const char* zone : kZones) {
      Instance& instance = m_instances.emplace_back();
      instance.m_name = "i" + std::to_string(m_instances.size());
      instance.m_zone = zone;
      instance.m_settingsPath = (m_folder / (instance.m_name + ".yaml"));
      for (std::size_t number = 0; number < 5; ++number) {
        instance.m_ports.push_back(FixedPort(m_instances.size() - 1, number));
      }
    }
    PublishConfiguration();
  }

  ~MixedFleet() { std::filesystem::remove_all(m_folder); }

  // Starts the instances and the callers, and runs the task until it completes.
  void Run(const std::function<Task<void>()>& aTask)
  {
    for (Instance& instance : m_instances) {
      WriteSettings(instance);
      Start(instance, "RATTANWEIR_MIXED_FIRST");
    }
    bool isDone = false;
    asio::co_spawn(
      m_context,
      [&]() -> Task<void> {
        for (Instance& instance : m_instances) {
          co_await WaitUntilReady(instance);
        }
        for (Instance& instance : m_instances) {
          for (int caller = 0; caller < kCallersPerInstance; ++caller) {
            asio::co_spawn(m_context, CallRepeatedly(instance), asio::detached);
          }
        }
        co_await Sleep(seconds(2));
        co_await aTask();
        co_await Sleep(seconds(1));
        m_isStopping = true;
        co_await Sleep(kRouteTimeout);
        isDone = true;
      },
      [](const std::exception_ptr& aError) {
        if (aError) {
          std::rethrow_exception(aError);
        }
      });
    while (!isDone) {
      m_context.run_one();
    }
    for (Instance& instance : m_instances) {
      CHECK_FALSE(instance.m_process->HasEnded());
      KeepLog(instance);
    }
  }

  Task<void> Sleep(milliseconds aDuration)
  {
    CancelSource never;
    co_await WaitFor(m_context.get_executor(), aDuration, never);
  }

  // Stops an instance with the signals, 150 ms apart, and starts the second
  // program in its place.
  Task<void> Replace(Instance& aInstance, std::vector<int> aSignals)
  {
    const std::string counters = co_await RunDurationsCounters(aInstance);
    m_counters += counters;
    aInstance.m_signalledAt.push_back(SystemClock().SteadyNow());
    for (const int signal : aSignals) {
      aInstance.m_process->Signal(signal);
      co_await Sleep(milliseconds(150));
    }
    while (!aInstance.m_process->HasEnded()) {
      co_await Sleep(milliseconds(10));
    }
    INFO("seed " << m_seed << ", " << aInstance.m_name);
    CHECK(aInstance.m_process->WaitForExit() == 0);
    KeepLog(aInstance);
    // Callers see that the address refuses connections.
    co_await Sleep(milliseconds(200));
    Start(aInstance, "RATTANWEIR_MIXED_SECOND");
    co_await WaitUntilReady(aInstance);
  }

  // Publishes the next version of the configuration.
  void PublishConfiguration()
  {
    std::string routes;
    for (const char* kind : kKinds) {
      for (const char* load : { "desk", "far", "long", "longfar" }) {
        routes += (routes.empty() ? "" : ",") + RouteText(kind, load);
      }
    }
    m_store.Put("op/config",
                R"({"version":)" + std::to_string(++m_version) +
                  R"(,"routes":[)" + routes +
                  R"(],"services":[{"name":"desk","maxConnections":1000},)"
                  R"({"name":"far","maxConnections":1000}]})");
  }

  std::size_t Draw(std::size_t aSize) { return UniformIndex(m_random, aSize); }

  void Check();

  std::deque<Instance> m_instances;

private:
  void AddServer(const std::string& aZone, const std::string& aService)
  {
    m_servers.push_back(
      std::make_unique<Server>(m_context,
                               m_runs,
                               "s" + std::to_string(m_servers.size()),
                               aZone,
                               aService));
    m_store.Put("servers/" + m_servers.back()->Id(),
                m_servers.back()->StoreRecord());
  }

  static std::string RouteText(const std::string& aKind,
                               const std::string& aLoad)
  {
    const std::string prefix = "/" + aKind + "/" + aLoad + "/";
    const std::string kind = aKind == "once"   ? "non_idempotent"
                             : aKind == "read" ? "idempotent"
                                               : "streaming";
    return R"({"name":")" + aKind + "-" + aLoad + R"(","host":"h","prefix":")" +
           prefix + R"(","kind":")" + kind + R"(","timeoutMs":)" +
           std::to_string(kRouteTimeout.count()) +
           R"(,"targetLatencyMs":2000,"service":")" +
           (aLoad.ends_with("far") ? "far" : "desk") + R"(","attempts":)" +
           (aKind == "stream" ? "1" : "2") +
           (aKind == "resume" ? R"(,"resumable":true)" : "") + "}";
  }

  void WriteSettings(const Instance& aInstance) const
  {
    std::ofstream file(aInstance.m_settingsPath);
    const auto address = [&aInstance](std::size_t aNumber) {
      return "\"" + aInstance.Address(aNumber).ToString() + "\"";
    };
    file << "instance: " << aInstance.m_name
         << "\nregion: " << RegionOf(aInstance.m_zone)
         << "\navailability_zone: " << aInstance.m_zone
         << "\naddresses: { caller: " << address(0) << ", peer: " << address(1)
         << ", admin: " << address(2)
         << " }\nshutdown_timeout_seconds: " << kShutdownSeconds
         << "\nfleet:\n  store: \"" << m_store.Address().ToString()
         << "\"\n  directory_address: " << address(3)
         << "\n  readiness_address: " << address(4) << "\n  seeds: [";
    for (const Instance& seed : m_instances) {
      file << "\"" << seed.Address(1).ToString() << "\",";
    }
    file << "]\n  availability_zones:\n"
            "    - { id: north-a, region: north }\n"
            "    - { id: north-b, region: north }\n"
            "    - { id: south-a, region: south }\n"
            "log: { format: json }\n";
  }

  void Start(Instance& aInstance, const char* aVariable) const
  {
    aInstance.m_isStarting = true;
    ++aInstance.m_starts;
    aInstance.m_process = std::make_unique<Process>(ProcessOptions{
      .m_path = ReadEnvironment(aVariable, RATTANWEIR_DAEMON),
      .m_arguments = { "--settings", aInstance.m_settingsPath } });
  }

  // Waits until the instance reports that it is ready.
  Task<void> WaitUntilReady(Instance& aInstance)
  {
    const SteadyTime end = SystemClock().SteadyNow() + kConditionTimeout;
    for (;;) {
      std::string target = "/readyz";
      const std::string body =
        co_await Ask(aInstance.Address(2), std::move(target));
      if (body.find("true") != std::string::npos) {
        break;
      }
      if (SystemClock().SteadyNow() > end) {
        throw std::runtime_error(aInstance.m_name + " is not ready");
      }
      co_await Sleep(milliseconds(20));
    }
    aInstance.m_isStarting = false;
    const SteadyTime readyAt = SystemClock().SteadyNow();
    co_await WaitUntilListed(aInstance);
    m_longestListing =
      std::max(m_longestListing, SystemClock().SteadyNow() - readyAt);
  }

  // Waits until the others that run name the instance to callers, and so send
  // to it themselves.
  Task<void> WaitUntilListed(const Instance& aInstance)
  {
    const std::string address = aInstance.Address(0).ToString();
    for (const Instance& other : m_instances) {
      const SteadyTime end = SystemClock().SteadyNow() + kConditionTimeout;
      for (;;) {
        std::string target =
          "/api/resolve?region=" + RegionOf(aInstance.m_zone);
        const std::string list =
          co_await Ask(other.Address(3), std::move(target));
        if (list.empty() || list.find(address) != std::string::npos) {
          break;
        }
        if (SystemClock().SteadyNow() > end) {
          throw std::runtime_error(other.m_name + " does not list " +
                                   aInstance.m_name);
        }
        co_await Sleep(milliseconds(10));
      }
    }
  }

  Call NewCall(const Instance& aInstance,
               const std::string& aKind,
               const std::string& aLoad,
               milliseconds aDuration)
  {
    const std::string id =
      std::to_string(m_seed) + "-" + std::to_string(++m_lastId);
    return { .m_id = id,
             .m_instance = aInstance.m_name,
             .m_kind = aKind,
             .m_target = "/" + aKind + "/" + aLoad + "/" + id + "/" +
                         std::to_string(aDuration.count()),
             .m_duration = aDuration };
  }

  Call DrawCall(const Instance& aInstance)
  {
    const std::string kind = kKinds[Draw(std::size(kKinds))];
    if (Draw(100) < static_cast<std::size_t>(m_longRequests)) {
      const milliseconds durations[] = { milliseconds(600),
                                         milliseconds(1'500),
                                         milliseconds(3'000),
                                         milliseconds(4'700) };
      return NewCall(aInstance,
                     kind,
                     Draw(2) == 0 ? "long" : "longfar",
                     durations[Draw(std::size(durations))]);
    }
    return NewCall(
      aInstance,
      kind,
      Draw(2) == 0 ? "desk" : "far",
      milliseconds(5 +
                   Draw(static_cast<std::size_t>(kMaxShortRun.count()) - 4)));
  }

  Task<void> Send(const Instance& aInstance, Call& aCall)
  {
    aCall.m_sentAt = SystemClock().SteadyNow();
    aCall.m_wasStarting = aInstance.m_isStarting;
    OutboundRequest request{
      .m_method = aCall.m_kind == "once" ? "POST" : "GET",
      .m_target = aCall.m_target,
      .m_headers = { { "Host", "h" },
                     { "Rattanweir-Request-Id", aCall.m_id },
                     { "Rattanweir-Deadline-Ms",
                       std::to_string(kRouteTimeout.count()) } },
      .m_deadline = aCall.m_sentAt + seconds(20),
    };
    const Endpoint address = aInstance.Address(0);
    CancelSource cancel;
    try {
      const auto exchange =
        co_await m_upstream.Send(address, std::move(request), cancel);
      const ResponseHead head = co_await exchange->ReadHead();
      std::string body;
      while (const auto chunk = co_await exchange->ReadChunk()) {
        body += *chunk;
      }
      aCall.m_status = head.m_status;
      aCall.m_isNotRun =
        FindHeader(head.m_headers, "Rattanweir-Not-Run") != nullptr;
      if (head.m_status != 200) {
        aCall.m_detail = body;
      }
    } catch (const RequestError& error) {
      aCall.m_isSent = error.HasRun() != Ran::No;
      aCall.m_detail = error.what();
    }
    aCall.m_endedAt = SystemClock().SteadyNow();
    if (!aInstance.m_signalledAt.empty() && !aCall.m_wasStarting) {
      aCall.m_signalledAt = aInstance.m_signalledAt.back();
    }
  }

  Task<void> CallRepeatedly(const Instance& aInstance)
  {
    while (!m_isStopping) {
      Call call = DrawCall(aInstance);
      // Long requests don't keep short ones from being sent.
      if (call.IsShort()) {
        co_await SendAndRecord(aInstance, std::move(call));
      } else {
        asio::co_spawn(
          m_context, SendAndRecord(aInstance, std::move(call)), asio::detached);
      }
      co_await Sleep(kCallInterval);
    }
  }

  Task<void> SendAndRecord(const Instance& aInstance, Call aCall)
  {
    co_await Send(aInstance, aCall);
    m_calls.push_back(std::move(aCall));
  }

  // Returns the body of the response, or an empty string without one.
  Task<std::string> Ask(Endpoint aAddress, std::string aTarget)
  {
    std::string body;
    OutboundRequest request{ .m_method = "GET",
                             .m_target = aTarget,
                             .m_headers = { { "Host", "h" } },
                             .m_deadline =
                               SystemClock().SteadyNow() + seconds(5) };
    CancelSource cancel;
    try {
      const auto exchange =
        co_await m_upstream.Send(aAddress, std::move(request), cancel);
      co_await exchange->ReadHead();
      while (const auto chunk = co_await exchange->ReadChunk()) {
        body += *chunk;
      }
    } catch (const RequestError&) {
      body.clear();
    }
    co_return body;
  }

  // Returns the counters of the call with which a stopping instance asks peers.
  Task<std::string> RunDurationsCounters(const Instance& aInstance)
  {
    std::string target = "/metrics";
    const std::string body =
      co_await Ask(aInstance.Address(2), std::move(target));
    std::string found;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
      if (!line.starts_with("#") &&
          line.find("run_durations") != std::string::npos) {
        found += "  " + aInstance.m_name + " " + line + "\n";
      }
    }
    co_return found;
  }

  void KeepLog(const Instance& aInstance)
  {
    const std::string folder = ReadEnvironment("RATTANWEIR_MIXED_LOGS", "");
    std::ofstream file;
    if (!folder.empty()) {
      file.open(folder + "/" + std::to_string(m_seed) + "-" + aInstance.m_name +
                "-" + std::to_string(aInstance.m_starts) + ".log");
    }
    for (const std::string& line : aInstance.m_process->Lines()) {
      if (file.is_open()) {
        file << line << "\n";
      }
      if (!line.starts_with("{")) {
        ++m_events["(not a record) " + line];
        continue;
      }
      const Json::Value record = ParseJson(line);
      const std::string level = record["level"].asString();
      if (level != "info" && level != "debug") {
        ++m_events[level + " " + record["event"].asString() + " " +
                   record["result"].asString()];
      }
    }
  }

  std::size_t RunCount(const Call& aCall) const
  {
    const auto found = m_runs.find(aCall.m_id);
    return found == m_runs.end() ? 0 : found->second.size();
  }

  // Returns whether a server still ran the call when its connection ended.
  bool IsCutAtWork(const Call& aCall) const
  {
    const auto found = m_runs.find(aCall.m_id);
    return found != m_runs.end() &&
           std::ranges::any_of(found->second, [&aCall](const struct Run& aRun) {
             return !aRun.m_endedAt || *aRun.m_endedAt > aCall.m_endedAt;
           });
  }

  // Returns the last stop signal to any instance before the call ended.
  std::optional<SteadyTime> LastSignal(const Call& aCall) const
  {
    std::optional<SteadyTime> last;
    for (const Instance& instance : m_instances) {
      for (const SteadyTime at : instance.m_signalledAt) {
        if (at <= aCall.m_endedAt && (!last || at > *last)) {
          last = at;
        }
      }
    }
    return last;
  }

  // Returns how long after the instance's stop signal the call was sent, in
  // whole half seconds.
  static std::string TimeAfterSignal(const Call& aCall)
  {
    constexpr double kPerSecond = 2;
    if (!aCall.m_signalledAt) {
      return "without a signal";
    }
    const std::chrono::duration<double> time =
      aCall.m_sentAt - *aCall.m_signalledAt;
    std::ostringstream text;
    text << "from " << std::floor(time.count() * kPerSecond) / kPerSecond
         << " s";
    return text.str();
  }

  std::string DescribeCall(const Call& aCall) const;
  // Count the call, and check how often it ran and how it ended.
  void CheckRuns(const Call& aCall);
  void CheckOutcome(const Call& aCall);

  std::uint64_t m_seed;
  // Percentage of the requests that run for 0.6 to 4.7 s.
  int m_longRequests;
  RandomEngine m_random;
  asio::io_context m_context;
  std::filesystem::path m_folder;
  Runs m_runs;
  StandInStore m_store;
  std::vector<std::unique_ptr<Server>> m_servers;
  HttpUpstream m_upstream;
  std::vector<Call> m_calls;
  std::map<std::string, std::size_t> m_counts;
  std::map<std::string, std::size_t> m_events;
  std::string m_counters;
  // The longest time from an instance's readiness until all others named it.
  std::chrono::nanoseconds m_longestListing{};
  std::uint64_t m_lastId = 0;
  int m_version = 0;
  bool m_isStopping = false;
};

std::string
MixedFleet::DescribeCall(const Call& aCall) const
{
  const auto millisecondsAfter = [](SteadyTime aTime, SteadyTime aStart) {
    return std::to_string(
      std::chrono::duration_cast<milliseconds>(aTime - aStart).count());
  };
  std::string text = aCall.m_instance + " " + aCall.m_target + " status " +
                     std::to_string(aCall.m_status) + " runs " +
                     std::to_string(RunCount(aCall)) + " took " +
                     millisecondsAfter(aCall.m_endedAt, aCall.m_sentAt);
  if (aCall.m_signalledAt) {
    text += " sent " + millisecondsAfter(aCall.m_sentAt, *aCall.m_signalledAt) +
            " after its signal";
  }
  if (const auto last = LastSignal(aCall)) {
    text += " sent " + millisecondsAfter(aCall.m_sentAt, *last) +
            " after the last signal";
  }
  return text + (aCall.m_wasStarting ? " (starting) " : " ") + aCall.m_detail;
}

void
MixedFleet::Check()
{
  for (const Call& call : m_calls) {
    INFO("seed " << m_seed << ", " << DescribeCall(call));
    CheckRuns(call);
    if (call.m_isSent) {
      CheckOutcome(call);
    } else {
      ++m_counts["not sent, no connection"];
    }
  }
  CHECK(m_counts["requests"] > 1'000);
  for (const auto& [what, count] : m_counts) {
    std::cout << "  " << what << ": " << count << "\n";
  }
  for (const auto& [event, count] : m_events) {
    std::cout << "  record " << event << ": " << count << "\n";
  }
  std::cout
    << "  named by all others after at most "
    << std::chrono::duration_cast<milliseconds>(m_longestListing).count()
    << " ms\n"
    << m_counters << std::flush;
}

void
MixedFleet::CheckRuns(const Call& aCall)
{
  const std::size_t runs = RunCount(aCall);
  const std::size_t maxRuns = aCall.RunsOnce() ? 1 : 2;
  CHECK(runs <= maxRuns);
  m_counts["ran more often than allowed"] += runs > maxRuns ? 1 : 0;
  m_counts["ran twice, " + aCall.m_kind] += runs > 1 ? 1 : 0;
  const bool impliesNotRun = !aCall.m_isSent || aCall.m_isNotRun ||
                             (aCall.m_status == 503 && aCall.RunsOnce());
  if (impliesNotRun) {
    CHECK(runs == 0);
  }
}

void
MixedFleet::CheckOutcome(const Call& aCall)
{
  ++m_counts["requests"];
  ++m_counts["requests, " + aCall.m_kind];
  const std::string what = aCall.m_status == 0
                             ? "without an answer"
                             : "status " + std::to_string(aCall.m_status) +
                                 (aCall.m_wasStarting ? ", starting" : "");
  const std::string length = aCall.IsShort() ? "short " : "long ";
  ++m_counts[what];
  if (aCall.m_status != 200) {
    ++m_counts[what + ", " + length + aCall.m_kind];
    ++m_counts[what + ", " + length +
               aCall.m_detail.substr(0, aCall.m_detail.find('\n')) + ", sent " +
               TimeAfterSignal(aCall)];
  }
  if (aCall.m_status == 0 || aCall.m_status == 502) {
    const auto signalledAt =
      aCall.m_signalledAt ? aCall.m_signalledAt : LastSignal(aCall);
    const bool isCutByStop =
      signalledAt && aCall.m_sentAt <= *signalledAt + kNoticeTime;
    // Not ended by the stop: on a busy machine a server of this process may be
    // late.
    const bool isAtDeadline = aCall.m_endedAt - aCall.m_sentAt >= kRouteTimeout;
    const bool isExcused = IsCutAtWork(aCall) && (isCutByStop || isAtDeadline);
    m_counts[what + ", excused"] += isExcused ? 1 : 0;
    m_counts[what + ", at its deadline"] += isAtDeadline ? 1 : 0;
    CHECK(isExcused);
  }
  const bool mustBeServed =
    aCall.IsShort() && !aCall.m_wasStarting &&
    (!aCall.m_signalledAt ||
     aCall.m_sentAt <= *aCall.m_signalledAt + kServedTime);
  if (mustBeServed) {
    ++m_counts["short requests to be served"];
    m_counts["short requests to be served, not served"] +=
      aCall.m_status == 200 ? 0 : 1;
    CHECK(aCall.m_status == 200);
  }
}

void
ForEachSeed(const std::function<void(std::uint64_t)>& aTest)
{
  const std::uint64_t first =
    std::stoull(ReadEnvironment("RATTANWEIR_MIXED_FIRST_SEED", "1"));
  const std::uint64_t count =
    std::stoull(ReadEnvironment("RATTANWEIR_MIXED_SEEDS", "1"));
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    std::cout << "mixed fleet seed " << seed << std::endl;
    aTest(seed);
  }
}

TEST_CASE("short requests are served while instances are replaced one by one")
{
  ForEachSeed([](std::uint64_t aSeed) {
    MixedFleet fleet(aSeed, 0);
    std::vector<std::size_t> order;
    for (std::size_t index = 0; index < fleet.m_instances.size(); ++index) {
      order.insert(order.begin() +
                     static_cast<std::ptrdiff_t>(fleet.Draw(order.size() + 1)),
                   index);
    }
    fleet.Run([&]() -> Task<void> {
      for (const std::size_t index : order) {
        std::vector<int> signals(1, SIGTERM);
        co_await fleet.Replace(fleet.m_instances[index], std::move(signals));
      }
    });
    fleet.Check();
  });
}

TEST_CASE("entry and peers that stop together cut nothing that can be avoided")
{
  ForEachSeed([](std::uint64_t aSeed) {
    MixedFleet fleet(aSeed, 10);
    int remaining = 0;
    const auto replaceLater = [&fleet,
                               &remaining](Instance& aInstance,
                                           milliseconds aDelay) -> Task<void> {
      ++remaining;
      co_await fleet.Sleep(aDelay);
      std::vector<int> signals(3, SIGTERM);
      signals[1] = SIGHUP;
      co_await fleet.Replace(aInstance, std::move(signals));
      --remaining;
    };
    fleet.Run([&]() -> Task<void> {
      const auto executor = co_await asio::this_coro::executor;
      // Two of the three instances of the north and one of the south.
      const std::size_t spared = fleet.Draw(3);
      const std::size_t stopped[] = { (spared + 1) % 3,
                                      (spared + 2) % 3,
                                      3 + fleet.Draw(2) };
      for (const std::size_t index : stopped) {
        asio::co_spawn(executor,
                       replaceLater(fleet.m_instances[index],
                                    milliseconds(fleet.Draw(1'000))),
                       asio::detached);
      }
      co_await fleet.Sleep(milliseconds(fleet.Draw(1'000)));
      fleet.PublishConfiguration();
      do {
        co_await fleet.Sleep(milliseconds(50));
      } while (remaining > 0);
    });
    fleet.Check();
  });
}

} // namespace
} // namespace rattanweir::testing
