// An instance of the users' platform that is told to stop. It runs as a process
// of its own, alone or beside a peer, before a backend server and a store in
// the test's process.
//
//   StoppedInstance instance({ .m_shutdownSeconds = 4 });
//   std::vector<Answer> answers;
//   instance.Run([&]() -> Task<void> {
//     instance.Stop();
//     instance.Start(1s, { .m_target = "/once/short" }, answers);
//     co_await instance.WaitForExit();
//   });
//
// RATTANWEIR_DAEMON_UNDER_TEST names another program to run than the one that
// was built. Not thread-safe.

#pragma once

#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/http_client/http_client.h"
#include "rattanweir/connection/http_server/http_server.h"
#include "testing/harness/process.h"
#include "testing/stand_in_store/stand_in_store.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanweir::testing {

inline constexpr std::chrono::milliseconds kRouteTimeout{ 6'000 };
// Longer than what is left of an instance 3 s after its stop signal, and
// shorter than its routes' timeout.
inline constexpr std::chrono::milliseconds kLongRun{ 4'700 };
inline constexpr int kShutdownSeconds = 8;

// One route of each kind.
inline constexpr const char* kRoutes[] = { "/once/",
                                           "/read/",
                                           "/stream/",
                                           "/resume/" };

// Runs a request for a time that the end of its target names: `short`, `long`
// or `hang`. A response outside the streams' routes has a declared length
// unless its target contains `chunked`.
class TimedServer final : public RequestHandler
{
public:
  explicit TimedServer(asio::io_context& aContext);

  Endpoint Address() const { return m_server.LocalEndpoint(); }

  // Sends nothing for this time, as if the whole process stood still.
  void FallSilent(std::chrono::milliseconds aDuration);

  Task<void> Handle(InboundRequest aRequest,
                    ResponseSink& aSink,
                    CancelSource& aCancel) override;

  // The ids of the requests that began to run.
  std::set<std::string> m_runs;
  // When the responses of these were completely written.
  std::map<std::string, SteadyTime> m_finished;

private:
  // Waits until the time, and until the server is no longer silent.
  Task<void> WaitUntil(SteadyTime aTime, CancelSource& aCancel);

  asio::io_context& m_context;
  SteadyTime m_silentUntil;
  HttpServer m_server;
};

struct Call
{
  std::string m_target;
  std::size_t m_bodyBytes = 0;
  // The body arrives in two halves with this time in between, on a connection
  // of its own.
  std::chrono::milliseconds m_pauseInBody{};
};

struct Answer
{
  std::string m_id;
  std::string m_target;
  // 0 if the connection ended without a complete response.
  unsigned m_status = 0;
  // The status of a response that may be incomplete.
  unsigned m_headStatus = 0;
  // False if no byte of the request was sent.
  bool m_isSent = true;
  SteadyTime m_sentAt;
  SteadyTime m_endedAt;
};

struct StoppedInstanceOptions
{
  int m_shutdownSeconds = kShutdownSeconds;
  // The availability zone of a second instance, `north-a` or `south-a`. Without
  // it the instance has no peer.
  std::string m_peerZone;
  // The server's availability zone. The instance is in `north-a`.
  std::string m_serverZone = "north-a";
};

class StoppedInstance
{
public:
  explicit StoppedInstance(const StoppedInstanceOptions& aOptions = {});
  ~StoppedInstance();
  StoppedInstance(const StoppedInstance&) = delete;
  StoppedInstance& operator=(const StoppedInstance&) = delete;

  // Runs the test's task until it completes.
  void Run(const std::function<Task<void>()>& aTask);

  Task<void> Sleep(std::chrono::milliseconds aDuration);

  // Sends SIGTERM to the instance.
  void Stop();

  // Sends a request to the instance, or to the given one.
  Task<Answer> Ask(Call aCall);
  Task<Answer> Ask(Call aCall, Endpoint aInstance);

  // Sends the request after a delay; the answer is added when it is complete.
  void Start(std::chrono::milliseconds aDelay,
             const Call& aCall,
             std::vector<Answer>& aAnswers);

  Task<void> WaitForExit();

  // Lets the instance, or the given one, see how long requests usually take.
  Task<void> ServeShortRequests(int aCount);
  Task<void> ServeShortRequests(int aCount, Endpoint aInstance);

  bool HasRun(const Answer& aAnswer) const
  {
    return m_server.m_runs.contains(aAnswer.m_id);
  }

  // Returns whether the server wrote the complete response.
  bool HasFinished(const Answer& aAnswer) const
  {
    return m_server.m_finished.contains(aAnswer.m_id);
  }

  // Returns whether it did so with this time left until the request's deadline,
  // and before the time after the stop signal.
  bool HasFinishedInTime(const Answer& aAnswer,
                         std::chrono::milliseconds aTimeLeft,
                         std::chrono::milliseconds aAfterSignal) const;

  // Returns when a request was sent, in relation to the stop signal.
  std::chrono::milliseconds SentAfterSignal(const Answer& aAnswer) const;

  // Returns a line on the request: target, times after the signal, status.
  std::string Describe(const Answer& aAnswer) const;

  // Publishes the next version of the configuration.
  void PublishConfiguration();

  asio::io_context m_context;
  StandInStore m_store;
  TimedServer m_server;
  HttpUpstream m_callers;
  std::unique_ptr<Process> m_process;
  Endpoint m_address;
  // The second instance, if there is one.
  std::unique_ptr<Process> m_peer;
  Endpoint m_peerAddress;
  // For the next version of the configuration.
  std::chrono::milliseconds m_routeTimeout = kRouteTimeout;
  std::optional<std::chrono::milliseconds> m_idleTimeout;

private:
  std::unique_ptr<Process> StartProcess(const std::string& aInstance,
                                        const std::string& aZone,
                                        const std::string& aPeerAddress,
                                        const std::string& aSeed);
  std::string RouteText(const std::string& aPrefix,
                        const std::string& aKind) const;
  // Sends the two halves of the request; updates the answer.
  Task<void> SendInHalves(Call aCall, Endpoint aInstance, Answer& aAnswer);

  StoppedInstanceOptions m_options;
  std::vector<std::string> m_settingsPaths;
  SteadyTime m_signalledAt;
  int m_lastId = 0;
  int m_version = 0;
};

} // namespace rattanweir::testing
