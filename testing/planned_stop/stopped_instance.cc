#include "rattanweir/base/asio/asio.h"

#include "testing/planned_stop/stopped_instance.h"

#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/wait/wait.h"
#include "testing/raw_peer/raw_peer.h"

#include <catch2/catch.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

namespace rattanweir::testing {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kShortRun{ 10 };
constexpr milliseconds kEventInterval{ 300 };
constexpr int kShortEvents = 2;

std::string
DaemonPath()
{
  const char* other = std::getenv("RATTANWEIR_DAEMON_UNDER_TEST");
  return other == nullptr ? RATTANWEIR_DAEMON : other;
}

// Returns an address with a free port. The range lies below the system's
// ephemeral ports: an outgoing connection could otherwise take the port.
std::string
FreeAddress()
{
  constexpr int kFirstPort = 24'000;
  constexpr int kPorts = 8'000;
  static int next = static_cast<int>(::getpid()) * 8;
  asio::io_context context;
  for (;;) {
    const int port = kFirstPort + next++ % kPorts;
    asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::v4());
    boost::system::error_code error;
    acceptor.bind(
      { asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port) },
      error);
    if (!error) {
      return "127.0.0.1:" + std::to_string(port);
    }
  }
}

// Returns the status of a response that was read to the end of its connection.
unsigned
StatusOf(const std::string& aResponse)
{
  constexpr std::size_t kStatusAt = 9;
  return aResponse.size() < kStatusAt + 3
           ? 0
           : static_cast<unsigned>(std::stoul(aResponse.substr(kStatusAt, 3)));
}

bool
IsComplete(const std::string& aResponse)
{
  const std::size_t headEnd = aResponse.find("\r\n\r\n");
  if (headEnd == std::string::npos) {
    return false;
  }
  constexpr char kLengthField[] = "Content-Length: ";
  const std::size_t length = aResponse.find(kLengthField);
  if (length < headEnd) {
    return aResponse.size() - headEnd - 4 ==
           std::stoul(aResponse.substr(length + sizeof(kLengthField) - 1));
  }
  return aResponse.ends_with("0\r\n\r\n");
}

} // namespace

TimedServer::TimedServer(asio::io_context& aContext)
  : m_context(aContext)
  , m_server({ .m_executor = aContext.get_executor(),
               .m_address = ParseEndpoint("127.0.0.1:0"),
               .m_handler = *this })
{
  m_server.Start();
}

void
TimedServer::FallSilent(milliseconds aDuration)
{
  m_silentUntil =
    std::max(m_silentUntil, SystemClock().SteadyNow() + aDuration);
}

Task<void>
TimedServer::WaitUntil(SteadyTime aTime, CancelSource& aCancel)
{
  for (;;) {
    const SteadyTime until = std::max(aTime, m_silentUntil);
    const SteadyTime now = SystemClock().SteadyNow();
    if (now >= until) {
      co_return;
    }
    co_await WaitFor(m_context.get_executor(), until - now, aCancel);
    if (const auto reason = aCancel.Reason()) {
      throw RequestError(*reason, "the caller left");
    }
  }
}

Task<void>
TimedServer::Handle(InboundRequest aRequest,
                    ResponseSink& aSink,
                    CancelSource& aCancel)
{
  const SteadyTime begunAt = SystemClock().SteadyNow();
  const std::string id =
    *FindHeader(aRequest.m_headers, "Rattanweir-Request-Id");
  m_runs.insert(id);
  const bool isLong = aRequest.m_target.ends_with("long");
  const bool isChunked = aRequest.m_target.find("chunked") != std::string::npos;
  if (aRequest.m_target.ends_with("hang")) {
    co_await WaitUntil(begunAt + seconds(60), aCancel);
  }
  ResponseHead head{ .m_status = 200,
                     .m_headers = { { "Rattanweir-Request-Id", id },
                                    { "Rattanweir-Response-Seal", "s" } } };
  if (aRequest.m_target.starts_with("/once") ||
      aRequest.m_target.starts_with("/read")) {
    const SteadyTime end = begunAt + (isLong ? kLongRun : kShortRun);
    if (isChunked) {
      co_await WaitUntil(begunAt, aCancel);
      co_await aSink.WriteHead(std::move(head));
      co_await aSink.WriteChunk("begun ");
      co_await WaitUntil(end, aCancel);
    } else {
      co_await WaitUntil(end, aCancel);
      head.m_contentLength = id.size();
      co_await aSink.WriteHead(std::move(head));
    }
    co_await aSink.WriteChunk(id);
    co_await aSink.Finish();
    m_finished.emplace(id, SystemClock().SteadyNow());
    co_return;
  }
  head.m_headers.push_back({ "Content-Type", "text/event-stream" });
  co_await WaitUntil(begunAt, aCancel);
  co_await aSink.WriteHead(std::move(head));
  const milliseconds interval = isLong ? kEventInterval : kShortRun;
  const int events =
    isLong ? static_cast<int>(kLongRun / kEventInterval) : kShortEvents;
  for (int event = 1; event <= events; ++event) {
    co_await WaitUntil(begunAt + event * interval, aCancel);
    co_await aSink.WriteChunk("id: " + std::to_string(event) + "\ndata: x\n\n");
  }
  co_await aSink.Finish();
  m_finished.emplace(id, SystemClock().SteadyNow());
}

StoppedInstance::StoppedInstance(const StoppedInstanceOptions& aOptions)
  : m_store(m_context)
  , m_server(m_context)
  , m_callers(
      { .m_executor = m_context.get_executor(), .m_maxIdlePerEndpoint = 300 })
  , m_options(aOptions)
{
  PublishConfiguration();
  std::string address = "127.0.0.1:0";
  std::string seed = "127.0.0.1:1";
  if (!m_options.m_peerZone.empty()) {
    address = FreeAddress();
    const std::string peerAddress = FreeAddress();
    m_peer = StartProcess("i2", m_options.m_peerZone, peerAddress, address);
    m_peerAddress =
      ParseEndpoint(m_peer->WaitForRecord("started")["caller"].asString());
    seed = peerAddress;
  }
  m_process = StartProcess("i1", "north-a", address, seed);
  m_address =
    ParseEndpoint(m_process->WaitForRecord("started")["caller"].asString());
}

StoppedInstance::~StoppedInstance()
{
  for (const std::string& path : m_settingsPaths) {
    std::filesystem::remove(path);
  }
}

std::unique_ptr<Process>
StoppedInstance::StartProcess(const std::string& aInstance,
                              const std::string& aZone,
                              const std::string& aPeerAddress,
                              const std::string& aSeed)
{
  const std::string path =
    std::filesystem::temp_directory_path() /
    ("planned_stop_" + std::to_string(::getpid()) + aInstance + ".yaml");
  m_settingsPaths.push_back(path);
  const std::string region = aZone.substr(0, aZone.find('-'));
  std::ofstream(path)
    << "instance: " << aInstance << "\nregion: " << region
    << "\navailability_zone: " << aZone
    << "\naddresses: { caller: \"127.0.0.1:0\", peer: \"" << aPeerAddress
    << "\", admin: \"127.0.0.1:0\" }\nshutdown_timeout_seconds: "
    << m_options.m_shutdownSeconds << "\nfleet:\n  store: \""
    << m_store.Address().ToString()
    << "\"\n  directory_address: \"127.0.0.1:0\"\n"
       "  readiness_address: \"127.0.0.1:0\"\n  seeds: [\""
    << aSeed
    << "\"]\n  availability_zones:\n"
       "    - { id: north-a, region: north }\n"
       "    - { id: south-a, region: south }\nlog: { format: json }\n";
  return std::make_unique<Process>(ProcessOptions{
    .m_path = DaemonPath(), .m_arguments = { "--settings", path } });
}

void
StoppedInstance::Run(const std::function<Task<void>()>& aTask)
{
  bool isDone = false;
  asio::co_spawn(
    m_context,
    [&]() -> Task<void> {
      co_await Sleep(seconds(2));
      co_await aTask();
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
}

Task<void>
StoppedInstance::Sleep(milliseconds aDuration)
{
  CancelSource never;
  co_await WaitFor(m_context.get_executor(), aDuration, never);
}

void
StoppedInstance::Stop()
{
  m_signalledAt = SystemClock().SteadyNow();
  m_process->Signal(SIGTERM);
}

Task<Answer>
StoppedInstance::Ask(Call aCall)
{
  return Ask(std::move(aCall), m_address);
}

Task<Answer>
StoppedInstance::Ask(Call aCall, Endpoint aInstance)
{
  const SteadyTime now = SystemClock().SteadyNow();
  Answer answer{ .m_id = "r" + std::to_string(++m_lastId),
                 .m_target = aCall.m_target,
                 .m_sentAt = now };
  if (aCall.m_pauseInBody > milliseconds::zero()) {
    co_await SendInHalves(std::move(aCall), std::move(aInstance), answer);
    answer.m_endedAt = SystemClock().SteadyNow();
    co_return answer;
  }
  OutboundRequest request{
    .m_method = aCall.m_bodyBytes > 0 ? "POST" : "GET",
    .m_target = aCall.m_target,
    .m_headers = { { "Host", "h" },
                   { "Rattanweir-Request-Id", answer.m_id },
                   { "Rattanweir-Deadline-Ms",
                     std::to_string(kRouteTimeout.count()) } },
    .m_deadline = now + seconds(20),
  };
  if (aCall.m_bodyBytes > 0) {
    request.m_body =
      std::make_shared<const std::string>(aCall.m_bodyBytes, 'b');
  }
  CancelSource cancel;
  try {
    const auto exchange =
      co_await m_callers.Send(aInstance, std::move(request), cancel);
    const ResponseHead head = co_await exchange->ReadHead();
    answer.m_headStatus = head.m_status;
    while (co_await exchange->ReadChunk()) {
    }
    answer.m_status = head.m_status;
  } catch (const RequestError& error) {
    // The status stays 0.
    answer.m_isSent = error.HasRun() != Ran::No;
  }
  answer.m_endedAt = SystemClock().SteadyNow();
  co_return answer;
}

Task<void>
StoppedInstance::SendInHalves(Call aCall, Endpoint aInstance, Answer& aAnswer)
{
  const std::string half(aCall.m_bodyBytes / 2, 'b');
  try {
    RawPeer caller = co_await RawPeer::Connect(m_context, std::move(aInstance));
    std::string begin =
      "POST " + aCall.m_target +
      " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nRattanweir-Request-Id: " +
      aAnswer.m_id +
      "\r\nRattanweir-Deadline-Ms: " + std::to_string(kRouteTimeout.count()) +
      "\r\nContent-Length: " + std::to_string(2 * half.size()) + "\r\n\r\n" +
      half;
    co_await caller.Write(std::move(begin));
    co_await Sleep(aCall.m_pauseInBody);
    co_await caller.Write(half);
    const std::string response = co_await caller.ReadToEnd();
    aAnswer.m_headStatus = StatusOf(response);
    if (IsComplete(response)) {
      aAnswer.m_status = aAnswer.m_headStatus;
    }
  } catch (const boost::system::system_error&) {
    // The status stays 0.
  }
}

void
StoppedInstance::Start(milliseconds aDelay,
                       const Call& aCall,
                       std::vector<Answer>& aAnswers)
{
  asio::co_spawn(
    m_context,
    [this, aDelay, aCall, &aAnswers]() -> Task<void> {
      co_await Sleep(aDelay);
      Answer answer = co_await Ask(aCall);
      aAnswers.push_back(std::move(answer));
    },
    asio::detached);
}

Task<void>
StoppedInstance::WaitForExit()
{
  while (!m_process->HasEnded()) {
    co_await Sleep(milliseconds(20));
  }
}

Task<void>
StoppedInstance::ServeShortRequests(int aCount)
{
  return ServeShortRequests(aCount, m_address);
}

Task<void>
StoppedInstance::ServeShortRequests(int aCount, Endpoint aInstance)
{
  for (int count = 0; count < aCount; ++count) {
    for (const char* route : kRoutes) {
      Call call{ .m_target = std::string(route) + "short" };
      const Answer answer = co_await Ask(std::move(call), aInstance);
      CHECK(answer.m_status == 200);
    }
  }
}

milliseconds
StoppedInstance::SentAfterSignal(const Answer& aAnswer) const
{
  return duration_cast<milliseconds>(aAnswer.m_sentAt - m_signalledAt);
}

bool
StoppedInstance::HasFinishedInTime(const Answer& aAnswer,
                                   milliseconds aTimeLeft,
                                   milliseconds aAfterSignal) const
{
  const auto finished = m_server.m_finished.find(aAnswer.m_id);
  return finished != m_server.m_finished.end() &&
         finished->second <= aAnswer.m_sentAt + kRouteTimeout - aTimeLeft &&
         finished->second <= m_signalledAt + aAfterSignal;
}

std::string
StoppedInstance::Describe(const Answer& aAnswer) const
{
  std::ostringstream text;
  text << aAnswer.m_id << " " << aAnswer.m_target << " sent "
       << SentAfterSignal(aAnswer).count() << " ms after the signal, status "
       << aAnswer.m_headStatus
       << (aAnswer.m_status == 0 ? " incomplete" : " complete") << ", "
       << (HasFinished(aAnswer) ? "finished"
           : HasRun(aAnswer)    ? "run"
                                : "not run")
       << " by the server, ended "
       << duration_cast<milliseconds>(aAnswer.m_endedAt - m_signalledAt).count()
       << " ms after the signal";
  return text.str();
}

void
StoppedInstance::PublishConfiguration()
{
  const std::string limits = m_idleTimeout
                               ? R"(,"limits":{"idleTimeoutMs":)" +
                                   std::to_string(m_idleTimeout->count()) + "}"
                               : "";
  m_store.Put("op/config",
              R"({"version":)" + std::to_string(++m_version) +
                R"(,"routes":[)" + RouteText("/once/", "non_idempotent") + "," +
                RouteText("/read/", "idempotent") + "," +
                RouteText("/stream/", "streaming") + "," +
                RouteText("/resume/", "streaming") +
                R"(],"services":[{"name":"desk","maxConnections":1000}])" +
                limits + "}");
  m_store.Put("servers/s1",
              R"({"service":"desk","address":")" +
                m_server.Address().ToString() + R"(","zone":")" +
                m_options.m_serverZone +
                R"(","slots":300,"state":"ready",)"
                R"("born":1,"sequence":1})");
}

std::string
StoppedInstance::RouteText(const std::string& aPrefix,
                           const std::string& aKind) const
{
  return R"({"name":")" + aPrefix + R"(","host":"h","prefix":")" + aPrefix +
         R"(","kind":")" + aKind + R"(","timeoutMs":)" +
         std::to_string(m_routeTimeout.count()) +
         R"(,"targetLatencyMs":2000,"service":"desk","attempts":2)" +
         (aPrefix == "/resume/" ? R"(,"resumable":true)" : "") + "}";
}

} // namespace rattanweir::testing
