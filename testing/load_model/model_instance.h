// One instance of the load model: the views of servers and regions that a real
// instance keeps, and its queue of waiting requests.
//
//   ModelInstance instance(options);
//   const PlacementInput input = instance.BuildPlacementInput(stage, delays);
//
// Builds placement inputs as request/gateway does, without a registry, a
// configuration or a network.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/clock/manual_clock.h"
#include "rattanweir/process/backend_view/backend_view.h"
#include "rattanweir/process/part_cache/part_cache.h"
#include "rattanweir/request/gateway/pool_queues.h"
#include "rattanweir/request/gateway/server_dispatch.h"
#include "rattanweir/request/placement/placement.h"
#include "rattanweir/request/wait_queue/wait_queue.h"
#include "testing/load_model/load_system.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace rattanweir {

// One caller's request, including its retries.
struct ModelCall
{
  std::uint64_t m_id = 0;
  const RequestKindProfile* m_kind = nullptr;
  std::uint32_t m_document = 0;
  std::size_t m_region = 0;
  SteadyTime m_sentAt;
  SteadyTime m_deadline;
  unsigned m_retries = 1;
  bool m_isEnded = false;

  Tokens PromptTokens() const
  {
    return m_kind->m_sharedTokens + m_kind->m_uniqueTokens;
  }
};

struct ModelStage;

// State that an instance keeps of a request forwarded to another region.
struct ModelForward
{
  std::shared_ptr<ModelStage> m_origin;
  std::unique_ptr<RegionDispatch> m_view;
};

// The processing of a request by one instance.
struct ModelStage
{
  std::shared_ptr<ModelCall> m_call;
  std::size_t m_region = 0;
  std::size_t m_instance = 0;
  SteadyTime m_receivedAt;
  std::set<BackendServerId> m_tried;
  unsigned m_attempts = 0;
  // Set if the request was forwarded from another region.
  std::shared_ptr<ModelForward> m_forward;
};

// The queueing delay that a region advertised for one pool.
struct AdvertisedDelay
{
  std::size_t m_region = 0;
  std::chrono::nanoseconds m_delay{};
};

struct ModelInstanceOptions
{
  const ManualClock& m_clock;
  Executor m_executor;
  // Ids and slots per server of the engines and plain servers in its region.
  std::vector<BackendServerId> m_engines;
  std::vector<BackendServerId> m_plainServers;
  unsigned m_engineSlots = 1;
  unsigned m_plainSlots = 1;
  std::size_t m_instancesInRegion = 1;
  Tokens m_cacheTokens;
  double m_copySecondsPerToken = 0;
};

class ModelInstance
{
public:
  using Queue = std::map<std::pair<SchedulingKey, std::uint64_t>,
                         std::shared_ptr<ModelStage>>;

  explicit ModelInstance(const ModelInstanceOptions& aOptions);

  PlacementInput BuildPlacementInput(
    const ModelStage& aStage,
    const std::vector<AdvertisedDelay>& aAdvertised) const;

  // Returns the delay that this region advertises to other regions.
  std::chrono::nanoseconds DelayToAdvertise(bool aIsForEngine) const;

  void AddPrompt(const BackendServerId& aEngine, const ModelCall& aCall);

  BackendView& Backends() { return m_backends; }
  BackendView& Regions() { return m_regions; }
  PoolQueues& Queues() { return m_queues; }
  Queue& QueueOf(bool aIsForEngine) { return m_waiting[aIsForEngine ? 1 : 0]; }

private:
  std::vector<ServerCandidate> Servers(
    bool aIsForEngine,
    const std::set<BackendServerId>& aTried) const;

  ModelInstanceOptions m_options;
  BackendView m_backends;
  BackendView m_regions;
  PartCacheView m_parts;
  PoolQueues m_queues;
  Queue m_waiting[2];
};

// Return the ids under which the model tracks pools and regions.
PoolId
ModelPool(bool aIsForEngine);

BackendServerId
ModelRegionKey(std::size_t aRegion, bool aIsForEngine);

} // namespace rattanweir
