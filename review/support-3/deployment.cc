#include "review/support-3/deployment.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

using std::chrono::duration_cast;
using std::chrono::steady_clock;

constexpr Milliseconds kIdleTimeout{ 30'000 };
constexpr Milliseconds kStoreAnswerTime{ 4 };
constexpr const char* kProgram = "target/programs/rattanweird/rattanweird";

std::string
Base64(const std::string& aBytes)
{
  constexpr char kLetters[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < aBytes.size(); at += 3) {
    unsigned group = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      const bool isThere = at + index < aBytes.size();
      group = group << 8U |
              (isThere ? static_cast<unsigned char>(aBytes[at + index]) : 0U);
    }
    for (unsigned index = 0; index < 4; ++index) {
      const bool isThere = at + index <= aBytes.size();
      text += isThere ? kLetters[group >> (18U - 6U * index) & 63U] : '=';
    }
  }
  return text;
}

// Returns the value of a parameter in the query of a target.
std::string
QueryValue(const std::string& aTarget, const std::string& aName)
{
  std::istringstream query(aTarget.substr(aTarget.find('?') + 1));
  for (std::string pair; std::getline(query, pair, '&');) {
    if (pair.starts_with(aName + "=")) {
      return pair.substr(aName.size() + 1);
    }
  }
  return {};
}

std::string
ItemJson(const std::string& aKey,
         const std::optional<std::string>& aValue,
         std::uint64_t aRevision)
{
  const std::string revision = std::to_string(aRevision);
  const std::string start =
    R"({"key":")" + aKey + R"(","revision":)" + revision;
  if (!aValue) {
    return start + R"(,"tombstone":true})";
  }
  return start + R"(,"value":")" + Base64(*aValue) + R"(","created":)" +
         revision + R"(,"lease":0})";
}

Milliseconds
UnixTime()
{
  return duration_cast<Milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

Record::Record(const std::string& aFolder)
  : m_file(aFolder + "/record.txt")
  , m_start(steady_clock::now())
{
}

void
Record::Write(const std::string& aLine)
{
  const std::scoped_lock lock(m_mutex);
  m_file << Now().count() << " ms  " << aLine << std::endl;
}

Milliseconds
Record::Now() const
{
  return duration_cast<Milliseconds>(steady_clock::now() - m_start);
}

std::uint16_t
Store::AddGate(const GateOptions& aOptions)
{
  auto gate = std::make_shared<Gate>();
  gate->m_options = aOptions;
  const Listener listener(
    [this, gate](Connection& aConnection) { Serve(*gate, aConnection); });
  m_gates[listener.Port()] = gate;
  return listener.Port();
}

void
Store::SetCut(std::uint16_t aGate, bool aIsCut)
{
  m_gates.at(aGate)->m_isCut = aIsCut;
}

void
Store::Put(const std::string& aKey, const std::string& aValue)
{
  const std::scoped_lock lock(m_mutex);
  m_items[aKey] = { .m_value = aValue, .m_revision = ++m_revision };
  m_changed.notify_all();
}

void
Store::Remove(const std::string& aKey)
{
  const std::scoped_lock lock(m_mutex);
  m_items[aKey] = { .m_revision = ++m_revision };
  m_changed.notify_all();
}

void
Store::CutWatchesAfter(Milliseconds aWait)
{
  const std::scoped_lock lock(m_mutex);
  m_cutAfter = aWait;
}

void
Store::Serve(const Gate& aGate, Connection& aConnection)
{
  bool isSilent = false;
  while (const auto request = aConnection.Read(kIdleTimeout)) {
    isSilent |= aGate.m_isCut;
    std::this_thread::sleep_for(aGate.m_options.m_delay + kStoreAnswerTime);
    const std::optional<std::string> answer = Answer(request->m_second);
    if (!answer) {
      return;
    }
    isSilent |= aGate.m_isCut;
    std::this_thread::sleep_for(aGate.m_options.m_delay);
    const std::string response =
      FormatResponse(200, { { "Content-Type", "application/json" } }, *answer);
    if (!isSilent && !aConnection.Send(response)) {
      return;
    }
  }
}

std::optional<std::string>
Store::Answer(const std::string& aTarget)
{
  const std::string prefix = QueryValue(aTarget, "prefix");
  if (aTarget.starts_with("/api/kv-range")) {
    return Range(prefix);
  }
  return Watch(prefix,
               std::strtoull(QueryValue(aTarget, "after").c_str(), nullptr, 10),
               Milliseconds(std::atoi(QueryValue(aTarget, "waitMs").c_str())));
}

std::string
Store::Range(const std::string& aPrefix)
{
  const std::scoped_lock lock(m_mutex);
  std::string items;
  for (const auto& [key, item] : m_items) {
    if (key.starts_with(aPrefix) && item.m_value) {
      items += (items.empty() ? "" : ",") +
               ItemJson(key, item.m_value, item.m_revision);
    }
  }
  return R"({"items":[)" + items + R"(],"truncated":false,"at":)" +
         std::to_string(m_revision) + "}";
}

std::optional<std::string>
Store::Watch(const std::string& aPrefix,
             std::uint64_t aAfter,
             Milliseconds aWait)
{
  std::unique_lock lock(m_mutex);
  // Ordered by revision. Only the latest change of an item is kept.
  std::map<std::uint64_t, std::string> events;
  const bool isCut = m_cutAfter && *m_cutAfter < aWait;
  const Milliseconds wait = isCut ? *m_cutAfter : aWait;
  m_changed.wait_for(lock, wait, [&] {
    for (const auto& [key, item] : m_items) {
      if (key.starts_with(aPrefix) && item.m_revision > aAfter) {
        events[item.m_revision] = ItemJson(key, item.m_value, item.m_revision);
      }
    }
    return !events.empty();
  });
  if (isCut && events.empty()) {
    return std::nullopt;
  }
  std::string text;
  for (const auto& [revision, event] : events) {
    text += (text.empty() ? "" : ",") + event;
  }
  return R"({"events":[)" + text + R"(],"at":)" + std::to_string(m_revision) +
         "}";
}

Runner::Runner(const RunnerOptions& aOptions, Record& aRecord)
  : m_options(aOptions)
  , m_record(aRecord)
  , m_id("i-" + NewRequestId())
  , m_born(std::to_string(UnixTime().count()))
  , m_listener(std::make_unique<Listener>(
      [this](Connection& aConnection) { Serve(aConnection); }))
{
}

std::string
Runner::Entry() const
{
  return R"({"service":")" + m_options.m_service + R"(","address":")" +
         Address(m_listener->Port()) + R"(","zone":")" + m_options.m_zone +
         R"(","version":"v1","slots":)" + std::to_string(m_options.m_slots) +
         R"(,"state":"ready","coldRemainingMs":0,"sequence":1,"born":)" +
         m_born + "}";
}

void
Runner::Serve(Connection& aConnection)
{
  bool hasExtra = false;
  while (const auto request = aConnection.Read(kIdleTimeout, false)) {
    if (hasExtra) {
      ++m_extras;
      m_record.Write("runner " + m_id +
                     " sends an extra response where that to " +
                     request->Header("Rattanweir-Request-Id") + " is expected");
      if (!aConnection.Send(FormatResponse(400, {}, kExtraBody))) {
        return;
      }
    }
    if (!aConnection.Send(Answer(*request))) {
      return;
    }
    hasExtra = DrawsExtra();
  }
}

void
Runner::SetExtraShare(double aShare)
{
  const std::scoped_lock lock(m_mutex);
  m_extraShare = aShare;
}

bool
Runner::DrawsExtra()
{
  const std::scoped_lock lock(m_mutex);
  std::uniform_real_distribution<double> share(0, 1);
  return share(m_random) < m_extraShare;
}

std::string
Runner::Answer(const Message& aRequest)
{
  const std::string id = aRequest.Header("Rattanweir-Request-Id");
  const Headers echo = { { "Rattanweir-Request-Id", id } };
  if (aRequest.Header("Rattanweir-Expect-Instance") != m_id) {
    return FormatResponse(421, { { "Rattanweir-Instance-Id", m_id } }, "");
  }
  {
    std::unique_lock lock(m_mutex);
    if (m_running == m_options.m_slots && m_waiting == m_options.m_queue) {
      return FormatResponse(
        503, { echo.front(), { "Rattanweir-Not-Run", "1" } }, "");
    }
    ++m_waiting;
    m_changed.wait(lock, [this] { return m_running < m_options.m_slots; });
    --m_waiting;
    ++m_running;
  }
  ++m_runs;
  m_latestRun = m_record.Now();
  m_record.Write("runner " + m_id + " of " + m_options.m_service + " runs " +
                 id);
  std::this_thread::sleep_for(m_options.m_work);
  {
    const std::scoped_lock lock(m_mutex);
    --m_running;
  }
  m_changed.notify_one();
  return FormatResponse(
    200,
    { echo.front(), { "Rattanweir-Response-Seal", "seal-" + id } },
    std::string(800, 'b'));
}

Gateway::Gateway(const GatewayOptions& aOptions, Record& aRecord)
  : m_options(aOptions)
  , m_record(aRecord)
{
}

Gateway::~Gateway()
{
  Kill();
}

void
Gateway::SetSeeds(const std::vector<std::uint16_t>& aSeeds)
{
  m_seeds = aSeeds;
}

// The expansion of platform/settings.yaml.in with the fields of the pages.
std::string
Gateway::Settings() const
{
  std::string seeds;
  for (const std::uint16_t seed : m_seeds) {
    seeds += (seeds.empty() ? "\"" : ",\"") + Address(seed) + "\"";
  }
  return "instance: \"" + m_options.m_name + "\"\nregion: \"" +
         m_options.m_region + "\"\navailability_zone: \"" + m_options.m_zone +
         "\"\naddresses:\n  caller: \"" + Address(m_front) + "\"\n  peer: \"" +
         Address(m_control) + "\"\n  admin: \"" + Address(m_admin) +
         "\"\nfleet:\n  store: \"" + Address(m_options.m_store) +
         "\"\n  directory_address: \"" + Address(m_directory) +
         "\"\n  readiness_address: \"" + Address(m_ready) + "\"\n  seeds: [" +
         seeds +
         "]\n  availability_zones:\n"
         "    - id: \"ostland-a\"\n      region: \"ostland\"\n"
         "    - id: \"vestland-a\"\n      region: \"vestland\"\n"
         "    - id: \"nordland-a\"\n      region: \"nordland\"\n"
         "  capacity: 0.25\n  retry_ratio: 0.2\n  retry_extra: 56\n"
         "  retry_window_seconds: 10\n  rate_tolerance_tokens: 190000\n"
         "  change_deadline_milliseconds: 3000\n"
         "shutdown_timeout_seconds: 8\n"
         "log:\n  level: info\n  format: key_value\n";
}

void
Gateway::Start()
{
  const std::string path = m_options.m_folder + "/" + m_options.m_name;
  std::ofstream(path + ".yaml") << Settings();
  const std::string settings = path + ".yaml";
  const std::string log = path + ".log";
  std::string program = kProgram;
  std::string flag = "--settings";
  std::string argument = settings;
  std::array<char*, 4> arguments = {
    program.data(), flag.data(), argument.data(), nullptr
  };
  const pid_t child = ::fork();
  if (child == 0) {
    // The process ends with the case, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output =
      ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execv(program.c_str(), arguments.data());
    ::_exit(127);
  }
  m_process = child;
  m_record.Write(m_options.m_name + " is started");
}

void
Gateway::Kill()
{
  const pid_t process = m_process.exchange(0);
  if (process > 0) {
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
    m_record.Write(m_options.m_name + " is killed");
  }
}

bool
Gateway::IsRunning()
{
  const pid_t process = m_process;
  return process > 0 && ::waitpid(process, nullptr, WNOHANG) == 0;
}

bool
Gateway::IsReady() const
{
  constexpr Milliseconds kTimeout{ 1'000 };
  auto connection = Connection::Open(m_ready);
  if (!connection || !connection->Send(FormatRequest(
                       { .m_method = "GET",
                         .m_target = "/api/readiness",
                         .m_headers = { { "Host", Address(m_ready) } } }))) {
    return false;
  }
  const auto answer = connection->Read(kTimeout);
  return answer && answer->Status() == 200;
}

std::uint64_t
Gateway::ResidentBytes() const
{
  std::ifstream file("/proc/" + std::to_string(m_process) + "/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

std::string
FormatConfig(unsigned aVersion,
             const std::vector<RouteOptions>& aRoutes,
             const std::vector<std::string>& aServices)
{
  std::string routes;
  for (const RouteOptions& route : aRoutes) {
    const std::string name =
      route.m_prefix.substr(1, route.m_prefix.size() - 2);
    routes += std::string(routes.empty() ? "" : ",") + R"({"name":"r-)" + name +
              R"(","host":")" + kHost + R"(","prefix":")" + route.m_prefix +
              R"(","kind":")" + route.m_kind + R"(","timeoutMs":)" +
              std::to_string(route.m_timeoutMs) +
              R"(,"targetLatencyMs":500,"priority":2,"service":")" +
              route.m_service +
              R"(","attempts":2,"public":true,"resumable":false,)" +
              R"("homeRegions":[]})";
  }
  std::string services;
  for (const std::string& service : aServices) {
    services += std::string(services.empty() ? "" : ",") + R"({"name":")" +
                service + R"(","healthPath":"/health","maxConnections":110,)" +
                R"("coldStartS":0,"coldPerS":0})";
  }
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" +
         routes + R"(],"services":[)" + services +
         R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)" +
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

std::string
NewRequestId()
{
  static std::atomic<unsigned> number = 0;
  static const auto kSeed = static_cast<unsigned>(UnixTime().count());
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%08x%08x", kSeed, ++number);
  return text.data();
}

bool
WaitUntil(Milliseconds aTimeout, const std::function<bool()>& aCondition)
{
  constexpr Milliseconds kInterval{ 20 };
  const auto end = steady_clock::now() + aTimeout;
  while (!aCondition()) {
    if (steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kInterval);
  }
  return true;
}

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace review
