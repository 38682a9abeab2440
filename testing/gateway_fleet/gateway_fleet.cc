#include "rattanweir/base/asio/asio.h"

#include "testing/gateway_fleet/gateway_fleet.h"

#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/gateway/server_candidates.h"
#include "rattanweir/request/gateway/server_links.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace rattanweir {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

const PoolId kPool("plain");
constexpr const char* kHost = "a.example";
constexpr const char* kServerNetwork = "10.9.0.";
constexpr unsigned kSlots = 6;
constexpr unsigned kMaxWaiting = 12;
constexpr milliseconds kConnectTimeout{ 400 };
constexpr milliseconds kSilenceTimeout{ 1'500 };
constexpr milliseconds kTickInterval{ 100 };
constexpr std::uint16_t kFirstInstancePort = 1'000;

std::string
RegionName(std::size_t aIndex)
{
  return "r" + std::to_string(aIndex);
}

FleetRoute
RouteOf(const std::string& aName, RequestKind aKind)
{
  return { .m_id = RouteId(aName),
           .m_host = kHost,
           .m_pathPrefix = "/" + aName + "/",
           .m_kind = aKind,
           .m_pools = { { .m_pool = kPool } },
           .m_maxAttempts = 2,
           .m_timeout = seconds(4),
           .m_latencyObjective = milliseconds(500) };
}

// A complete response that was received before it is read.
class ReceivedResponse final : public UpstreamExchange
{
public:
  ReceivedResponse(ResponseHead aHead, std::string aBody)
    : m_head(std::move(aHead))
    , m_body(std::move(aBody))
  {
  }
  Task<ResponseHead> ReadHead() override { co_return m_head; }
  Task<std::optional<std::string>> ReadChunk() override
  {
    co_return std::exchange(m_body, std::nullopt);
  }

private:
  ResponseHead m_head;
  std::optional<std::string> m_body;
};

} // namespace

// The network as one instance sees it.
class SimulatedGateway::Network final : public Upstream
{
public:
  Network(GatewayFleet& aFleet, SimulatedGateway& aOwner)
    : m_fleet(aFleet)
    , m_owner(aOwner)
  {
  }

  Task<std::unique_ptr<UpstreamExchange>> Send(Endpoint aEndpoint,
                                               OutboundRequest aRequest,
                                               CancelSource& aCancel) override
  {
    if (aEndpoint.m_address.starts_with(kServerNetwork)) {
      return SendToServer(aEndpoint.m_port - 1U, std::move(aRequest), aCancel);
    }
    return SendToPeer(std::size_t(aEndpoint.m_port - kFirstInstancePort),
                      std::move(aRequest),
                      aCancel);
  }

  Task<void> Probe(Endpoint aServer)
  {
    const bool isOpen = co_await Connect(aServer.m_port - 1U);
    RecordConnection(m_owner.m_state, aServer, isOpen);
  }

private:
  // Returns whether a new connection was opened.
  Task<bool> Connect(std::size_t aServer)
  {
    const LinkFault fault = m_fleet.FaultOf(m_owner.m_index);
    const bool isLocal =
      aServer % m_fleet.Regions() == m_owner.m_index % m_fleet.Regions();
    if (fault == LinkFault::Hangs) {
      co_await m_fleet.Delay(kConnectTimeout);
      co_return false;
    }
    co_await m_fleet.Delay(milliseconds(1));
    co_return isLocal&& fault ==
      LinkFault::None&& m_fleet.m_servers[aServer].m_isRunning;
  }

  Task<void> OpenConnection(std::size_t aServer)
  {
    const bool isOpen = co_await Connect(aServer);
    RecordConnection(
      m_owner.m_state, m_fleet.m_servers[aServer].m_record.m_endpoint, isOpen);
    if (isOpen) {
      co_return;
    }
    if (m_fleet.FaultOf(m_owner.m_index) == LinkFault::Hangs) {
      throw RequestError(ResultCode::BackendConnectFailed,
                         "the connection attempt timed out",
                         Ran::No);
    }
    throw ConnectionRefused("connection refused");
  }

  // Throws what becomes of a request that was written to an open connection
  // whose link has failed.
  Task<void> CheckOpenConnection(std::size_t aServer)
  {
    const LinkFault fault = m_fleet.FaultOf(m_owner.m_index);
    if (fault == LinkFault::Hangs) {
      co_await m_fleet.Delay(kSilenceTimeout);
    }
    if (fault == LinkFault::Hangs || fault == LinkFault::Resets ||
        !m_fleet.m_servers[aServer].m_isRunning) {
      throw RequestError(ResultCode::BackendReset, "connection reset");
    }
  }

  Task<std::unique_ptr<UpstreamExchange>> SendToServer(std::size_t aServer,
                                                       OutboundRequest aRequest,
                                                       CancelSource& aCancel)
  {
    unsigned& kept = m_fleet.m_kept[{ m_owner.m_index, aServer }];
    if (aRequest.m_needsFreshConnection || kept == 0) {
      co_await OpenConnection(aServer);
    } else {
      --kept;
    }
    co_await CheckOpenConnection(aServer);
    const std::string id = *FindHeader(aRequest.m_headers, "id");
    GatewayFleet::Server& server = m_fleet.m_servers[aServer];
    ResponseHead head{ .m_status = 200,
                       .m_headers = { { "seal", "s" }, { "id", id } },
                       .m_contentLength = 2 };
    if (m_fleet.m_brittle && m_fleet.m_brittle->m_maxRefusals) {
      head.m_headers.push_back(
        { "max-refusals", std::to_string(*m_fleet.m_brittle->m_maxRefusals) });
    }
    if (server.m_inFlight >= kSlots + m_fleet.m_maxWaiting) {
      head.m_status = 503;
      head.m_headers[0] = { "not-run", "1" };
      m_fleet.RecordRefusal(aServer);
    } else {
      if (!aRequest.m_target.starts_with("/read/")) {
        ++m_fleet.m_runs[id];
      }
      ++server.m_inFlight;
      co_await m_fleet.Delay(m_fleet.m_options.m_serviceTime *
                             (1 + (server.m_inFlight - 1) / kSlots));
      --server.m_inFlight;
      if (!server.m_isRunning) {
        throw RequestError(ResultCode::BackendReset, "connection reset");
      }
    }
    if (const auto reason = aCancel.Reason()) {
      throw RequestError(*reason, "cancelled");
    }
    ++m_fleet.m_kept[{ m_owner.m_index, aServer }];
    co_return std::make_unique<ReceivedResponse>(std::move(head), "ok");
  }

  Task<std::unique_ptr<UpstreamExchange>> SendToPeer(std::size_t aPeer,
                                                     OutboundRequest aRequest,
                                                     CancelSource& aCancel)
  {
    const bool isLocal =
      aPeer % m_fleet.Regions() == m_owner.m_index % m_fleet.Regions();
    const milliseconds delay(isLocal ? 1 : 57);
    co_await m_fleet.Delay(delay);
    GatewayFleet::Process* peer = m_fleet.m_fleet.Find(aPeer);
    if (peer == nullptr || !peer->m_gateway) {
      throw RequestError(
        ResultCode::BackendConnectFailed, "connection refused", Ran::No);
    }
    InboundRequest inbound{ .m_method = aRequest.m_method,
                            .m_target = aRequest.m_target,
                            .m_headers = aRequest.m_headers,
                            .m_begunAt = m_fleet.Now(),
                            .m_receivedAt = m_fleet.Now() };
    Outcome outcome;
    co_await HandleAndRecord(
      peer->m_gateway->Peer(), std::move(inbound), outcome);
    co_await m_fleet.Delay(delay);
    if (const auto reason = aCancel.Reason()) {
      throw RequestError(*reason, "cancelled");
    }
    if (outcome.m_code != ResultCode::Ok) {
      const RequestError error(
        outcome.m_code, "refused", outcome.m_ran, outcome.m_retryAfter);
      Refusal refusal = FormatRefusalForPeer(error);
      co_return std::make_unique<ReceivedResponse>(std::move(refusal.m_head),
                                                   refusal.m_body);
    }
    co_return std::make_unique<ReceivedResponse>(*outcome.m_head,
                                                 outcome.m_body);
  }

  GatewayFleet& m_fleet;
  SimulatedGateway& m_owner;
};

SimulatedGateway::SimulatedGateway(GatewayFleet& aFleet,
                                   std::size_t aIndex,
                                   FleetView& aView)
  : m_index(aIndex)
  , m_clock(aFleet.m_fleet.GetClock())
  , m_registry({ .m_clock = m_clock,
                 .m_regionOfZone =
                   [&] {
                     std::map<AvailabilityZoneId, RegionId> zones;
                     for (std::size_t region = 0; region < aFleet.Regions();
                          ++region) {
                       const std::string name = RegionName(region);
                       zones.emplace(name + "-a", RegionId(name));
                     }
                     return zones;
                   }() })
  , m_backends({ .m_clock = m_clock })
  , m_reach({ .m_clock = m_clock })
  , m_regions({ .m_clock = m_clock })
  , m_rates({ .m_clock = m_clock })
  , m_retries(
      { .m_clock = m_clock, .m_limits = { .m_ratio = 0.2, .m_extra = 50 } })
  , m_rateLimiter({ .m_clock = m_clock })
  , m_serverLimits({ .m_clock = m_clock })
  , m_rooms({ .m_clock = m_clock, .m_random = aFleet.m_random })
  , m_quarantine({ .m_clock = m_clock })
  , m_streamOrigins(m_clock)
  , m_queues(aFleet.m_context.get_executor())
  , m_network(std::make_unique<Network>(aFleet, *this))
  , m_state{ .m_executor = aFleet.m_context.get_executor(),
             .m_clock = m_clock,
             .m_random = aFleet.m_random,
             .m_protocol = m_protocol,
             .m_config = m_config,
             .m_fleet = aView,
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
             .m_backendUpstream = *m_network,
             .m_peerUpstream = *m_network }
  , m_entry(m_state)
  , m_peer(m_state, [](const std::string& aCall) { return aCall; })
{
  m_config.Offer(std::make_shared<FleetConfig>(aFleet.Config()));
  for (const GatewayFleet::Server& server : aFleet.m_servers) {
    m_registry.Put(server.m_record);
  }
}

SimulatedGateway::~SimulatedGateway() = default;

void
SimulatedGateway::UpdateSelf()
{
  FleetMember& self = m_state.m_fleet.Self();
  if (const auto delay =
        EstimateLocalStartDelay(m_state, *m_config.InForce(), kPool)) {
    self.m_pools[kPool].m_startDelay = *delay;
  }
  self.m_unreachablePools = UnreachablePools(m_state);
  self.m_maxRefusals = m_rooms.StatementsToAdvertise();
  self.m_refusedRooms = m_rooms.RefusalsToAdvertise();
}

void
SimulatedGateway::Step()
{
  m_queues.WakeAll();
  if (m_clock.SteadyNow() - m_lastTickAt >= kTickInterval) {
    m_lastTickAt = m_clock.SteadyNow();
    ProbeServers();
    m_retries.SetFleetSize(m_state.m_fleet.FleetSize());
    MergeRoomsOfPeers(m_state);
  }
}

void
SimulatedGateway::ProbeServers()
{
  for (const Endpoint& server :
       m_reach.TakeDueProbes(ServersToReach(m_state))) {
    asio::co_spawn(
      m_state.m_executor, m_network->Probe(server), asio::detached);
  }
}

GatewayFleet::GatewayFleet(const GatewayFleetOptions& aOptions)
  : m_options(aOptions)
  , m_fleet(aOptions.m_fleet)
  , m_random(aOptions.m_fleet.m_seed)
  , m_maxWaiting(kMaxWaiting)
{
  const std::size_t servers = aOptions.m_serversPerRegion * Regions();
  for (std::size_t index = 0; index < servers; ++index) {
    m_servers.push_back(
      { .m_record = {
          .m_id = BackendServerId("s" + std::to_string(index)),
          .m_startedAtMs = 1,
          .m_pool = kPool,
          .m_endpoint = { .m_address = std::string(kServerNetwork) + "1",
                          .m_port = static_cast<std::uint16_t>(index + 1) },
          .m_zone = AvailabilityZoneId(RegionName(index % Regions()) + "-a"),
          .m_slots = kSlots } });
  }
  m_fleet.OnStart([this](std::size_t aIndex, Process& aProcess) {
    aProcess.m_gateway =
      std::make_unique<SimulatedGateway>(*this, aIndex, aProcess.m_fleet);
    // Instances don't have their requests at the same moments.
    aProcess.m_lastRequestAt =
      Now() + m_fleet.RandomDelay(m_options.m_requestInterval);
  });
  m_fleet.OnStep([this](std::size_t aIndex, Process& aProcess) {
    aProcess.m_gateway->Step();
    if (m_isStarted &&
        Now() - aProcess.m_lastRequestAt >= m_options.m_requestInterval) {
      aProcess.m_lastRequestAt += m_options.m_requestInterval;
      StartRequest(aIndex, *aProcess.m_gateway);
    }
    m_context.restart();
    m_context.poll();
  });
}

GatewayFleet::~GatewayFleet()
{
  m_isStarted = false;
  for (Request& request : m_requests) {
    request.m_outcome.m_cancel.Cancel(ResultCode::CallerGone);
  }
  // Ends what still waits for something that does not come any more.
  m_fleet.RunFor(seconds(6));
}

void
GatewayFleet::Start()
{
  m_fleet.RestartAll(milliseconds(0));
  m_fleet.RunFor(seconds(5));
  m_isStarted = true;
  m_fleet.ForEach([this](Process& aProcess) {
    aProcess.m_lastRequestAt =
      Now() - m_fleet.RandomDelay(m_options.m_requestInterval);
  });
}

void
GatewayFleet::RunFor(milliseconds aDuration)
{
  m_fleet.RunFor(aDuration);
}

void
GatewayFleet::CutLinks(const std::set<std::size_t>& aInstances,
                       LinkFault aFault)
{
  for (const std::size_t instance : aInstances) {
    m_faults[instance] = aFault;
  }
}

void
GatewayFleet::MakeServersBrittle(const BrittleServers& aBrittle,
                                 milliseconds aContactTime)
{
  m_brittle = aBrittle;
  m_fleet.After(aContactTime,
                [this] { m_maxWaiting = m_brittle->m_maxWaiting; });
}

void
GatewayFleet::RecordRefusal(std::size_t aServer)
{
  if (!m_brittle || !m_brittle->m_maxRefusals) {
    return;
  }
  Server& server = m_servers[aServer];
  server.m_refusals.push_back(Now());
  while (server.m_refusals.front() <= Now() - seconds(1)) {
    server.m_refusals.pop_front();
  }
  if (!server.m_isRunning || static_cast<double>(server.m_refusals.size()) <=
                               *m_brittle->m_maxRefusals) {
    return;
  }
  ++m_failedServers;
  server.m_isRunning = false;
  server.m_refusals.clear();
  m_fleet.After(m_brittle->m_downTime,
                [this, aServer] { RestartServer(aServer); });
}

void
GatewayFleet::RestartServer(std::size_t aServer)
{
  Server& server = m_servers[aServer];
  server.m_isRunning = true;
  ++server.m_record.m_startedAtMs;
  // The entry follows the start.
  constexpr milliseconds kEntryDelay{ 300 };
  m_fleet.After(kEntryDelay, [this, aServer] {
    m_fleet.ForEach([&](Process& aProcess) {
      aProcess.m_gateway->State().m_registry.Put(m_servers[aServer].m_record);
    });
  });
}

FleetConfigData
GatewayFleet::Config() const
{
  FleetConfigData rows{
    .m_version = SectionVersion(1),
    .m_pools = { { .m_id = kPool,
                   .m_maximumConnections = 1'000,
                   .m_coldDuration = seconds(3),
                   .m_coldRequestsPerSecond = 10 } },
  };
  rows.m_routes = { RouteOf("read", RequestKind::Idempotent),
                    RouteOf("write", RequestKind::NonIdempotent) };
  for (std::size_t region = 0; region < Regions(); ++region) {
    const std::string name = RegionName(region);
    rows.m_routes.push_back(
      RouteOf("home-" + name, RequestKind::NonIdempotent));
    rows.m_routes.back().m_homeRegions = { RegionId(name) };
  }
  return rows;
}

void
GatewayFleet::StartRequest(std::size_t aInstance, SimulatedGateway& aGateway)
{
  const std::size_t number = m_requests.size();
  const std::string id = "q" + std::to_string(number);
  const std::size_t kind = (number / m_fleet.Size()) % 3;
  const std::string targets[] = {
    "/read/1", "/write/1", "/home-" + RegionName(aInstance % Regions()) + "/1"
  };
  Request& request = m_requests.emplace_back();
  request.m_instance = aInstance;
  request.m_sentAt = Now();
  request.m_isBoundToRegion = kind == 2;
  InboundRequest inbound{ .m_method = "POST",
                          .m_target = targets[kind],
                          .m_headers = { { "host", kHost }, { "id", id } },
                          .m_begunAt = Now(),
                          .m_receivedAt = Now() };
  asio::co_spawn(
    m_context,
    [this, &aGateway, &request, inbound]() -> Task<void> {
      co_await HandleAndRecord(aGateway.Entry(), inbound, request.m_outcome);
      request.m_endedAt = Now();
    },
    asio::detached);
}

Task<void>
GatewayFleet::Delay(milliseconds aDuration)
{
  const auto timer = std::make_shared<asio::steady_timer>(
    m_context, asio::steady_timer::time_point::max());
  m_fleet.After(aDuration, [timer] { timer->cancel(); });
  boost::system::error_code ignored;
  co_await timer->async_wait(
    asio::redirect_error(asio::use_awaitable, ignored));
}

LinkFault
GatewayFleet::FaultOf(std::size_t aInstance) const
{
  const auto found = m_faults.find(aInstance);
  return found == m_faults.end() ? LinkFault::None : found->second;
}

bool
GatewayFleet::IsMatch(const Request& aRequest,
                      const ResultFilter& aFilter) const
{
  return aRequest.m_sentAt >= aFilter.m_from &&
         aRequest.m_sentAt < aFilter.m_until &&
         aFilter.m_instances.contains(aRequest.m_instance) &&
         aFilter.m_isBoundToRegion.value_or(aRequest.m_isBoundToRegion) ==
           aRequest.m_isBoundToRegion &&
         aRequest.m_outcome.m_isDone;
}

double
GatewayFleet::ServedFraction(const ResultFilter& aFilter) const
{
  std::size_t served = 0;
  for (const Request& request : m_requests) {
    served += IsMatch(request, aFilter) && request.m_outcome.m_isComplete;
  }
  const std::size_t all = CountRequests(aFilter);
  return all == 0 ? 1 : static_cast<double>(served) / static_cast<double>(all);
}

std::size_t
GatewayFleet::CountRequests(const ResultFilter& aFilter) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(m_requests, [&](const Request& aRequest) {
      return IsMatch(aRequest, aFilter);
    }));
}

milliseconds
GatewayFleet::LongestFailure(const ResultFilter& aFilter) const
{
  milliseconds longest{ 0 };
  for (const Request& request : m_requests) {
    if (IsMatch(request, aFilter) && !request.m_outcome.m_isComplete) {
      longest = std::max(
        longest,
        duration_cast<milliseconds>(request.m_endedAt - request.m_sentAt));
    }
  }
  return longest;
}

std::size_t
GatewayFleet::CountRepeatedRuns() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    m_runs, [](const auto& aEntry) { return aEntry.second > 1; }));
}

std::size_t
GatewayFleet::CountLostLinks()
{
  std::size_t count = 0;
  m_fleet.ForEach([&](Process& aProcess) {
    count += aProcess.m_gateway->State().m_reach.HasLostLinks();
  });
  return count;
}

} // namespace rattanweir
