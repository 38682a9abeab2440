#include "rattanweir/base/asio/asio.h"

#include "testing/load_model/load_model.h"

#include "rattanweir/base/random/random.h"
#include "rattanweir/request/gateway/server_dispatch.h"
#include "rattanweir/request/placement/placement_input.h"
#include "testing/load_model/model_instance.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <stdexcept>

namespace rattanweir {
namespace {

using std::chrono::nanoseconds;
using Stage = std::shared_ptr<ModelStage>;

// Interval at which a non-empty queue is rechecked.
constexpr double kRecheckIntervalSeconds = 0.02;
// Waiting requests per slot at which a server refuses further requests.
constexpr std::size_t kQueuePerSlot = 3;
// Maximum times that one instance sends a request to a server or region.
constexpr unsigned kMaxAttempts = 4;
// Maximum random delay that a caller adds to the advised retry delay, seconds.
constexpr double kRetryAfterSpread = 0.1;

nanoseconds
Nanoseconds(double aSeconds)
{
  return nanoseconds(std::llround(aSeconds * 1e9));
}

double
Seconds(nanoseconds aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

struct ModelServer
{
  ModelServer(BackendServerId aId, const EngineModelOptions& aOptions)
    : m_id(std::move(aId))
    , m_options(aOptions)
    , m_model(aOptions)
  {
  }

  BackendServerId m_id;
  EngineModelOptions m_options;
  EngineModel m_model;
  bool m_isDown = false;
  // Incremented when the server fails or returns, so that events of work that
  // was lost are ignored.
  unsigned m_generation = 0;
};

// One attempt to serve a request at a server.
struct Dispatch
{
  Stage m_stage;
  ModelServer* m_server = nullptr;
  // The server from which uncached prompt tokens are copied, if any.
  ModelServer* m_copyFrom = nullptr;
  bool m_isForEngine = false;
  std::unique_ptr<ServerDispatch> m_view;
};

class LoadSimulation
{
public:
  explicit LoadSimulation(const LoadScenario& aScenario)
    : m_scenario(aScenario)
    , m_system(m_scenario.m_system)
    , m_trafficRandom(aScenario.m_seed)
    , m_random(aScenario.m_seed + 1'000'000)
    , m_policy(aScenario.m_policy)
  {
    for (const RequestKindProfile& kind : m_system.m_kinds) {
      m_stats.m_kinds.push_back({ .m_name = kind.m_name });
    }
    m_responseStartSeconds.resize(m_system.m_kinds.size());
    for (std::size_t region = 0; region < m_system.m_regions.size(); ++region) {
      AddRegion(region);
    }
  }

  // Queued requests refer to instances of other regions, so all queues are
  // cleared before any instance is destroyed.
  ~LoadSimulation()
  {
    for (const Region& region : m_regions) {
      for (const auto& instance : region.m_instances) {
        instance->QueueOf(false).clear();
        instance->QueueOf(true).clear();
      }
    }
  }
  LoadSimulation(const LoadSimulation&) = delete;
  LoadSimulation& operator=(const LoadSimulation&) = delete;

  LoadStats Run()
  {
    for (std::size_t kind = 0; kind < m_system.m_kinds.size(); ++kind) {
      for (std::size_t region = 0; region < m_regions.size(); ++region) {
        ScheduleArrival(kind, region);
      }
    }
    for (const LoadFault& fault : m_scenario.m_faults) {
      After(fault.m_at, [this, fault] { SetServersLost(fault, true); });
      After(fault.m_at + fault.m_duration,
            [this, fault] { SetServersLost(fault, false); });
    }
    AdvertiseDelays();
    while (!m_events.empty() && m_events.top().m_at < m_scenario.m_endSeconds) {
      const Event event = m_events.top();
      m_events.pop();
      m_clock.Advance(Nanoseconds(event.m_at - m_now));
      m_now = event.m_at;
      event.m_act();
    }
    return CollectStats();
  }

private:
  struct Event
  {
    double m_at;
    std::uint64_t m_number;
    std::function<void()> m_act;

    bool operator>(const Event& aOther) const
    {
      return std::pair(m_at, m_number) >
             std::pair(aOther.m_at, aOther.m_number);
    }
  };

  struct Region
  {
    std::vector<std::unique_ptr<ModelInstance>> m_instances;
    // Indexed by whether the servers are engines: plain servers, then engines.
    std::vector<std::unique_ptr<ModelServer>> m_servers[2];
  };

  void After(double aSeconds, std::function<void()> aAct)
  {
    m_events.push({ m_now + aSeconds, m_eventNumber++, std::move(aAct) });
  }

  void AddRegion(std::size_t aIndex)
  {
    const LoadRegion& layout = m_system.m_regions[aIndex];
    Region& region = m_regions.emplace_back();
    std::vector<BackendServerId> ids[2];
    for (const bool isForEngine : { false, true }) {
      const std::size_t count =
        isForEngine ? layout.m_engines : layout.m_plainServers;
      for (std::size_t number = 0; number < count; ++number) {
        const BackendServerId id(std::to_string(aIndex) + "-" +
                                 ModelPool(isForEngine).Value() +
                                 std::to_string(number));
        ids[isForEngine].push_back(id);
        region.m_servers[isForEngine].push_back(std::make_unique<ModelServer>(
          id, isForEngine ? m_system.m_engine : m_system.m_plainServer));
      }
    }
    for (std::size_t number = 0; number < layout.m_instances; ++number) {
      region.m_instances.push_back(
        std::make_unique<ModelInstance>(ModelInstanceOptions{
          .m_clock = m_clock,
          .m_executor = m_context.get_executor(),
          .m_engines = ids[1],
          .m_plainServers = ids[0],
          .m_engineSlots = unsigned(m_system.m_engine.m_batchLimit),
          .m_plainSlots = unsigned(m_system.m_plainServer.m_batchLimit),
          .m_instancesInRegion = layout.m_instances,
          .m_cacheTokens =
            Tokens(std::int64_t(m_system.m_engine.m_cacheTokens)),
          .m_copySecondsPerToken = m_system.m_copySecondsPerToken }));
    }
  }

  void AdvertiseDelays()
  {
    for (const bool isForEngine : { false, true }) {
      m_advertised[isForEngine].clear();
      for (std::size_t region = 0; region < m_regions.size(); ++region) {
        const auto& servers = m_regions[region].m_servers[isForEngine];
        const bool hasServers =
          std::any_of(servers.begin(), servers.end(), [](const auto& aServer) {
            return !aServer->m_isDown;
          });
        if (!hasServers) {
          continue;
        }
        auto& instances = m_regions[region].m_instances;
        const auto& reporter =
          instances[UniformIndex(m_random, instances.size())];
        m_advertised[isForEngine].push_back(
          { .m_region = region,
            .m_delay = reporter->DelayToAdvertise(isForEngine) });
      }
    }
    After(m_system.m_advertiseIntervalSeconds, [this] { AdvertiseDelays(); });
  }

  void SetServersLost(const LoadFault& aFault, bool aIsLost)
  {
    for (auto& servers : m_regions[aFault.m_region].m_servers) {
      const auto count = static_cast<std::size_t>(
        std::ceil(aFault.m_lostServers * double(servers.size())));
      for (std::size_t index = 0; index < count; ++index) {
        ModelServer& server = *servers[index];
        server.m_isDown = aIsLost;
        ++server.m_generation;
        server.m_model = EngineModel(server.m_options);
        if (!aIsLost) {
          continue;
        }
        const auto lost = std::move(m_dispatchesOfServer[&server]);
        m_dispatchesOfServer.erase(&server);
        for (const auto& [id, dispatch] : lost) {
          Fail(dispatch, ResultCode::BackendReset);
        }
      }
    }
  }

  double RateOf(const RequestKindProfile& aKind, std::size_t aRegion) const
  {
    double rate = aKind.m_requestsPerSecond * m_scenario.m_factor *
                  m_system.m_regions[aRegion].m_share;
    for (const LoadFault& fault : m_scenario.m_faults) {
      if (fault.m_region == aRegion && m_now >= fault.m_at &&
          m_now < fault.m_at + fault.m_duration) {
        rate *= fault.m_loadFactor;
      }
    }
    return rate;
  }

  void ScheduleArrival(std::size_t aKind, std::size_t aRegion)
  {
    std::exponential_distribution<double> gap(
      RateOf(m_system.m_kinds[aKind], aRegion));
    After(gap(m_trafficRandom), [this, aKind, aRegion] {
      Arrive(aKind, aRegion);
      ScheduleArrival(aKind, aRegion);
    });
  }

  void Arrive(std::size_t aKind, std::size_t aRegion)
  {
    const RequestKindProfile& kind = m_system.m_kinds[aKind];
    auto call = std::make_shared<ModelCall>();
    call->m_id = m_nextId++;
    call->m_kind = &kind;
    call->m_document = std::uint32_t(
      aKind * 1'000 + UniformIndex(m_trafficRandom, kind.m_documents));
    call->m_region = aRegion;
    call->m_sentAt = m_clock.SteadyNow();
    call->m_deadline = call->m_sentAt + kind.m_deadline;
    if (IsCounted(*call)) {
      ++StatsOf(*call).m_offered;
    }
    After(Seconds(kind.m_deadline), [this, call] { ExpireCall(call); });
    Enter(call);
  }

  void Enter(const std::shared_ptr<ModelCall>& aCall)
  {
    auto stage = std::make_shared<ModelStage>();
    stage->m_call = aCall;
    stage->m_region = aCall->m_region;
    stage->m_instance =
      UniformIndex(m_random, m_regions[aCall->m_region].m_instances.size());
    stage->m_receivedAt = m_clock.SteadyNow();
    Place(stage);
  }

  ModelInstance& InstanceOf(const ModelStage& aStage)
  {
    return *m_regions[aStage.m_region].m_instances[aStage.m_instance];
  }

  SchedulingKey SchedulingKeyOf(const ModelStage& aStage) const
  {
    return m_policy.SchedulingKeyOf(
      { .m_priority = aStage.m_call->m_kind->m_priority,
        .m_arrivedAt = aStage.m_receivedAt });
  }

  // Places or queues a request that is new at its instance or whose attempt has
  // failed.
  void Place(const Stage& aStage)
  {
    if (aStage->m_call->m_isEnded) {
      return;
    }
    auto& queue =
      InstanceOf(*aStage).QueueOf(aStage->m_call->m_kind->m_isForEngine);
    const bool hasEarlierWaiter =
      !queue.empty() && queue.begin()->first.first < SchedulingKeyOf(*aStage);
    if (hasEarlierWaiter || !TryPlace(aStage)) {
      if (queue.empty()) {
        ScheduleQueueRecheck(*aStage);
      }
      queue[{ SchedulingKeyOf(*aStage), aStage->m_call->m_id }] = aStage;
    }
  }

  void ScheduleQueueRecheck(const ModelStage& aStage)
  {
    const bool isForEngine = aStage.m_call->m_kind->m_isForEngine;
    After(kRecheckIntervalSeconds,
          [this,
           region = aStage.m_region,
           instance = aStage.m_instance,
           isForEngine] { RecheckQueue(region, instance, isForEngine); });
  }

  void RecheckQueue(std::size_t aRegion,
                    std::size_t aInstance,
                    bool aIsForEngine)
  {
    ModelInstance& instance = *m_regions[aRegion].m_instances[aInstance];
    auto& queue = instance.QueueOf(aIsForEngine);
    TryQueue(queue);
    for (auto entry = queue.begin(); entry != queue.end();) {
      const Stage stage = entry->second;
      const ModelCall& call = *stage->m_call;
      const nanoseconds waited = m_clock.SteadyNow() - stage->m_receivedAt;
      const nanoseconds maxWait = m_policy.MaxQueueWait(
        call.m_kind->m_objective, call.m_deadline - stage->m_receivedAt);
      if (waited < maxWait) {
        ++entry;
        continue;
      }
      entry = queue.erase(entry);
      EndRefused(stage, instance.Queues().SlotTimeOf(ModelPool(aIsForEngine)));
    }
    if (!queue.empty()) {
      ScheduleQueueRecheck(*queue.begin()->second);
    }
  }

  void TryQueue(ModelInstance::Queue& aQueue)
  {
    while (!aQueue.empty()) {
      const Stage first = aQueue.begin()->second;
      if (!first->m_call->m_isEnded && !TryPlace(first)) {
        return;
      }
      aQueue.erase({ SchedulingKeyOf(*first), first->m_call->m_id });
    }
  }

  // Returns false if the request has to wait.
  bool TryPlace(const Stage& aStage)
  {
    const PlacementInput input = InstanceOf(*aStage).BuildPlacementInput(
      *aStage, m_advertised[aStage->m_call->m_kind->m_isForEngine]);
    const Placement placement = m_policy.Decide(input);
    if (std::holds_alternative<KeepQueued>(placement)) {
      return false;
    }
    if (const auto* server = std::get_if<SendToServer>(&placement)) {
      Send(aStage, input, input.m_servers[server->m_index]);
    } else if (const auto* region = std::get_if<SendToRegion>(&placement)) {
      Forward(aStage, input.m_regions[region->m_index].m_region);
    } else {
      EndRefused(aStage, std::get<Refuse>(placement).m_retryAfter);
    }
    return true;
  }

  void Send(const Stage& aStage,
            const PlacementInput& aInput,
            const ServerCandidate& aChoice)
  {
    ModelInstance& instance = InstanceOf(*aStage);
    const bool isForEngine = aStage->m_call->m_kind->m_isForEngine;
    auto dispatch = std::make_shared<Dispatch>();
    dispatch->m_stage = aStage;
    dispatch->m_isForEngine = isForEngine;
    for (const auto& server :
         m_regions[aStage->m_region].m_servers[isForEngine]) {
      if (server->m_id == aChoice.m_incarnation) {
        dispatch->m_server = server.get();
      }
      if (server->m_id == aChoice.m_copyFrom) {
        dispatch->m_copyFrom = server.get();
      }
    }
    const double waiting =
      EstimateOccupancy(aInput, aChoice) + 1 - aChoice.m_slots;
    dispatch->m_view = std::make_unique<ServerDispatch>(ServerDispatchOptions{
      .m_clock = m_clock,
      .m_backends = instance.Backends(),
      .m_queues = instance.Queues(),
      .m_server = aChoice.m_incarnation,
      .m_pool = ModelPool(isForEngine),
      .m_uncached = aChoice.m_uncached,
      .m_queueingFactor = 1 + std::max(0.0, waiting) / aChoice.m_slots });
    aStage->m_tried.insert(aChoice.m_incarnation);
    ++aStage->m_attempts;
    if (isForEngine) {
      instance.AddPrompt(aChoice.m_incarnation, *aStage->m_call);
    }
    After(m_system.m_intraRegionDelaySeconds,
          [this, dispatch] { ArriveAtServer(dispatch); });
  }

  void ArriveAtServer(const std::shared_ptr<Dispatch>& aDispatch)
  {
    ModelServer& server = *aDispatch->m_server;
    const ModelCall& call = *aDispatch->m_stage->m_call;
    if (call.m_isEnded) {
      return;
    }
    if (server.m_isDown) {
      Fail(aDispatch, ResultCode::BackendConnectFailed);
      return;
    }
    if (server.m_model.Waiting() >=
        kQueuePerSlot * server.m_options.m_batchLimit) {
      Fail(aDispatch, ResultCode::BackendRefused);
      return;
    }
    server.m_model.Add(
      m_now,
      { .m_id = call.m_id,
        .m_priority = call.m_kind->m_priority,
        .m_document = call.m_document,
        .m_documentTokens = aDispatch->m_isForEngine
                              ? double(call.m_kind->m_sharedTokens.Value())
                              : 0,
        .m_uniqueTokens = double(call.m_kind->m_uniqueTokens.Value()),
        .m_responseTokens = call.m_kind->m_steps });
    m_dispatchesOfServer[&server][call.m_id] = aDispatch;
    StartWork(server);
  }

  void StartWork(ModelServer& aServer)
  {
    const auto prefill = aServer.m_model.StartPrefill();
    if (!prefill) {
      return;
    }
    const double shared = prefill->m_request.m_documentTokens;
    const ModelServer* source =
      m_dispatchesOfServer[&aServer].at(prefill->m_request.m_id)->m_copyFrom;
    const bool isCopied =
      !prefill->m_isHit && source != nullptr && !source->m_isDown &&
      source->m_model.IsCached(prefill->m_request.m_document);
    const double seconds = isCopied
                             ? prefill->m_request.m_uniqueTokens /
                                   aServer.m_options.m_prefillTokensPerSecond +
                                 shared * m_system.m_copySecondsPerToken
                             : prefill->m_seconds;
    m_sharedTokens += shared;
    m_sharedTokensPrefilled += prefill->m_isHit || isCopied ? 0 : shared;
    After(seconds,
          [this,
           &aServer,
           request = prefill->m_request,
           generation = aServer.m_generation] {
            if (aServer.m_generation == generation) {
              FinishPrefill(aServer, request);
            }
          });
  }

  void FinishPrefill(ModelServer& aServer, const ModelRequest& aRequest)
  {
    const double seconds = aServer.m_model.EndPrefill(aRequest);
    const auto dispatch = m_dispatchesOfServer[&aServer].at(aRequest.m_id);
    // An engine's response starts after its first step; a plain server sends
    // the complete response at once.
    const double first =
      dispatch->m_isForEngine ? seconds / aRequest.m_responseTokens : seconds;
    const auto isSameGeneration = [&aServer,
                                   generation = aServer.m_generation] {
      return aServer.m_generation == generation;
    };
    After(first, [this, dispatch, isSameGeneration] {
      if (isSameGeneration()) {
        RecordResponseStart(dispatch);
      }
    });
    After(seconds, [this, dispatch, aRequest, &aServer, isSameGeneration] {
      if (!isSameGeneration()) {
        return;
      }
      aServer.m_model.EndResponse(m_now, aRequest);
      m_dispatchesOfServer[&aServer].erase(aRequest.m_id);
      StartWork(aServer);
      After(m_system.m_intraRegionDelaySeconds, [this, dispatch] {
        dispatch->m_view->EndWith(ResultCode::Ok);
        EndDispatch(dispatch);
      });
    });
    StartWork(aServer);
  }

  void RecordResponseStart(const std::shared_ptr<Dispatch>& aDispatch)
  {
    const EngineModel& model = aDispatch->m_server->m_model;
    const auto running = unsigned(model.Running());
    const auto waiting = unsigned(model.Waiting());
    After(
      m_system.m_intraRegionDelaySeconds, [this, aDispatch, running, waiting] {
        InstanceOf(*aDispatch->m_stage)
          .Backends()
          .ReportQueue(aDispatch->m_server->m_id,
                       running,
                       waiting,
                       unsigned(aDispatch->m_server->m_options.m_batchLimit));
        aDispatch->m_view->RecordResponseStart();
        ForwardResponseStart(aDispatch->m_stage);
      });
  }

  void EndDispatch(const std::shared_ptr<Dispatch>& aDispatch)
  {
    if (!aDispatch->m_view) {
      return;
    }
    aDispatch->m_view.reset();
    TryQueue(InstanceOf(*aDispatch->m_stage).QueueOf(aDispatch->m_isForEngine));
  }

  // Ends an attempt that the server refused or lost, and places the request
  // again.
  void Fail(const std::shared_ptr<Dispatch>& aDispatch, ResultCode aCode)
  {
    After(m_system.m_intraRegionDelaySeconds, [this, aDispatch, aCode] {
      aDispatch->m_view->EndWith(aCode);
      EndDispatch(aDispatch);
      const Stage& stage = aDispatch->m_stage;
      if (stage->m_attempts >= kMaxAttempts) {
        EndRefused(stage, std::chrono::seconds(1));
        return;
      }
      Place(stage);
    });
  }

  void Forward(const Stage& aStage, const RegionId& aRegion)
  {
    const std::size_t region = std::stoul(aRegion.Value());
    const bool isForEngine = aStage->m_call->m_kind->m_isForEngine;
    auto forwarded = std::make_shared<ModelForward>();
    forwarded->m_origin = aStage;
    forwarded->m_view = std::make_unique<RegionDispatch>(
      RegionDispatchOptions{ .m_clock = m_clock,
                             .m_regions = InstanceOf(*aStage).Regions(),
                             .m_key = ModelRegionKey(region, isForEngine) });
    ++aStage->m_attempts;
    auto stage = std::make_shared<ModelStage>();
    stage->m_call = aStage->m_call;
    stage->m_region = region;
    stage->m_instance =
      UniformIndex(m_random, m_regions[region].m_instances.size());
    stage->m_forward = forwarded;
    After(m_system.m_interRegionDelaySeconds, [this, stage] {
      stage->m_receivedAt = m_clock.SteadyNow();
      Place(stage);
    });
  }

  // Forwards the start of the response from the instance to the caller.
  void ForwardResponseStart(const Stage& aStage)
  {
    const auto forwarded = aStage->m_forward;
    if (!forwarded) {
      DeliverResponse(*aStage->m_call);
      return;
    }
    After(m_system.m_interRegionDelaySeconds, [this, aStage, forwarded] {
      if (!forwarded->m_view) {
        return;
      }
      const ModelCall& call = *aStage->m_call;
      forwarded->m_view->RecordResponseStart(
        call.m_kind->m_isForEngine ? call.PromptTokens() : Tokens(0));
      forwarded->m_view->EndWith(ResultCode::Ok);
      forwarded->m_view.reset();
      DeliverResponse(*aStage->m_call);
    });
  }

  void EndRefused(const Stage& aStage, nanoseconds aRetryAfter)
  {
    const auto forwarded = aStage->m_forward;
    if (!forwarded) {
      DeliverRefusal(*aStage, aRetryAfter);
      return;
    }
    After(m_system.m_interRegionDelaySeconds, [this, forwarded, aRetryAfter] {
      if (!forwarded->m_view) {
        // The response has started already; its remainder is not simulated.
        return;
      }
      forwarded->m_view->EndWith(ResultCode::TooManyRequests);
      forwarded->m_view.reset();
      if (forwarded->m_origin->m_attempts >= kMaxAttempts) {
        DeliverRefusal(*forwarded->m_origin, aRetryAfter);
        return;
      }
      Place(forwarded->m_origin);
    });
  }

  // Delivers a refusal to the caller, which retries if its budget and deadline
  // permit.
  void DeliverRefusal(const ModelStage& aStage, nanoseconds aRetryAfter)
  {
    const auto call = aStage.m_call;
    if (call->m_isEnded) {
      return;
    }
    RequestKindStats& stats = StatsOf(*call);
    if (IsCounted(*call)) {
      stats.m_slowestRefusal =
        std::max(stats.m_slowestRefusal,
                 Seconds(m_clock.SteadyNow() - aStage.m_receivedAt));
    }
    std::uniform_real_distribution<double> spread(0, kRetryAfterSpread);
    const double delay = Seconds(aRetryAfter) + spread(m_trafficRandom);
    if (call->m_retries > 0 &&
        m_clock.SteadyNow() + Nanoseconds(delay) < call->m_deadline) {
      --call->m_retries;
      After(delay, [this, call] {
        if (!call->m_isEnded) {
          Enter(call);
        }
      });
      return;
    }
    call->m_isEnded = true;
    if (IsCounted(*call)) {
      ++stats.m_refused;
    }
  }

  void DeliverResponse(ModelCall& aCall)
  {
    if (aCall.m_isEnded) {
      return;
    }
    aCall.m_isEnded = true;
    if (!IsCounted(aCall)) {
      return;
    }
    RequestKindStats& stats = StatsOf(aCall);
    const nanoseconds took = m_clock.SteadyNow() - aCall.m_sentAt;
    const bool isOnTime = took <= aCall.m_kind->m_objective;
    ++(isOnTime ? stats.m_metObjective : stats.m_missedObjective);
    m_totalValue +=
      isOnTime ? aCall.m_kind->m_value : aCall.m_kind->m_lateValue;
    m_responseStartSeconds[KindIndex(aCall)].push_back(Seconds(took));
  }

  // Ends a call at its deadline and withdraws it from the queues of servers.
  void ExpireCall(const std::shared_ptr<ModelCall>& aCall)
  {
    if (aCall->m_isEnded) {
      return;
    }
    aCall->m_isEnded = true;
    if (IsCounted(*aCall)) {
      ++StatsOf(*aCall).m_timedOut;
    }
    for (auto& [server, dispatches] : m_dispatchesOfServer) {
      const auto found = dispatches.find(aCall->m_id);
      if (found == dispatches.end() ||
          !server->m_model.Withdraw(m_now, aCall->m_id)) {
        continue;
      }
      const auto dispatch = found->second;
      dispatches.erase(found);
      dispatch->m_view->EndWith(ResultCode::DeadlineExceeded);
      EndDispatch(dispatch);
    }
  }

  bool IsCounted(const ModelCall& aCall) const
  {
    // Excludes requests whose deadline is after the end of the simulation.
    const SteadyTime begin = m_start + Nanoseconds(m_scenario.m_warmUpSeconds);
    const SteadyTime end = m_start + Nanoseconds(m_scenario.m_endSeconds);
    return aCall.m_sentAt >= begin && aCall.m_deadline < end;
  }

  std::size_t KindIndex(const ModelCall& aCall) const
  {
    return std::size_t(aCall.m_kind - m_system.m_kinds.data());
  }

  RequestKindStats& StatsOf(const ModelCall& aCall)
  {
    return m_stats.m_kinds[KindIndex(aCall)];
  }

  LoadStats CollectStats()
  {
    double offered = 0;
    for (std::size_t kind = 0; kind < m_responseStartSeconds.size(); ++kind) {
      auto& starts = m_responseStartSeconds[kind];
      std::sort(starts.begin(), starts.end());
      const auto quantile = [&](double aShare) {
        return starts.empty()
                 ? 0
                 : starts[std::size_t(aShare * double(starts.size() - 1))];
      };
      RequestKindStats& stats = m_stats.m_kinds[kind];
      stats.m_p50 = quantile(0.50);
      stats.m_p95 = quantile(0.95);
      stats.m_p99 = quantile(0.99);
      offered += m_system.m_kinds[kind].m_value * double(stats.m_offered);
    }
    const double seconds = m_scenario.m_endSeconds - m_scenario.m_warmUpSeconds;
    m_stats.m_goodputPerSecond = m_totalValue / seconds;
    m_stats.m_offeredPerSecond = offered / seconds;
    m_stats.m_recomputedFraction =
      m_sharedTokens == 0 ? 0 : m_sharedTokensPrefilled / m_sharedTokens;
    return m_stats;
  }

  const LoadScenario m_scenario;
  const LoadSystem& m_system;
  RandomEngine m_trafficRandom;
  RandomEngine m_random;
  PlacementPolicy m_policy;
  ManualClock m_clock;
  const SteadyTime m_start = m_clock.SteadyNow();
  double m_now = 0;
  std::uint64_t m_eventNumber = 0;
  std::uint64_t m_nextId = 1;
  boost::asio::io_context m_context;
  std::vector<Region> m_regions;
  std::vector<AdvertisedDelay> m_advertised[2];
  std::map<ModelServer*, std::map<std::uint64_t, std::shared_ptr<Dispatch>>>
    m_dispatchesOfServer;
  // Pending events refer to the instances, so this member is declared after
  // m_regions and destroyed first.
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  LoadStats m_stats;
  std::vector<std::vector<double>> m_responseStartSeconds;
  double m_totalValue = 0;
  double m_sharedTokens = 0;
  double m_sharedTokensPrefilled = 0;
};

} // namespace

const RequestKindStats&
LoadStats::StatsOf(const std::string& aName) const
{
  for (const RequestKindStats& kind : m_kinds) {
    if (kind.m_name == aName) {
      return kind;
    }
  }
  throw std::out_of_range("no request kind is named " + aName);
}

LoadStats
RunLoadModel(const LoadScenario& aScenario)
{
  return LoadSimulation(aScenario).Run();
}

} // namespace rattanweir
