#include "rattanweir/base/asio/asio.h"

#include "testing/gateway_chain/gateway_chain.h"

#include <utility>

namespace rattanweir {
namespace {

const AvailabilityZoneId kNorthZone("north-a");
const AvailabilityZoneId kSouthZone("south-a");
const Endpoint kAnyPort{ .m_address = "127.0.0.1" };

} // namespace

GatewayNode::GatewayNode(const Options& aOptions)
  : m_context(aOptions.m_context)
  , m_fleet({ .m_clock = m_clock,
              .m_self = { .m_id = InstanceId(aOptions.m_id),
                          .m_incarnation = Incarnation(1),
                          .m_sequence = 1,
                          .m_region = RegionId(aOptions.m_region),
                          .m_isReady = true } })
  , m_registry({ .m_clock = m_clock,
                 .m_regionOfZone = { { kNorthZone, RegionId("north") },
                                     { kSouthZone, RegionId("south") } } })
  , m_retries({ .m_clock = m_clock,
                .m_limits = { .m_ratio = 0.5, .m_extra = 20 },
                .m_usedFraction = 1 })
  , m_queues(m_context.get_executor())
  , m_backendUpstream({ .m_executor = m_context.get_executor(),
                        .m_acceptsCloseDelimitedResponses = true })
  , m_peerUpstream({ .m_executor = m_context.get_executor() })
  , m_state{ .m_executor = m_context.get_executor(),
             .m_clock = m_clock,
             .m_random = m_random,
             .m_protocol = m_protocol,
             .m_config = m_config,
             .m_fleet = m_fleet,
             .m_registry = m_registry,
             .m_backends = m_backends,
             .m_reach = m_reach,
             .m_regions = m_regions,
             .m_parts = m_parts,
             .m_rates = m_rates,
             .m_retries = m_retries,
             .m_rateLimiter = m_rateLimiter,
             .m_serverLimits = m_serverLimits,
             .m_rooms = m_rooms,
             .m_quarantine = m_quarantine,
             .m_streamOrigins = m_streamOrigins,
             .m_serviceEnd = m_serviceEnd,
             .m_silence = m_silence,
             .m_queues = m_queues,
             .m_residencyConflicts = m_residencyConflicts,
             .m_performance = m_performance,
             .m_backlogs = m_backlogs,
             .m_arrivals = m_arrivals,
             .m_split = m_split,
             .m_metrics = m_metrics,
             .m_backendUpstream = m_backendUpstream,
             .m_peerUpstream = m_peerUpstream }
  , m_peer(m_state, [](const std::string& aCall) { return aCall; })
  , m_callerServer(ServerOptions(m_entry))
  , m_peerServer(ServerOptions(m_peer))
{
  m_config.OnAccepted(
    [this](const FleetConfig& aConfig) { m_rates.Configure(aConfig); });
  m_config.Offer(std::make_shared<FleetConfig>(GatewayTestConfig(1, true)));
  m_fleet.Self().m_peerAddress = m_peerServer.LocalEndpoint();
  m_fleet.Self().m_callerAddress = m_callerServer.LocalEndpoint();
  m_callerServer.Start();
  m_peerServer.Start();
}

GatewayNode::~GatewayNode()
{
  m_callerServer.Abort();
  m_peerServer.Abort();
  m_context.restart();
  m_context.poll();
}

HttpServerOptions
GatewayNode::ServerOptions(RequestHandler& aHandler) const
{
  const bool isForPeers = &aHandler == &m_peer;
  HttpServerOptions options{ .m_executor = m_context.get_executor(),
                             .m_address = kAnyPort,
                             .m_handler = aHandler };
  options.m_responses.m_addsRequestIdHeader = false;
  options.m_responses.m_sendsErrorEvents = false;
  if (isForPeers) {
    options.m_responses.m_formatRefusal = [](const RequestError& aError,
                                             const RequestId&) {
      return FormatRefusalForPeer(aError);
    };
  }
  return options;
}

FleetMember
GatewayNode::Record()
{
  return m_fleet.AdvanceSelf();
}

void
GatewayNode::AddPeer(FleetMember aRecord)
{
  const InstanceId id = aRecord.m_id;
  m_fleet.Merge(std::span(&aRecord, 1), id);
}

void
GatewayNode::AddServer(const char* aId,
                       const char* aPool,
                       const char* aZone,
                       const Endpoint& aAddress)
{
  m_registry.Put({ .m_id = BackendServerId(aId),
                   .m_startedAtMs = 1,
                   .m_pool = PoolId(aPool),
                   .m_endpoint = aAddress,
                   .m_zone = AvailabilityZoneId(aZone),
                   .m_slots = 4 });
}

GatewayChain::GatewayChain()
  : m_listener(m_context)
  , m_entry(std::make_unique<GatewayNode>(
      GatewayNode::Options{ m_context, "north-1", "north" }))
  , m_peer(std::make_unique<GatewayNode>(
      GatewayNode::Options{ m_context, "south-1", "south" }))
  , m_forwarder(std::make_unique<GatewayNode>(
      GatewayNode::Options{ m_context, "north-2", "north" }))
{
  const Endpoint address = m_listener.LocalEndpoint();
  m_entry->AddServer("n1", "plain", "north-a", address);
  m_entry->AddServer("n2", "engines", "north-a", address);
  for (GatewayNode* node : { m_peer.get(), m_forwarder.get() }) {
    node->AddServer("t1", "plain", "south-a", address);
    node->AddServer("t2", "engines", "south-a", address);
  }
  m_forwarder->AddPeer(m_peer->Record());
}

Task<RawPeer>
GatewayChain::Call(ServedBy aServedBy, std::string aTarget, std::string aBody)
{
  const GatewayNode& node =
    aServedBy == ServedBy::Entry ? *m_entry : *m_forwarder;
  RawPeer caller = co_await RawPeer::Connect(m_context, node.CallerAddress());
  std::string request = "POST " + aTarget +
                        " HTTP/1.1\r\nHost: a.example\r\nid: r1\r\n"
                        "key: key-anna\r\nContent-Length: " +
                        std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  co_await caller.Write(std::move(request));
  co_return caller;
}

Task<RawPeer>
GatewayChain::AcceptRequest()
{
  std::string ignored;
  RawPeer server = co_await AcceptRequest(ignored);
  co_return server;
}

Task<RawPeer>
GatewayChain::AcceptRequest(std::string& aHeader)
{
  RawPeer server = co_await m_listener.Accept();
  aHeader = co_await server.ReadUntil("\r\n\r\n");
  co_return server;
}

} // namespace rattanweir
