// One instance's gateway between a scripted upstream and a recording caller, on
// one io_context and a clock moved by hand.
//
//   GatewayFixture world;
//   world.Script(kServerOne, { .m_kind = ResponseKind::Resets });
//   const Outcome& outcome = world.Ask({ .m_target = "/read/1" });
//   REQUIRE(outcome.m_code == ResultCode::Ok);
//
// The instance is north-1 of region north, with two plain servers and two
// engines there. Its peer south-1 is in region south, which has servers of the
// same pools. The wire is a plain one of the test's own.

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
// Of region south.
inline constexpr const char* kSouthEngine = "10.2.0.1:2";
inline constexpr const char* kSouthPeer = "10.2.0.1:9";

// A wire whose fields say plainly what they mean.
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

// Routes: /read/ may be repeated twice, /write/ runs once, /stream/ resumes,
// /talk/ is a stream that does not, /south/ is served in region south only,
// /open/ needs no key. The header field `guide` names the long beginning that a
// prompt shares with others.
struct GatewayTestRequest
{
  std::string m_method = "GET";
  std::string m_target = "/read/1";
  std::string m_host = "a.example";
  std::string m_key = "key-anna";
  HeaderFields m_headers;
};

// A sealed answer of a backend server.
ScriptedResponse
Sealed(std::string aBody, unsigned aStatus = 200);

// A server's word that it did not run the request.
ScriptedResponse
NotRun(unsigned aStatus = 503);

// A sealed stream with events of these numbers.
ScriptedResponse
SealedStream(int aFirst, int aCount, bool aIsComplete = true);

class GatewayFixture
{
public:
  GatewayFixture();
  // Ends the requests that still run.
  ~GatewayFixture();
  GatewayFixture(const GatewayFixture&) = delete;
  GatewayFixture& operator=(const GatewayFixture&) = delete;

  void Script(const std::string& aEndpoint, ScriptedResponse aResponse);
  // The same for all servers of region north.
  void ScriptAll(const ScriptedResponse& aResponse, int aTimes = 1);

  // Handles one request to its end.
  Outcome& Ask(const GatewayTestRequest& aRequest);
  Outcome& AskAsPeer(const GatewayTestRequest& aRequest,
                     const HeaderFields& aHopFields);

  // Starts one request; ends once nothing can go on without help.
  Outcome& Start(const GatewayTestRequest& aRequest);
  // Lets time pass.
  void Advance(std::chrono::milliseconds aDuration);

  // Puts a next version in force, with or without anna's key.
  void Configure(bool aHasKey = true);
  ServerRecord RecordOf(const char* aId) const;

  std::size_t SentTo(const std::string& aEndpoint) const;
  // A header field of the request that was sent with this number.
  std::string SentField(std::size_t aIndex, const char* aName) const;

  asio::io_context m_context;
  ManualClock m_clock;
  RandomEngine m_random{ 5 };
  PlainProtocol m_protocol;
  FleetConfigStore m_config;
  FleetView m_fleet;
  BackendRegistry m_registry;
  BackendView m_backends{ { .m_clock = m_clock } };
  BackendView m_regions{ { .m_clock = m_clock } };
  PartCacheView m_parts;
  AccountRates m_rates{ { .m_clock = m_clock, .m_initialBurstFraction = 1 } };
  FleetRetryBudget m_retries;
  ColdServerLimiter m_coldLimiter{ { .m_clock = m_clock } };
  PoolQueues m_queues;
  Metrics m_metrics;
  ScriptedUpstream m_upstream{ m_context };
  GatewayState m_state;
  GatewayEntryHandler m_entry{ m_state };
  GatewayPeerHandler m_peer;

private:
  Outcome& StartAt(RequestHandler& aHandler, InboundRequest aRequest);
  Outcome& Finish(Outcome& aOutcome);
  InboundRequest Inbound(const GatewayTestRequest& aRequest);

  std::uint64_t m_version = 0;
  std::uint64_t m_nextRequest = 0;
  std::deque<Outcome> m_outcomes;
};

} // namespace rattanweir
