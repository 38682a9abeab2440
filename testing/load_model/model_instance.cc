#include "testing/load_model/model_instance.h"

#include "rattanweir/request/placement/placement_input.h"

#include <string>

namespace rattanweir {
namespace {

// Maximum connections from one instance to a server.
constexpr unsigned kConnections = 100;
// Request body size per token of the prompt.
constexpr std::int64_t kBytesPerToken = 4;

PartChain
ChainOfCall(const ModelCall& aCall)
{
  return BuildPartChain(aCall.m_kind->m_name,
                        { { .m_id = std::to_string(aCall.m_document),
                            .m_tokens = aCall.m_kind->m_sharedTokens } });
}

} // namespace

PoolId
ModelPool(bool aIsForEngine)
{
  return PoolId(aIsForEngine ? "engines" : "plain");
}

BackendServerId
ModelRegionKey(std::size_t aRegion, bool aIsForEngine)
{
  return BackendServerId(std::to_string(aRegion) + "/" +
                         ModelPool(aIsForEngine).Value());
}

ModelInstance::ModelInstance(const ModelInstanceOptions& aOptions)
  : m_options(aOptions)
  , m_backends({ .m_clock = aOptions.m_clock })
  , m_regions({ .m_clock = aOptions.m_clock })
  , m_queues(aOptions.m_executor)
{
}

std::vector<ServerCandidate>
ModelInstance::Servers(bool aIsForEngine,
                       const std::set<BackendServerId>& aTried) const
{
  std::vector<ServerCandidate> choices;
  for (const BackendServerId& id :
       aIsForEngine ? m_options.m_engines : m_options.m_plainServers) {
    if (aTried.contains(id)) {
      continue;
    }
    choices.push_back({ .m_incarnation = id,
                        .m_state = m_backends.StateOf(id),
                        .m_slots = aIsForEngine ? m_options.m_engineSlots
                                                : m_options.m_plainSlots,
                        .m_maxInFlight = kConnections });
  }
  return choices;
}

PlacementInput
ModelInstance::BuildPlacementInput(
  const ModelStage& aStage,
  const std::vector<AdvertisedDelay>& aAdvertised) const
{
  const ModelCall& call = *aStage.m_call;
  const bool isForEngine = call.m_kind->m_isForEngine;
  const SteadyTime now = m_options.m_clock.SteadyNow();
  PlacementInput input{
    .m_now = now,
    .m_servers = Servers(isForEngine, aStage.m_tried),
    .m_meanServiceTime = m_queues.SlotTimeOf(ModelPool(isForEngine)),
    .m_instancesInRegion = m_options.m_instancesInRegion,
    .m_waited = now - aStage.m_receivedAt,
    .m_maxQueueWait = MaxQueueWait(call.m_kind->m_objective,
                                   call.m_deadline - aStage.m_receivedAt),
    .m_untilDeadline = call.m_deadline - now,
    .m_regionMargin = RegionMargin(isForEngine, call.m_kind->m_objective),
    .m_transferCost = TransferCost(ByteCount(static_cast<std::uint64_t>(
      kBytesPerToken * call.PromptTokens().Value()))),
  };
  if (isForEngine) {
    const PartChain chain = ChainOfCall(call);
    for (ServerCandidate& choice : input.m_servers) {
      choice.m_uncached = call.PromptTokens() - m_parts.EstimateCachedTokens(
                                                  choice.m_incarnation, chain);
    }
    AssumeSharedPrefix(input.m_servers, chain.front(), call.PromptTokens());
    if (m_options.m_copySecondsPerToken > 0) {
      PlanCacheCopies(
        input.m_servers,
        std::chrono::duration<double>(m_options.m_copySecondsPerToken));
    }
  }
  if (aStage.m_forward) {
    return input;
  }
  for (const AdvertisedDelay& advertised : aAdvertised) {
    if (advertised.m_region == aStage.m_region) {
      continue;
    }
    input.m_regions.push_back(
      { .m_region = RegionId(std::to_string(advertised.m_region)),
        .m_startDelay = advertised.m_delay,
        .m_state =
          m_regions.StateOf(ModelRegionKey(advertised.m_region, isForEngine)),
        .m_uncached = isForEngine ? UncachedInOtherRegion(call.PromptTokens())
                                  : Tokens(0) });
  }
  return input;
}

std::chrono::nanoseconds
ModelInstance::DelayToAdvertise(bool aIsForEngine) const
{
  PlacementInput input{
    .m_now = m_options.m_clock.SteadyNow(),
    .m_servers = Servers(aIsForEngine, {}),
    .m_meanServiceTime = m_queues.SlotTimeOf(ModelPool(aIsForEngine)),
    .m_instancesInRegion = m_options.m_instancesInRegion,
    .m_untilDeadline = std::chrono::hours(1),
  };
  if (aIsForEngine) {
    for (ServerCandidate& choice : input.m_servers) {
      choice.m_uncached = kTypicalUncachedTokens;
    }
  }
  return rattanweir::DelayToAdvertise(input);
}

void
ModelInstance::AddPrompt(const BackendServerId& aEngine, const ModelCall& aCall)
{
  m_parts.AddDispatch(
    aEngine,
    ChainOfCall(aCall),
    CacheShare(m_options.m_cacheTokens, m_options.m_instancesInRegion));
}

} // namespace rattanweir
