// Serves one admitted request to its end: finds a place for it, sends it, and
// sends it again where that is permitted.
//
//   RequestRun run({ .m_state = state, .m_request = request, .m_sink = sink,
//                    .m_cancel = cancel });
//   co_await run.Run();
//
// A request that may have run is repeated only if its route permits that, no
// more often than the route says, and within the budget that all instances
// share. What a server states not to have run may go to another one. The error
// thrown in the end says whether any of the attempts may have run.

#pragma once

#include "rattanweir/request/gateway/admitted_request.h"
#include "rattanweir/request/gateway/build_placement_input.h"
#include "rattanweir/request/gateway/gateway_state.h"
#include "rattanweir/request/gateway/response_pass.h"
#include "rattanweir/request/placement/placement.h"

#include <set>
#include <string>

namespace rattanweir {

struct RequestRunOptions
{
  GatewayState& m_state;
  const AdmittedRequest& m_request;
  ResponseSink& m_sink;
  CancelSource& m_cancel;
};

// What became of a request, for its log record.
struct RunReport
{
  // Where it was sent last: a server's incarnation, or a peer.
  std::string m_place;
  // Times that it was sent, and that it may have run.
  unsigned m_sent = 0;
  unsigned m_runs = 0;
  Ran m_ran = Ran::No;
  // Waited here for a server.
  std::chrono::nanoseconds m_waited{};
  // When its answer was expected to begin at the last place, and when it did,
  // from the dispatch on.
  std::chrono::nanoseconds m_estimate{};
  std::optional<std::chrono::nanoseconds> m_began;
  // The age of the load report that the last decision used.
  std::optional<std::chrono::nanoseconds> m_loadAge;
};

class RequestRun
{
public:
  explicit RequestRun(const RequestRunOptions& aOptions);

  // Throws RequestError.
  Task<void> Run();

  const RunReport& Report() const { return m_report; }

private:
  using Failure = std::optional<RequestError>;

  void CheckNotEnded() const;
  Task<void> WaitForPlace();
  Task<Failure> SendTo(const PlacementInput& aQuery,
                       const Placement& aPlacement);
  Task<void> SendToServer(ServerCandidate aChoice);
  Task<void> SendToRegion(RegionId aRegion);
  Task<void> ReadResponse(UpstreamExchange& aExchange,
                          const RegisteredServer& aServer,
                          std::function<void()> aOnBegin);
  void CheckResponse(const ResponseHead& aHead,
                     const ResponseInfo& aInfo) const;
  void NoteServerWords(const RegisteredServer& aServer,
                       const ResponseInfo& aInfo);
  [[noreturn]] void ThrowRefusal(const Refuse& aRefusal) const;
  [[noreturn]] void ThrowWaitedTooLong() const;
  void ThrowUnlessRepeated(const RequestError& aFailure);
  RequestError WithRan(const RequestError& aError) const;
  PlaceQuery Query() const;
  OutboundRequest MakeOutbound(HeaderFields aAddedFields) const;
  // How many times longer than its slot time a request takes at the server.
  double StretchAt(const ServerCandidate& aChoice) const;
  std::optional<Endpoint> EndpointOf(
    const std::optional<BackendServerId>& aServer) const;
  std::chrono::nanoseconds TimeLeft() const;
  std::optional<std::string> ResumeAfter() const;

  GatewayState& m_state;
  const AdmittedRequest& m_request;
  ResponseSink& m_sink;
  CancelSource& m_cancel;
  PassProgress m_progress;
  RunReport m_report;
  Failure m_lastFailure;
  std::set<BackendServerId> m_triedServers;
  std::set<InstanceId> m_triedPeers;
};

} // namespace rattanweir
