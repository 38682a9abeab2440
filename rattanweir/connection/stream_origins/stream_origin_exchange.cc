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
  // Peers whose machine refused the connection: the process has ended.
  std::set<InstanceId> m_ended;
  bool m_endsWithFirst = false;
  SteadyTime m_deadline;
};

// One batch of streams on its way to two partners.
struct StreamOriginExchange::Delivery
{
  Delivery(StreamOriginBatches aBatches, SteadyTime aNow)
    : m_batches(std::move(aBatches))
  {
    nanoseconds lifetime{};
    for (const auto& [origin, batch] : m_batches) {
      lifetime = std::max(lifetime, batch.m_lifetime);
    }
    m_expiresAt = aNow + lifetime;
  }

  // Returns the instances that are not to be sent the batch now.
  std::set<InstanceId> Excluded() const
  {
    std::set<InstanceId> excluded = m_partners;
    excluded.insert(m_failed.begin(), m_failed.end());
    return excluded;
  }

  StreamOriginBatches m_batches;
  SteadyTime m_expiresAt;
  // The instances that have confirmed the batch or may still do so, and those
  // that did not in this round.
  std::set<InstanceId> m_partners;
  std::set<InstanceId> m_failed;
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
  , m_receivesSince(aOptions.m_clock.SteadyNow())
  , m_lastTickAt(m_receivesSince)
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
    CheckStandstill();
    if (!m_batches.empty()) {
      const auto delivery = std::make_shared<Delivery>(
        std::exchange(m_batches, {}), m_options.m_clock.SteadyNow());
      for (const PartnerRole role :
           { PartnerRole::Local, PartnerRole::Remote }) {
        asio::co_spawn(
          m_options.m_executor, Deliver(delivery, role), asio::detached);
      }
    }
    co_await WaitFor(m_options.m_executor, m_options.m_batchInterval, m_stop);
  }
}

void
StreamOriginExchange::CheckStandstill()
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  if (now - m_lastTickAt >
      m_options.m_batchInterval + m_options.m_maxStandstill) {
    m_receivesSince = now;
    m_options.m_metrics.Count("rattanweir_stream_origin_standstills_total");
    Log(LogLevel::Info,
        "stream_origins_missed",
        { { "stood_still_ms",
            std::to_string(
              std::chrono::duration_cast<milliseconds>(now - m_lastTickAt)
                .count()) } });
  }
  m_lastTickAt = now;
}

nanoseconds
StreamOriginExchange::Memory() const
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  // The next tick notices that this instance has just stood still.
  return now - m_lastTickAt >
             m_options.m_batchInterval + m_options.m_maxStandstill
           ? nanoseconds::zero()
           : now - m_receivesSince;
}

Task<void>
StreamOriginExchange::Deliver(std::shared_ptr<Delivery> aDelivery,
                              PartnerRole aRole)
{
  const ControlCall call{
    .m_method = kTellMethod,
    .m_writeParameters =
      [aDelivery](PackedWriter& aWriter) {
        WriteBatches(aDelivery->m_batches, aWriter);
      },
    .m_jsonParameters =
      [aDelivery] { return BatchesToJson(aDelivery->m_batches); },
  };
  while (!m_stop.Reason() &&
         m_options.m_clock.SteadyNow() < aDelivery->m_expiresAt) {
    const FleetMember* partner =
      PartnerFor(m_options.m_fleet, aRole, aDelivery->Excluded());
    if (partner == nullptr) {
      const bool isComplete =
        aDelivery->m_failed.empty() &&
        (!m_options.m_fleet.LivePeers().empty() ||
         m_options.m_fleet.SeenWithin(kPartitionTime).empty());
      if (isComplete) {
        // The other role's partner is the only peer, or there is none.
        co_return;
      }
      aDelivery->m_failed.clear();
      co_await WaitFor(m_options.m_executor, m_options.m_retryDelay, m_stop);
      continue;
    }
    const InstanceId id = partner->m_id;
    const Endpoint address = partner->m_peerAddress;
    aDelivery->m_partners.insert(id);
    if (co_await SendBatch(address, call)) {
      co_return;
    }
    aDelivery->m_partners.erase(id);
    aDelivery->m_failed.insert(id);
  }
}

Task<bool>
StreamOriginExchange::SendBatch(Endpoint aPeer, ControlCall aCall)
{
  try {
    const SteadyTime deadline =
      m_options.m_clock.SteadyNow() + m_options.m_tellTimeout;
    co_await m_options.m_caller.Call(aPeer, std::move(aCall), deadline);
    m_options.m_metrics.Count("rattanweir_stream_origin_batches_total");
    co_return true;
  } catch (const std::exception& error) {
    m_options.m_metrics.Count("rattanweir_stream_origin_failures_total");
    Log(LogLevel::Debug,
        "stream_origins_not_told",
        { { "peer", aPeer.ToString() }, { "detail", error.what() } });
    co_return false;
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
  return { .m_found = m_origins.Find(aKey), .m_memory = Memory() };
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
  std::ranges::move(StaleHolders(aMaxAge), std::back_inserter(peers));
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
  if (Memory() >= aMaxAge) {
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
  std::vector<OriginHolder> holders = {
    { .m_region = m_options.m_fleet.Self().m_region,
      .m_isCovered = Memory() >= aMaxAge },
  };
  for (const FleetMember* member :
       m_options.m_fleet.SeenWithin(aMaxAge + kPartitionTime)) {
    const auto memory = aSearch.m_memories.find(member->m_id);
    const bool hasAnswered = memory != aSearch.m_memories.end();
    holders.push_back({ .m_region = member->m_region,
                        .m_isCovered = hasAnswered && memory->second >= aMaxAge,
                        .m_isSilent = !hasAnswered && !aSearch.m_ended.contains(
                                                        member->m_id) });
  }
  return holders;
}

std::vector<FleetMember>
StreamOriginExchange::StaleHolders(nanoseconds aMaxAge) const
{
  const auto holders = m_options.m_fleet.SeenWithin(aMaxAge + kPartitionTime);
  const auto live = m_options.m_fleet.LivePeers();
  std::vector<FleetMember> stale;
  if (holders.size() >= kOriginHolders) {
    return stale;
  }
  for (const FleetMember* holder : holders) {
    if (std::ranges::find(live, holder) == live.end()) {
      stale.push_back(
        { .m_id = holder->m_id, .m_peerAddress = holder->m_peerAddress });
    }
  }
  return stale;
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
    if (dynamic_cast<const ConnectionRefused*>(&error) != nullptr) {
      aSearch->m_ended.insert(aPeer.m_id);
    }
    m_options.m_metrics.Count("rattanweir_stream_origin_failures_total");
    Log(LogLevel::Debug,
        "stream_origin_not_asked",
        { { "peer", aPeer.m_id.Value() }, { "detail", error.what() } });
  }
  aRound->EndCall(*aSearch);
}

const FleetMember*
PartnerFor(const FleetView& aFleet,
           PartnerRole aRole,
           const std::set<InstanceId>& aExcluded)
{
  const FleetMember& self = aFleet.Self();
  const std::string& ownId = self.m_id.Value();
  const std::uint64_t seed = XXH64(ownId.data(), ownId.size(), 0);
  // How well a peer suits the role; the hash decides between equals.
  const auto suitability = [&](const FleetMember& aPeer) {
    const bool isLocal = aPeer.m_region == self.m_region;
    if (aRole == PartnerRole::Remote) {
      return isLocal ? 0 : 1;
    }
    const int inRegion = aPeer.m_zone == self.m_zone ? 1 : 2;
    return isLocal ? inRegion : 0;
  };
  const FleetMember* best = nullptr;
  std::pair<int, std::uint64_t> bestRank;
  for (const FleetMember* peer : aFleet.LivePeers()) {
    if (aExcluded.contains(peer->m_id)) {
      continue;
    }
    const std::string& id = peer->m_id.Value();
    const std::pair rank(suitability(*peer), XXH64(id.data(), id.size(), seed));
    if (best == nullptr || rank > bestRank) {
      best = peer;
      bestRank = rank;
    }
  }
  return best;
}

std::vector<const FleetMember*>
PartnersOf(const FleetView& aFleet)
{
  std::vector<const FleetMember*> partners;
  std::set<InstanceId> chosen;
  for (const PartnerRole role : { PartnerRole::Local, PartnerRole::Remote }) {
    if (const FleetMember* partner = PartnerFor(aFleet, role, chosen)) {
      partners.push_back(partner);
      chosen.insert(partner->m_id);
    }
  }
  return partners;
}

} // namespace rattanweir
