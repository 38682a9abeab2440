#include "review/support/runner.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHeartbeat{ 1'200 };
constexpr milliseconds kStep{ 5 };
constexpr std::chrono::minutes kIdleTime{ 5 };
constexpr std::size_t kAnswerBytes = 800;

std::int64_t
UnixMilliseconds()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

// The first event that a stream lacks.
unsigned
FirstEvent(const Request& aRequest)
{
  const std::string* last = FindHeader(aRequest.m_headers, "Last-Event-Id");
  return last == nullptr
           ? 1
           : static_cast<unsigned>(std::strtoul(last->c_str(), nullptr, 10)) +
               1;
}

} // namespace

Runner::Runner(const RunnerOptions& aOptions)
  : m_options(aOptions)
  , m_listener(Address{})
{
  std::thread([this] { Accept(); }).detach();
}

void
Runner::Register()
{
  std::thread([this] { Beat(); }).detach();
}

std::vector<Run>
Runner::Runs()
{
  const std::lock_guard lock(m_mutex);
  return m_runs;
}

void
Runner::Accept()
{
  for (;;) {
    std::thread([this](Socket aSocket) { Serve(std::move(aSocket)); },
                m_listener.Accept())
      .detach();
  }
}

void
Runner::Beat()
{
  const std::int64_t born = UnixMilliseconds();
  for (std::uint64_t sequence = 1;; ++sequence) {
    m_options.m_store.Put(
      "servers/" + m_options.m_id,
      R"({"service":")" + m_options.m_service + R"(","address":")" +
        LocalAddress().ToString() + R"(","zone":")" + m_options.m_zone +
        R"(","version":")" + m_options.m_version + R"(","slots":)" +
        std::to_string(m_options.m_slots) +
        R"(,"state":"ready","coldRemainingMs":0,"born":)" +
        std::to_string(born) + R"(,"sequence":)" + std::to_string(sequence) +
        "}");
    std::this_thread::sleep_for(kHeartbeat);
  }
}

void
Runner::Serve(Socket aSocket)
{
  Connection connection(std::move(aSocket));
  for (;;) {
    const auto request = connection.ReadRequest(SteadyClock::now() + kIdleTime);
    if (!request || !Handle(*request, connection)) {
      return;
    }
  }
}

bool
Runner::Handle(const Request& aRequest, Connection& aConnection)
{
  if (aRequest.m_target == "/health") {
    return aConnection.Write("HTTP/1.1 200 OK\r\nRattanweir-Instance-Id: " +
                             m_options.m_id + "\r\nContent-Length: 0\r\n\r\n");
  }
  const std::string* expected =
    FindHeader(aRequest.m_headers, "Rattanweir-Expect-Instance");
  if (expected != nullptr && *expected != m_options.m_id) {
    return aConnection.Write(
      "HTTP/1.1 421 Misdirected Request\r\nRattanweir-Instance-Id: " +
      m_options.m_id + "\r\nContent-Length: 0\r\n\r\n");
  }
  return RunRequest(aRequest, aConnection);
}

bool
Runner::RunRequest(const Request& aRequest, Connection& aConnection)
{
  const std::string* id =
    FindHeader(aRequest.m_headers, "Rattanweir-Request-Id");
  const std::string request = id == nullptr ? "" : *id;
  std::size_t index = 0;
  {
    const std::lock_guard lock(m_mutex);
    index = m_runs.size();
    m_runs.push_back({ .m_request = request,
                       .m_bodyBytes = aRequest.m_body.size(),
                       .m_startedAt = SteadyClock::now() });
  }
  const std::string from =
    FindHeader(aRequest.m_headers, "Last-Event-Id") == nullptr
      ? ""
      : " from event " + std::to_string(FirstEvent(aRequest));
  m_options.m_record.Write(m_options.m_id + " runs " + request + from);
  const Work work = m_options.m_workOf(aRequest);
  const std::string head =
    "HTTP/1.1 " + work.m_status + "\r\nRattanweir-Request-Id: " + request +
    "\r\nRattanweir-Response-Seal: " + m_options.m_id + "." + request + "\r\n";
  const bool isComplete =
    work.m_brokenOffText ? WriteBrokenOff(head, work, aConnection)
    : work.m_events > 0
      ? WriteStream(head, work, FirstEvent(aRequest), aConnection)
      : WriteAnswer(head, work, aConnection);
  {
    const std::lock_guard lock(m_mutex);
    m_runs[index].m_endedAt = SteadyClock::now();
    m_runs[index].m_isComplete = isComplete;
  }
  m_options.m_record.Write(
    m_options.m_id + " ends " + request +
    (isComplete ? ": whole answer written" : ": broken off"));
  return isComplete;
}

bool
Runner::WorkFor(milliseconds aTime, const Connection& aConnection)
{
  const SteadyTime end = SteadyClock::now() + aTime;
  while (SteadyClock::now() < end) {
    if (aConnection.IsClosedByPeer()) {
      return false;
    }
    std::this_thread::sleep_for(kStep);
  }
  return true;
}

bool
Runner::WriteAnswer(const std::string& aHead,
                    const Work& aWork,
                    Connection& aConnection)
{
  const std::string body(kAnswerBytes, 'a');
  return WorkFor(aWork.m_untilFirst, aConnection) &&
         aConnection.Write(aHead + "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool
Runner::WriteBrokenOff(const std::string& aHead,
                       const Work& aWork,
                       Connection& aConnection)
{
  if (WorkFor(aWork.m_untilFirst, aConnection) &&
      aConnection.Write(aHead +
                        "Content-Type: application/json\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n" +
                        ChunkOf(*aWork.m_brokenOffText)) &&
      WorkFor(aWork.m_interval, aConnection)) {
    aConnection.Reset();
  }
  return false;
}

bool
Runner::WriteStream(const std::string& aHead,
                    const Work& aWork,
                    unsigned aFirstEvent,
                    Connection& aConnection) const
{
  if (!WorkFor(aWork.m_untilFirst, aConnection) ||
      !aConnection.Write(aHead + "Content-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  for (unsigned event = aFirstEvent; event <= aWork.m_events; ++event) {
    const std::string number = std::to_string(event);
    std::string text = "id: ";
    text.append(number).append("\ndata: piece ").append(number);
    text.append(" of version ").append(m_options.m_version).append("\n\n");
    const bool isFirst = event == aFirstEvent;
    if ((!isFirst && !WorkFor(aWork.m_interval, aConnection)) ||
        !aConnection.Write(ChunkOf(text))) {
      return false;
    }
  }
  return aConnection.Write("0\r\n\r\n");
}

} // namespace review
