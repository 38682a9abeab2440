// The state that the request handlers of one process share. Used on the users'
// platform (settings with `fleet`).
//
//   GatewayState state{ .m_executor = executor, .m_clock = clock, ... };
//   GatewayEntryHandler entry(state);
//   GatewayPeerHandler peer(state, control);
//
// All referenced objects are owned by the process and outlive the handlers. Not
// thread-safe.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/random/random.h"
#include "rattanweir/process/account_rate/account_rates.h"
#include "rattanweir/process/backend_registry/backend_registry.h"
#include "rattanweir/process/backend_view/backend_view.h"
#include "rattanweir/process/crash_quarantine/crash_quarantine.h"
#include "rattanweir/process/fleet/fleet_view.h"
#include "rattanweir/process/metrics/metrics.h"
#include "rattanweir/process/part_cache/part_cache.h"
#include "rattanweir/process/residency_conflicts/residency_conflicts.h"
#include "rattanweir/process/server_limits/server_limits.h"
#include "rattanweir/process/server_performance/server_performance.h"
#include "rattanweir/process/server_reach/server_reach.h"
#include "rattanweir/process/server_room/server_room.h"
#include "rattanweir/process/server_silence/server_silence.h"
#include "rattanweir/process/service_end/service_end.h"
#include "rattanweir/process/shared_budget/shared_budget.h"
#include "rattanweir/request/exchange/exchange.h"
#include "rattanweir/request/gateway/pool_queues.h"
#include "rattanweir/request/gateway/stream_origin_directory.h"
#include "rattanweir/request/gateway/wire_protocol.h"
#include "rattanweir/request/region_split/arrival_meter.h"
#include "rattanweir/request/region_split/region_split.h"
#include "rattanweir/request/relay/buffer_budget.h"
#include "rattanweir/request/shortage/backlog.h"
#include "rattanweir/version/fleet_config/fleet_config.h"

namespace rattanweir {

struct GatewayState
{
  Executor m_executor;
  const Clock& m_clock;
  RandomEngine& m_random;
  const WireProtocol& m_protocol;
  FleetConfigStore& m_config;
  FleetView& m_fleet;
  BackendRegistry& m_registry;
  // Load and health of the backend servers of this region.
  BackendView& m_backends;
  // Which of those servers this instance can open connections to.
  ServerReach& m_reach;
  // Load and health of other regions; one entry per region and pool
  // (RegionKey).
  BackendView& m_regions;
  PartCacheView& m_parts;
  AccountRates& m_rates;
  FleetRetryBudget& m_retries;
  ServerRateLimiter& m_rateLimiter;
  ServerLimits& m_serverLimits;
  ServerRooms& m_rooms;
  CrashQuarantine& m_quarantine;
  StreamOriginDirectory& m_streamOrigins;
  ServiceEnd& m_serviceEnd;
  ServerSilence& m_silence;
  PoolQueues& m_queues;
  ResidencyConflicts& m_residencyConflicts;
  ServerPerformance& m_performance;
  PoolBacklogs& m_backlogs;
  ArrivalMeter& m_arrivals;
  RegionSplit& m_split;
  Metrics& m_metrics;
  Upstream& m_backendUpstream;
  Upstream& m_peerUpstream;
  // True while this instance has just started and may not know all servers and
  // peers yet.
  bool m_isDiscovering = false;
  // Number of admitted requests in progress, of callers and peers.
  std::size_t m_inFlight = 0;
  // What is buffered of incomplete events of all responses.
  BufferBudget m_responseBuffers;
};

// Records that a server reported itself draining, and logs the first report of
// this incarnation. `aSource` is `response` or the id of the peer that said so.
void
MarkDraining(GatewayState& aState,
             const BackendServerId& aIncarnation,
             const std::string& aSource);

} // namespace rattanweir
