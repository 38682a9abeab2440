// Stand-in for a runner of one service. Registers itself in the store, writes
// its heartbeat, and runs one request at a time on each connection. A run ends
// early if its connection closes. Thread-safe.
//
//   Runner runner({ .m_id = "i-1", .m_service = "planner", ... });
//   ...
//   for (const Run& run : runner.Runs()) ...

#pragma once

#include "review/support/platform_store.h"
#include "review/support/record.h"
#include "review/support/socket.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review {

// What the runner does for each request.
struct Work
{
  // Time until the answer, or until the first event of a stream.
  std::chrono::milliseconds m_untilFirst{ 0 };
  // Number of events of a stream; 0 for a plain answer.
  unsigned m_events = 0;
  std::chrono::milliseconds m_interval{ 0 };
  // A plain answer with this text in place of the usual one, sent in chunks,
  // whose connection is reset before its end.
  std::optional<std::string> m_brokenOffText;
  // Status line of the answer, from the number on.
  std::string m_status = "200 OK";
};

struct Run
{
  std::string m_request;
  std::size_t m_bodyBytes = 0;
  SteadyTime m_startedAt;
  // Unset while the runner is at work.
  std::optional<SteadyTime> m_endedAt;
  // The whole answer was written.
  bool m_isComplete = false;
};

struct RunnerOptions
{
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  // Version of the runner's software, which its events name.
  std::string m_version = "v1";
  unsigned m_slots = 64;
  // What each request takes.
  std::function<Work(const Request&)> m_workOf;
  PlatformStore& m_store;
  Record& m_record;
};

class Runner
{
public:
  explicit Runner(const RunnerOptions& aOptions);

  Address LocalAddress() const { return m_listener.LocalAddress(); }
  const std::string& Id() const { return m_options.m_id; }
  std::vector<Run> Runs();
  // Starts to register and to write heartbeats.
  void Register();

private:
  [[noreturn]] void Accept();
  [[noreturn]] void Beat();
  void Serve(Socket aSocket);
  // Returns false if the connection is to be closed.
  bool Handle(const Request& aRequest, Connection& aConnection);
  bool RunRequest(const Request& aRequest, Connection& aConnection);
  // Returns false if the connection closes meanwhile.
  static bool WorkFor(std::chrono::milliseconds aTime,
                      const Connection& aConnection);
  static bool WriteAnswer(const std::string& aHead,
                          const Work& aWork,
                          Connection& aConnection);
  static bool WriteBrokenOff(const std::string& aHead,
                             const Work& aWork,
                             Connection& aConnection);
  bool WriteStream(const std::string& aHead,
                   const Work& aWork,
                   unsigned aFirstEvent,
                   Connection& aConnection) const;
  RunnerOptions m_options;
  Listener m_listener;
  std::mutex m_mutex;
  std::vector<Run> m_runs;
};

} // namespace review
