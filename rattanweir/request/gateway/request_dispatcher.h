// Serves one admitted request to completion: chooses a destination, sends the
// request there, and retries where that is permitted. Used on the users'
// platform (settings with `fleet`).
//
//   RequestDispatcher dispatcher({ .m_state = state, .m_request = request,
//                                  .m_sink = sink, .m_cancel = cancel });
//   co_await dispatcher.Run();
//
// A request that may have run is retried only if its route permits that, within
// the route's maximum number of attempts and the retry budget that all
// instances share. A request that a server states not to have run may be sent
// to another server. The error thrown at the end states whether any attempt may
// have run.

#pragma once

#include "rattanweir/request/gateway/admitted_request.h"
#include "rattanweir/request/gateway/build_placement_input.h"
#include "rattanweir/request/gateway/gateway_state.h"
#include "rattanweir/request/gateway/response_forwarder.h"
#include "rattanweir/request/gateway/server_dispatch.h"
#include "rattanweir/request/placement/placement.h"
#include "rattanweir/request/shortage/shortage.h"

#include <set>
#include <string>

namespace rattanweir {

// How often a waiting request checks for a destination even if no change was
// signalled, since load reports age and cold servers warm up.
inline constexpr std::chrono::milliseconds kQueueRecheckInterval{ 20 };

struct RequestDispatcherOptions
{
  GatewayState& m_state;
  const AdmittedRequest& m_request;
  ResponseSink& m_sink;
  CancelSource& m_cancel;
};

// How a request was processed, for its log record.
struct DispatchReport
{
  // The destination of the last dispatch: a server's incarnation or a peer's
  // id.
  std::string m_destination;
  // Number of dispatches, and of those after which the request may have run.
  unsigned m_dispatches = 0;
  unsigned m_possibleRuns = 0;
  Ran m_ran = Ran::No;
  // Time spent in this instance's queue.
  std::chrono::nanoseconds m_queueWait{};
  // The estimated and the measured time from the last dispatch to the first
  // byte of the response.
  std::chrono::nanoseconds m_estimatedStartDelay{};
  std::optional<std::chrono::nanoseconds> m_timeToFirstByte;
  // The age of the load report that the last placement decision used.
  std::optional<std::chrono::nanoseconds> m_loadAge;
  // The time from the moment at which the caller was noticed to have left to
  // the end of the last exchange; nullopt if it stayed.
  std::optional<std::chrono::nanoseconds> m_sinceCallerLeft;
  // The time since the last dispatch, and since the last bytes of its response,
  // when it failed.
  std::chrono::nanoseconds m_running{};
  std::chrono::nanoseconds m_sinceLastBytes{};
  // What was known of similar requests at the last dispatch, if the instance
  // was stopping by then.
  RunSummary m_knownRuns;
  // Number of events of the last dispatch that were forwarded.
  std::size_t m_events = 0;
};

class RequestDispatcher
{
public:
  explicit RequestDispatcher(const RequestDispatcherOptions& aOptions);

  // Completes when the response has been written to the sink. Throws
  // RequestError.
  Task<void> Run();

  const DispatchReport& Report() const { return m_report; }

private:
  using Failure = std::optional<RequestError>;

  void ThrowIfEnded() const;
  void ThrowIfQuarantined() const;
  // Counts a caller's request as demand of this region, and draws whether it is
  // part of the surplus that other regions serve.
  void DrawSpillover();
  Task<void> WaitForDestination();
  // The same for a pool whose servers state their pace (request/shortage).
  Task<void> WaitInShortage();
  ShortageRequest ShortageRequestFor(const PlacementInput& aInput) const;
  // Throws RequestError if the request is not to wait behind this many others.
  void ThrowIfShed(const ShortageRequest& aShortage, std::size_t aAhead);
  // Counts the requests that wait and logs them, at most once a second.
  void LogBacklog(Backlog& aBacklog, const WaitQueue& aQueue) const;
  std::chrono::milliseconds RetryAfterOf(
    std::chrono::nanoseconds aExpected) const;
  Task<Failure> SendTo(const PlacementInput& aInput,
                       const Placement& aPlacement);
  // Records how long the current attempt took at least, if it ended with the
  // deadline or the caller.
  void RecordUnfinishedRun(ResultCode aCode);
  Task<void> SendToServer(ServerCandidate aCandidate,
                          std::optional<StartExpectation> aExpectation);
  // Returns a random one of PeersFor the region. Throws RequestError if there
  // is none.
  FleetMember ChoosePeer(const RegionId& aRegion) const;
  Task<void> SendToRegion(RegionId aRegion,
                          std::optional<StartExpectation> aExpectation);
  // Records what the failure says about the peer.
  void RecordPeerFailure(const FleetMember& aPeer,
                         const RequestError& aError,
                         bool aIsRefusal);
  Task<void> ReadResponse(UpstreamExchange& aExchange,
                          const RegisteredServer& aServer,
                          SteadyTime aSentAt,
                          std::function<void()> aOnFirstByte);
  OutboundRequest MakeServerRequest(const ServerCandidate& aCandidate,
                                    const RegisteredServer& aServer,
                                    const Pool* aPool) const;
  // Returns the header fields between instances for a request to this region.
  HeaderFields HopFields(const RegionId& aRegion) const;
  // Records the draining server that a peer names in its response, and removes
  // the field.
  void TakeDrainingServer(const InstanceId& aPeer, ResponseHead& aHead);
  // Called before the first event of an attempt is forwarded, with the version
  // of the server that wrote it, if known. Binds the stream to that version, or
  // throws RequestError if the stream began at another one.
  void BindToVersion(const std::optional<std::string>& aVersion);
  void RecordOrigin() const;
  // Returns the version that the server of the next attempt must have.
  const std::optional<std::string>& RequiredVersion() const
  {
    return m_version;
  }
  // Returns the version of the process that answers; nullopt if it is not
  // certain.
  std::optional<std::string> VersionOf(const RegisteredServer& aServer) const;
  // Returns the version that a peer names in its response, and removes the
  // field.
  static std::optional<std::string> TakeVersion(ResponseHead& aHead);
  // Records what the failure of an attempt says about the server and the
  // prompt.
  void RecordFailure(const RegisteredServer& aServer,
                     const RequestError& aError);
  bool IsBrokenOff(const RequestError& aError) const;
  // Returns a function that records that the request was answered.
  std::function<void()> AnswerRecorder(SteadyTime aSentAt);
  void CheckRequest(const ResponseInfo& aInfo) const;
  // Only on a new connection every response belongs to this request.
  bool NeedsFreshConnection() const { return !m_request.m_route.IsRetryable(); }
  void CheckResponse(const ResponseHead& aHead,
                     const ResponseInfo& aInfo) const;
  // Counts a request to a server that takes only a limited rate, and logs the
  // first one with the number of instances that share the rate.
  void RecordLimitedRequest(const Pool& aPool, const RegisteredServer& aServer);
  void RecordServerState(const RegisteredServer& aServer,
                         const ResponseInfo& aInfo,
                         SteadyTime aSentAt);
  void RecordPause(const RegisteredServer& aServer,
                   const ResponseInfo& aInfo,
                   SteadyTime aSentAt);
  // Records the load and the pace that the response states.
  void RecordLoad(const RegisteredServer& aServer, const ResponseInfo& aInfo);
  // Records what the response says about the room at the server.
  void RecordRoom(const RegisteredServer& aServer, const ResponseInfo& aInfo);
  // Returns the time until the first server of this region ends its pause, or
  // nullopt if not all of them are paused.
  std::optional<std::chrono::nanoseconds> PauseLeft() const;
  void RecordServerLimit(const RegisteredServer& aServer,
                         const ResponseInfo& aInfo,
                         SteadyTime aSentAt);
  [[noreturn]] void ThrowRefusal(const Refuse& aRefusal) const;
  [[noreturn]] void ThrowWaitedTooLong() const;
  void ThrowUnlessRetried(const RequestError& aFailure);
  // Returns whether the start of a response is held back, because this instance
  // is stopping and may have to cut the request.
  bool HoldsBack() const;
  RequestError WithRan(const RequestError& aError) const;
  PlacementQuery Query() const;
  OutboundRequest MakeOutbound(HeaderFields aAddedFields) const;
  // Returns the ratio of a request's expected time at the server, including the
  // wait behind others, to its slot time.
  double QueueingFactorAt(const ServerCandidate& aCandidate) const;
  std::optional<Endpoint> EndpointOf(
    const std::optional<BackendServerId>& aServer) const;
  std::chrono::nanoseconds TimeLeft() const;
  std::optional<std::string> ResumeAfter() const;

  GatewayState& m_state;
  const AdmittedRequest& m_request;
  ResponseSink& m_sink;
  CancelSource& m_cancel;
  ForwardProgress m_progress;
  DispatchReport m_report;
  Failure m_lastFailure;
  // Number of dispatches for which no connection was made.
  unsigned m_unsentDispatches = 0;
  // Number of attempts that a server broke off before it had begun to answer.
  unsigned m_brokenOff = 0;
  // An event was forwarded, or the request resumes a stream: the stream goes on
  // only at m_version, or not at all if that is not known.
  bool m_isBound = false;
  std::optional<std::string> m_version;
  // The current attempt at its server or region.
  std::optional<ServerSilence::Run> m_run;
  // The server of the current attempt has asked for a pause.
  bool m_wasTurnedAway = false;
  std::set<BackendServerId> m_triedServers;
  std::set<InstanceId> m_triedPeers;
  // The region that serves the request as part of this region's surplus; unset
  // once a peer there has refused it.
  std::optional<RegionId> m_spillover;
};

} // namespace rattanweir
