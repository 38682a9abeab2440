// Two gateways of different regions, connected by sockets, before a backend
// server that a test scripts byte by byte. For what a caller sees of faulty
// responses, directly or through a peer.
//
//   GatewayChain chain;
//   RunTask(chain.m_context, [&]() -> Task<void> {
//     RawPeer caller = co_await chain.Call(ServedBy::Peer, "/read/1");
//     RawPeer server = co_await chain.AcceptRequest();
//     co_await server.Write("HTTP/1.1 200 OK\r\nseal: s\r\n\r\nx");
//     server.Close();
//     const std::string response = co_await caller.ReadToEnd();
//   });
//
// The routes are those of GatewayFixture. All servers of both regions have the
// address of one listener.

#pragma once

#include "rattanweir/connection/http_client/http_client.h"
#include "rattanweir/connection/http_server/http_server.h"
#include "testing/gateway_fixture/gateway_fixture.h"
#include "testing/raw_peer/raw_peer.h"

#include <memory>
#include <string>

namespace rattanweir {

enum class ServedBy
{
  // The instance that the caller is connected to.
  Entry,
  // A peer in the other region.
  Peer,
};

// One instance of the chain.
class GatewayNode
{
public:
  struct Options
  {
    asio::io_context& m_context;
    const char* m_id;
    const char* m_region;
  };

  explicit GatewayNode(const Options& aOptions);
  ~GatewayNode();
  GatewayNode(const GatewayNode&) = delete;
  GatewayNode& operator=(const GatewayNode&) = delete;

  FleetMember Record();
  void AddPeer(FleetMember aRecord);
  void AddServer(const char* aId,
                 const char* aPool,
                 const char* aZone,
                 const Endpoint& aAddress);

  Endpoint CallerAddress() const { return m_callerServer.LocalEndpoint(); }
  Endpoint PeerAddress() const { return m_peerServer.LocalEndpoint(); }
  std::size_t IdleServerConnections() const
  {
    return m_backendUpstream.IdleConnections();
  }
  BackendState StateOf(const char* aIncarnation) const
  {
    return m_backends.StateOf(BackendServerId(aIncarnation));
  }

private:
  HttpServerOptions ServerOptions(RequestHandler& aHandler) const;

  asio::io_context& m_context;
  const Clock& m_clock = SystemClock();
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
  HttpUpstream m_backendUpstream;
  HttpUpstream m_peerUpstream;
  GatewayState m_state;
  GatewayEntryHandler m_entry{ m_state };
  GatewayPeerHandler m_peer;
  HttpServer m_callerServer;
  HttpServer m_peerServer;
};

class GatewayChain
{
public:
  GatewayChain();

  // Connects to the entry instance and sends a request.
  Task<RawPeer> Call(ServedBy aServedBy,
                     std::string aTarget,
                     std::string aBody = "");

  // Accepts a connection as the backend server and reads the request.
  Task<RawPeer> AcceptRequest();
  // The same, and returns the request's header.
  Task<RawPeer> AcceptRequest(std::string& aHeader);

  // Returns the instance that sends to the backend server.
  GatewayNode& Server(ServedBy aServedBy)
  {
    return aServedBy == ServedBy::Entry ? *m_entry : *m_peer;
  }

  asio::io_context m_context;

private:
  RawListener m_listener;
  // Without servers in its own region, the entry instance forwards.
  std::unique_ptr<GatewayNode> m_entry;
  std::unique_ptr<GatewayNode> m_peer;
  std::unique_ptr<GatewayNode> m_forwarder;
};

} // namespace rattanweir
