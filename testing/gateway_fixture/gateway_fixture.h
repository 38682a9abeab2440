// Test fixture: the gateway of one instance, with a scripted upstream and a
// caller that records outcomes, on one io_context and a manual clock.
//
//   GatewayFixture fixture;
//   fixture.Script(kServerOne, { .m_kind = ResponseKind::Resets });
//   const Outcome& outcome = fixture.SendRequest({ .m_target = "/read/1" });
//   REQUIRE(outcome.m_code == ResultCode::Ok);
//
// The instance is north-1 in region north, with two plain servers and two
// engines. Its peer south-1 is in region south, which has servers of the same
// pools. PlainProtocol is the wire protocol.

#pragma once

#include "rattanweir/base/clock/manual_clock.h"
#include "rattanweir/request/gateway/gateway_handlers.h"
#include "testing/pipeline_fixture/outcome.h"
#include "testing/pipeline_fixture/scripted_upstream.h"

#include <boost/asio/io_context.hpp>

#include <deque>

namespace rattanweir {

inline constexpr const char* kServerOne = "10.1.0.1:1";
inline constexpr const char* kServerTwo = "10.1.0.1:2";
inline constexpr const char* kEngineA = "10.1.0.1:3";
inline constexpr const char* kEngineB = "10.1.0.1:4";
// In region south.
inline constexpr const char* kSouthEngine = "10.2.0.1:2";
inline constexpr const char* kSouthPeer = "10.2.0.1:9";

// A test wire protocol with one plain header field per value.
class PlainProtocol final : public WireProtocol
{
public:
  std::string ReadRequestId(const InboundRequest& aRequest) const override;
  RequestInfo ReadRequest(const InboundRequest& aRequest) const override;
  HeaderFields BackendFields(const DispatchInfo& aInfo) const override;
  HeaderFields PeerFields(
    const std::optional<std::string>& aResumeAfter) const override;
  ResponseInfo ReadResponse(const ResponseHead& aHead) const override;
  Refusal FormatRefusal(const RequestError& aError) const override;
};

// Remembers the origins of streams in this instance only.
class LocalStreamOrigins final : public StreamOriginDirectory
{
public:
  explicit LocalStreamOrigins(const Clock& aClock)
    : m_origins({ .m_clock = aClock })
  {
  }

  void Record(StreamKey aKey,
              const StreamOrigin& aOrigin,
              std::chrono::nanoseconds aLifetime) override;
  Task<std::optional<StreamOrigin>> Find(StreamKey aKey,
                                         SteadyTime aDeadline) override;
  Task<std::optional<StreamOrigin>> FindCommon(StreamKey aKey,
                                               std::chrono::nanoseconds aMaxAge,
                                               SteadyTime aDeadline) override;

private:
  StreamOrigins m_origins;
};

// Routes: /read/ is idempotent with two attempts, /write/ is not idempotent,
// /stream/ is a stream that can be resumed, /talk/ is one that cannot, /south/
// is served only in region south, /open/ needs no key. The header field `guide`
// names the long prefix that a prompt shares with others, `parts` all parts of
// a prompt, separated by commas.
struct GatewayTestRequest
{
  std::string m_method = "GET";
  std::string m_target = "/read/1";
  std::string m_host = "a.example";
  std::string m_key = "key-anna";
  HeaderFields m_headers;
};

// Returns the configuration with these routes, with or without anna's key.
FleetConfigData
GatewayTestConfig(std::uint64_t aVersion, bool aHasKey);

// Returns a sealed response of a backend server.
ScriptedResponse
SealedResponse(std::string aBody, unsigned aStatus = 200);

// Returns a response which states that the server did not run the request.
ScriptedResponse
NotRunResponse(unsigned aStatus = 503);

// Returns a sealed stream of `aCount` events, numbered from `aFirst`.
ScriptedResponse
SealedStream(int aFirst, int aCount, bool aIsComplete = true);

class GatewayFixture
{
public:
  GatewayFixture();
  // Cancels requests in progress.
  ~GatewayFixture();
  GatewayFixture(const GatewayFixture&) = delete;
  GatewayFixture& operator=(const GatewayFixture&) = delete;

  void Script(const std::string& aEndpoint, ScriptedResponse aResponse);
  // Appends the response to the script of every server of region north.
  void ScriptAll(const ScriptedResponse& aResponse, int aTimes = 1);

  // Sends one request and requires that it completes.
  Outcome& SendRequest(const GatewayTestRequest& aRequest);
  Outcome& SendPeerRequest(const GatewayTestRequest& aRequest,
                           const HeaderFields& aHopFields);

  // Starts one request; returns when no handler is ready to run.
  Outcome& Start(const GatewayTestRequest& aRequest);
  // Advances the clock in steps of 25 ms and runs what becomes due.
  void Advance(std::chrono::milliseconds aDuration);

  // Applies the next configuration version, with or without anna's key.
  void Configure(bool aHasKey = true);
  ServerRecord RecordOf(const char* aId) const;

  std::size_t SentTo(const std::string& aEndpoint) const;
  // Returns a header field of the request sent at this index; empty if absent.
  std::string SentField(std::size_t aIndex, const char* aName) const;

  asio::io_context m_context;
  ManualClock m_clock;
  RandomEngine m_random{ 5 };
  PlainProtocol m_protocol;
  FleetConfigStore m_config;
  FleetView m_fleet;
  BackendRegistry m_registry;
  BackendView m_backends{ { .m_clock = m_clock } };
  ServerReach m_reach{ { .m_clock = m_clock } };
  BackendView m_regions{ { .m_clock = m_clock } };
  PartCacheView m_parts;
  AccountRates m_rates{ { .m_clock = m_clock, .m_initialBurstFraction = 1 } };
  FleetRetryBudget m_retries;
  ServerRateLimiter m_rateLimiter{ { .m_clock = m_clock } };
  ServerLimits m_serverLimits{ { .m_clock = m_clock } };
  ServerRooms m_rooms{ { .m_clock = m_clock, .m_random = m_random } };
  CrashQuarantine m_quarantine{ { .m_clock = m_clock } };
  LocalStreamOrigins m_streamOrigins{ m_clock };
  ServiceEnd m_serviceEnd{ { .m_clock = m_clock } };
  ServerSilence m_silence{ { .m_clock = m_clock } };
  PoolQueues m_queues;
  ResidencyConflicts m_residencyConflicts{ { .m_clock = m_clock } };
  ServerPerformance m_performance{ { .m_clock = m_clock } };
  PoolBacklogs m_backlogs{ { .m_clock = m_clock } };
  ArrivalMeter m_arrivals{ { .m_clock = m_clock } };
  RegionSplit m_split{ { .m_clock = m_clock } };
  Metrics m_metrics;
  ScriptedUpstream m_upstream{ m_context };
  GatewayState m_state;
  GatewayEntryHandler m_entry{ m_state };
  GatewayPeerHandler m_peer;

private:
  Outcome& StartAt(RequestHandler& aHandler, InboundRequest aRequest);
  Outcome& Finish(Outcome& aOutcome);
  InboundRequest BuildInboundRequest(const GatewayTestRequest& aRequest);

  std::uint64_t m_version = 0;
  std::uint64_t m_nextRequest = 0;
  std::deque<Outcome> m_outcomes;
};

} // namespace rattanweir
