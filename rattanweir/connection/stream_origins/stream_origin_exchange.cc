#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/stream_origins/stream_origin_exchange.h"

#include "rattanweir/process/logging/log.h"
#include "rattanweir/request/wait/wait.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <xxhash.h>

#include <algorithm>
#include <exception>
#include <functional>
#include <utility>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr char kTellMethod[] = "stream_origins";
constexpr char kAskMethod[] = "find_stream_origin";
constexpr milliseconds kTellTimeout{ 1'000 };
// How long members that are not seen any more may still begin streams.
constexpr std::chrono::seconds kPartitionTime{ 10 };

// Returns the key in a question for a stream's origin.
StreamKey
KeyFromJson(const Json::Value& aParameters)
{
  const Json::Value& key = aParameters["key"];
  if (!key.isUInt64()) {
    throw RpcError("key: expected a non-negative integer");
  }
  return static_cast<StreamKey>(key.asUInt64());
}

} // namespace

// What the peers have answered so far, shared by the calls to them.
struct StreamOriginExchange::Search
{
  StreamKey m_key{};
  FoundOrigin m_found;
  // How far back the memories of the peers that have answered reach.
  std::map<InstanceId, nanoseconds> m_memories;
  bool m_endsWithFirst = false;
  SteadyTime m_deadline;
};

// Calls that are made at once.
struct StreamOriginExchange::Round
{
  Round(const Executor& aExecutor, std::size_t aCalls, SteadyTime aDeadline)
    : m_callsLeft(aCalls)
    , m_deadline(aDeadline)
    , m_end(aExecutor, aDeadline)
  {
  }

  void EndCall(const Search& aSearch)
  {
    if (--m_callsLeft == 0 ||
        (aSearch.m_endsWithFirst && aSearch.m_found.m_origin)) {
      m_end.cancel();
    }
  }

  std::size_t m_callsLeft;
  SteadyTime m_deadline;
  asio::steady_timer m_end;
};

StreamOriginExchange::StreamOriginExchange(
  const StreamOriginExchangeOptions& aOptions)
  : m_options(aOptions)
  , m_origins({ .m_clock = aOptions.m_clock })
  , m_startedAt(aOptions.m_clock.SteadyNow())
{
  RegisterMethods();
  RegisterJsonMethods();
}

void
StreamOriginExchange::RegisterMethods()
{
  m_options.m_dispatcher.Register(
    kTellMethod, [this](const PackedValue& aStreams, PackedWriter& aResult) {
      RecordFromPeer(ReadBatches(aStreams));
      aResult.pack_nil();
    });
  m_options.m_dispatcher.Register(
    kAskMethod, [this](const PackedValue& aKey, PackedWriter& aResult) {
      const auto key = static_cast<StreamKey>(ReadUnsigned(aKey, "key"));
      WriteAnswer(AnswerTo(key), aResult);
    });
}

void
StreamOriginExchange::RegisterJsonMethods()
{
  m_options.m_jsonDispatcher.Register(
    kTellMethod, [this](const Json::Value& aParameters) {
      RecordFromPeer(BatchesFromJson(aParameters));
      return Json::Value(Json::objectValue);
    });
  m_options.m_jsonDispatcher.Register(
    kAskMethod, [this](const Json::Value& aParameters) {
      return AnswerToJson(AnswerTo(KeyFromJson(aParameters)));
    });
}

void
StreamOriginExchange::Start()
{
  asio::co_spawn(m_options.m_executor, SendBatches(), asio::detached);
}

void
StreamOriginExchange::Stop()
{
  m_stop.Cancel(ResultCode::InstanceDraining);
}

void
StreamOriginExchange::Record(StreamKey aKey,
                             const StreamOrigin& aOrigin,
                             nanoseconds aLifetime)
{
  m_origins.Record(aKey, aOrigin, aLifetime);
  StreamOriginBatch& batch = m_batches[aOrigin];
  batch.m_keys.push_back(aKey);
  batch.m_lifetime = std::max(batch.m_lifetime, aLifetime);
}

Task<void>
StreamOriginExchange::SendBatches()
{
  while (!m_stop.Reason()) {
    if (!m_batches.empty()) {
      const auto batches = std::make_shared<const StreamOriginBatches>(
        std::exchange(m_batches, {}));
      const ControlCall call{
        .m_method = kTellMethod,
        .m_writeParameters =
          [batches](PackedWriter& aWriter) { WriteBatches(*batches, aWriter); },
        .m_jsonParameters = [batches] { return BatchesToJson(*batches); },
      };
      for (const FleetMember* partner : PartnersOf(m_options.m_fleet)) {
        asio::co_spawn(m_options.m_executor,
                       SendBatch(partner->m_peerAddress, call),
                       asio::detached);
      }
    }
    co_await WaitFor(m_options.m_executor, m_options.m_batchInterval, m_stop);
  }
}

Task<void>
StreamOriginExchange::SendBatch(Endpoint aPeer, ControlCall aCall)
{
  try {
    const SteadyTime deadline = m_options.m_clock.SteadyNow() + kTellTimeout;
    co_await m_options.m_caller.Call(aPeer, std::move(aCall), deadline);
    m_options.m_metrics.Count("rattanweir_stream_origin_batches_total");
  } catch (const std::exception& error) {
    // This instance and the other partner still know the streams.
    m_options.m_metrics.Count("rattanweir_stream_origin_failures_total");
    Log(LogLevel::Debug,
        "stream_origins_not_told",
        { { "peer", aPeer.ToString() }, { "detail", error.what() } });
  }
}

void
StreamOriginExchange::RecordFromPeer(const StreamOriginBatches& aBatches)
{
  for (const auto& [origin, batch] : aBatches) {
    for (const StreamKey key : batch.m_keys) {
      m_origins.Record(key, origin, batch.m_lifetime);
    }
  }
}

OriginAnswer
StreamOriginExchange::AnswerTo(StreamKey aKey) const
{
  return { .m_found = m_origins.Find(aKey),
           .m_memory = m_options.m_clock.SteadyNow() - m_startedAt };
}

std::shared_ptr<StreamOriginExchange::Search>
StreamOriginExchange::StartSearch(StreamKey aKey,
                                  SteadyTime aDeadline,
                                  bool aEndsWithFirst) const
{
  auto search = std::make_shared<Search>();
  search->m_key = aKey;
  search->m_found = m_origins.Find(aKey);
  search->m_endsWithFirst = aEndsWithFirst;
  search->m_deadline = aDeadline;
  return search;
}

Task<std::optional<StreamOrigin>>
StreamOriginExchange::Find(StreamKey aKey, SteadyTime aDeadline)
{
  const auto search = StartSearch(aKey, aDeadline, true);
  for (const bool isLocal : { true, false }) {
    if (search->m_found.m_origin || search->m_found.m_isAmbiguous) {
      break;
    }
    co_await AskPeers(PeersIn(isLocal), search);
  }
  co_return search->m_found.m_origin;
}

Task<std::optional<StreamOrigin>>
StreamOriginExchange::FindCommon(StreamKey aKey,
                                 nanoseconds aMaxAge,
                                 SteadyTime aDeadline)
{
  const auto search = StartSearch(aKey, aDeadline, false);
  const bool hasRestarted = co_await HasFleetRestarted(search, aMaxAge);
  if (hasRestarted) {
    co_return std::nullopt;
  }
  std::vector<FleetMember> peers = PeersIn(true);
  std::ranges::move(PeersIn(false), std::back_inserter(peers));
  co_await AskPeers(std::move(peers), search);
  if (!IsConclusive(HoldersIn(*search, aMaxAge))) {
    m_options.m_metrics.Count("rattanweir_stream_origins_inconclusive_total");
    co_return std::nullopt;
  }
  co_return search->m_found.m_origin;
}

Task<bool>
StreamOriginExchange::HasFleetRestarted(std::shared_ptr<Search> aSearch,
                                        nanoseconds aMaxAge)
{
  constexpr std::size_t kPeersToAsk = 3;
  if (m_options.m_clock.SteadyNow() - m_startedAt >= aMaxAge) {
    co_return false;
  }
  std::vector<FleetMember> peers = PeersIn(false);
  peers.resize(std::min(peers.size(), kPeersToAsk));
  co_await AskPeers(std::move(peers), aSearch);
  const bool hasRestarted =
    std::ranges::any_of(aSearch->m_memories, [&](const auto& aMemory) {
      return aMemory.second < aMaxAge;
    });
  if (hasRestarted) {
    m_options.m_metrics.Count("rattanweir_stream_origins_inconclusive_total");
  }
  co_return hasRestarted;
}

std::vector<OriginHolder>
StreamOriginExchange::HoldersIn(const Search& aSearch,
                                nanoseconds aMaxAge) const
{
  const nanoseconds ownMemory = m_options.m_clock.SteadyNow() - m_startedAt;
  std::vector<OriginHolder> holders = {
    { .m_region = m_options.m_fleet.Self().m_region,
      .m_isCovered = ownMemory >= aMaxAge },
  };
  for (const FleetMember* member :
       m_options.m_fleet.SeenWithin(aMaxAge + kPartitionTime)) {
    const auto memory = aSearch.m_memories.find(member->m_id);
    holders.push_back({ .m_region = member->m_region,
                        .m_isCovered = memory != aSearch.m_memories.end() &&
                                       memory->second >= aMaxAge });
  }
  return holders;
}

std::vector<FleetMember>
StreamOriginExchange::PeersIn(bool aIsLocal) const
{
  const RegionId& region = m_options.m_fleet.Self().m_region;
  std::vector<FleetMember> peers;
  for (const FleetMember* peer : m_options.m_fleet.LivePeers()) {
    if ((peer->m_region == region) == aIsLocal) {
      peers.push_back(
        { .m_id = peer->m_id, .m_peerAddress = peer->m_peerAddress });
    }
  }
  return peers;
}

Task<void>
StreamOriginExchange::AskPeers(std::vector<FleetMember> aPeers,
                               std::shared_ptr<Search> aSearch)
{
  std::erase_if(aPeers, [&](const FleetMember& aPeer) {
    return aSearch->m_memories.contains(aPeer.m_id);
  });
  if (aPeers.empty()) {
    co_return;
  }
  const SteadyTime deadline =
    std::min(aSearch->m_deadline,
             m_options.m_clock.SteadyNow() + m_options.m_askTimeout);
  const auto round =
    std::make_shared<Round>(m_options.m_executor, aPeers.size(), deadline);
  for (const FleetMember& peer : aPeers) {
    asio::co_spawn(
      m_options.m_executor, Ask(peer, round, aSearch), asio::detached);
  }
  boost::system::error_code ignored;
  co_await round->m_end.async_wait(
    asio::redirect_error(asio::use_awaitable, ignored));
}

Task<void>
StreamOriginExchange::Ask(FleetMember aPeer,
                          std::shared_ptr<Round> aRound,
                          std::shared_ptr<Search> aSearch)
{
  try {
    const StreamKey key = aSearch->m_key;
    const auto merge = [aSearch, &aPeer](const OriginAnswer& aAnswer) {
      aSearch->m_found.Merge(aAnswer.m_found);
      aSearch->m_memories[aPeer.m_id] = aAnswer.m_memory;
    };
    ControlCall call{
      .m_method = kAskMethod,
      .m_writeParameters =
        [key](PackedWriter& aWriter) {
          aWriter.pack(static_cast<std::uint64_t>(key));
        },
      .m_readResult =
        [merge](const PackedValue& aResult) { merge(ReadAnswer(aResult)); },
      .m_jsonParameters =
        [key] {
          Json::Value parameters;
          parameters["key"] = Json::UInt64(static_cast<std::uint64_t>(key));
          return parameters;
        },
      .m_readJsonResult =
        [merge](const Json::Value& aResult) { merge(AnswerFromJson(aResult)); },
    };
    co_await m_options.m_caller.Call(
      aPeer.m_peerAddress, std::move(call), aRound->m_deadline);
  } catch (const std::exception& error) {
    m_options.m_metrics.Count("rattanweir_stream_origin_failures_total");
    Log(LogLevel::Debug,
        "stream_origin_not_asked",
        { { "peer", aPeer.m_id.Value() }, { "detail", error.what() } });
  }
  aRound->EndCall(*aSearch);
}

std::vector<const FleetMember*>
PartnersOf(const FleetView& aFleet)
{
  constexpr std::size_t kPartners = 2;
  const FleetMember& self = aFleet.Self();
  const std::string& ownId = self.m_id.Value();
  const std::uint64_t seed = XXH64(ownId.data(), ownId.size(), 0);
  std::vector<std::pair<std::uint64_t, const FleetMember*>> weights;
  for (const FleetMember* peer : aFleet.LivePeers()) {
    const std::string& id = peer->m_id.Value();
    weights.emplace_back(XXH64(id.data(), id.size(), seed), peer);
  }
  std::ranges::sort(weights, std::greater<>());
  std::vector<const FleetMember*> ranked;
  ranked.reserve(weights.size());
  for (const auto& [weight, peer] : weights) {
    ranked.push_back(peer);
  }
  std::vector<const FleetMember*> partners;
  const auto addFirst = [&](const auto& aPredicate) {
    const auto found =
      std::ranges::find_if(ranked, [&](const FleetMember* aPeer) {
        return aPredicate(*aPeer) &&
               std::ranges::find(partners, aPeer) == partners.end();
      });
    const bool isAdded = found != ranked.end();
    if (isAdded) {
      partners.push_back(*found);
    }
    return isAdded;
  };
  const auto isLocal = [&](const FleetMember& aPeer) {
    return aPeer.m_region == self.m_region;
  };
  const auto isInOtherZone = [&](const FleetMember& aPeer) {
    return isLocal(aPeer) && aPeer.m_zone != self.m_zone;
  };
  const auto isRemote = [&](const FleetMember& aPeer) {
    return !isLocal(aPeer);
  };
  if (!addFirst(isInOtherZone)) {
    addFirst(isLocal);
  }
  addFirst(isRemote);
  const auto isAny = [](const FleetMember&) { return true; };
  while (partners.size() < kPartners && addFirst(isAny)) {
  }
  return partners;
}

} // namespace rattanweir
