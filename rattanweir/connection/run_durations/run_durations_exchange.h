// Users' platform (settings with `fleet`): tells an instance that is stopping
// how long responses take at its peers.
//
//   RunDurationsExchange exchange({ .m_executor = executor, ... });
//   serviceEnd.Announce(end);
//   exchange.AskPeers();
//
// An instance that stops soon after its start, or has served few requests of a
// route, can't tell by itself which requests still fit. It asks a few peers
// once, at the stop. What they answer is added to its ServiceEnd. Peers of
// earlier releases reject the call. Not thread-safe. Must outlive the work that
// remains on the executor.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/random/random.h"
#include "rattanweir/connection/packed_rpc/control_caller.h"
#include "rattanweir/connection/packed_rpc/packed_rpc.h"
#include "rattanweir/process/fleet/fleet_view.h"
#include "rattanweir/process/metrics/metrics.h"
#include "rattanweir/process/service_end/service_end.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace rattanweir {

struct RunDurationsExchangeOptions
{
  Executor m_executor;
  const Clock& m_clock;
  RandomEngine& m_random;
  ControlCaller& m_caller;
  const FleetView& m_fleet;
  ServiceEnd& m_serviceEnd;
  Metrics& m_metrics;
  // Receives the method that peers call.
  PackedDispatcher& m_dispatcher;
  // The number of peers that are asked: of the own region, and others if there
  // are too few.
  std::size_t m_peers = 3;
  std::chrono::nanoseconds m_timeout{ std::chrono::milliseconds(500) };
};

class RunDurationsExchange
{
public:
  explicit RunDurationsExchange(const RunDurationsExchangeOptions& aOptions);
  RunDurationsExchange(const RunDurationsExchange&) = delete;
  RunDurationsExchange& operator=(const RunDurationsExchange&) = delete;

  // Starts to ask peers, and returns.
  void AskPeers();

private:
  Task<void> Ask(Endpoint aPeer);
  std::vector<Endpoint> ChoosePeers() const;

  RunDurationsExchangeOptions m_options;
};

// Writes an array of [route, pool, count, usual, longest], durations in
// milliseconds.
void
WriteRunSummaries(const RunSummaries& aRuns, PackedWriter& aWriter);

// Throws RpcError if the value is invalid.
RunSummaries
ReadRunSummaries(const PackedValue& aValue);

} // namespace rattanweir
