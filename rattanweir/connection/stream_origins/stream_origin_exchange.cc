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

// The state of one search, shared by the calls to the peers.
struct StreamOriginExchange::Search
{
  explicit Search(const Executor& aExecutor)
    : m_end(aExecutor)
  {
  }

  void EndCall()
  {
    if (--m_callsLeft == 0 || (m_endsWithFirst && m_found.m_origin)) {
      m_end.cancel();
    }
  }

  FoundOrigin m_found;
  bool m_endsWithFirst = false;
  std::size_t m_callsLeft = 0;
  SteadyTime m_deadline;
  asio::steady_timer m_end;
};

StreamOriginExchange::StreamOriginExchange(
  const StreamOriginExchangeOptions& aOptions)
  : m_options(aOptions)
  , m_origins({ .m_clock = aOptions.m_clock })
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
      WriteFoundOrigin(m_origins.Find(key), aResult);
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
      return FoundOriginToJson(m_origins.Find(KeyFromJson(aParameters)));
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

Task<std::optional<StreamOrigin>>
StreamOriginExchange::Find(StreamKey aKey, SteadyTime aDeadline)
{
  FoundOrigin found = m_origins.Find(aKey);
  for (const bool isLocal : { true, false }) {
    if (found.m_origin || found.m_isAmbiguous) {
      break;
    }
    found = co_await AskPeers(PeersIn(isLocal), aKey, aDeadline, found, true);
  }
  co_return found.m_origin;
}

Task<std::optional<StreamOrigin>>
StreamOriginExchange::FindCommon(StreamKey aKey, SteadyTime aDeadline)
{
  std::vector<Endpoint> peers = PeersIn(true);
  const std::vector<Endpoint> others = PeersIn(false);
  peers.insert(peers.end(), others.begin(), others.end());
  const FoundOrigin known = m_origins.Find(aKey);
  const FoundOrigin found =
    co_await AskPeers(std::move(peers), aKey, aDeadline, known, false);
  co_return found.m_origin;
}

std::vector<Endpoint>
StreamOriginExchange::PeersIn(bool aIsLocal) const
{
  const RegionId& region = m_options.m_fleet.Self().m_region;
  std::vector<Endpoint> peers;
  for (const FleetMember* peer : m_options.m_fleet.LivePeers()) {
    if ((peer->m_region == region) == aIsLocal) {
      peers.push_back(peer->m_peerAddress);
    }
  }
  return peers;
}

Task<FoundOrigin>
StreamOriginExchange::AskPeers(std::vector<Endpoint> aPeers,
                               StreamKey aKey,
                               SteadyTime aDeadline,
                               FoundOrigin aKnown,
                               bool aEndsWithFirst)
{
  if (aPeers.empty()) {
    co_return aKnown;
  }
  const SteadyTime now = m_options.m_clock.SteadyNow();
  const auto search = std::make_shared<Search>(m_options.m_executor);
  search->m_found = std::move(aKnown);
  search->m_endsWithFirst = aEndsWithFirst;
  search->m_callsLeft = aPeers.size();
  search->m_deadline = std::min(aDeadline, now + m_options.m_askTimeout);
  search->m_end.expires_after(search->m_deadline - now);
  for (const Endpoint& peer : aPeers) {
    asio::co_spawn(
      m_options.m_executor, Ask(peer, aKey, search), asio::detached);
  }
  boost::system::error_code ignored;
  co_await search->m_end.async_wait(
    asio::redirect_error(asio::use_awaitable, ignored));
  co_return search->m_found;
}

Task<void>
StreamOriginExchange::Ask(Endpoint aPeer,
                          StreamKey aKey,
                          std::shared_ptr<Search> aSearch)
{
  try {
    const auto merge = [aSearch](const FoundOrigin& aFound) {
      aSearch->m_found.Merge(aFound);
    };
    ControlCall call{
      .m_method = kAskMethod,
      .m_writeParameters =
        [aKey](PackedWriter& aWriter) {
          aWriter.pack(static_cast<std::uint64_t>(aKey));
        },
      .m_readResult =
        [merge](const PackedValue& aResult) {
          merge(ReadFoundOrigin(aResult));
        },
      .m_jsonParameters =
        [aKey] {
          Json::Value parameters;
          parameters["key"] = Json::UInt64(static_cast<std::uint64_t>(aKey));
          return parameters;
        },
      .m_readJsonResult =
        [merge](const Json::Value& aResult) {
          merge(FoundOriginFromJson(aResult));
        },
    };
    co_await m_options.m_caller.Call(
      aPeer, std::move(call), aSearch->m_deadline);
  } catch (const std::exception& error) {
    m_options.m_metrics.Count("rattanweir_stream_origin_failures_total");
    Log(LogLevel::Debug,
        "stream_origin_not_asked",
        { { "peer", aPeer.ToString() }, { "detail", error.what() } });
  }
  aSearch->EndCall();
}

std::vector<const FleetMember*>
PartnersOf(const FleetView& aFleet)
{
  constexpr std::size_t kPartners = 2;
  const FleetMember& self = aFleet.Self();
  const std::string& ownId = self.m_id.Value();
  const std::uint64_t seed = XXH64(ownId.data(), ownId.size(), 0);
  std::vector<const FleetMember*> ranked = aFleet.LivePeers();
  std::ranges::sort(ranked, std::greater<>(), [&](const FleetMember* aPeer) {
    const std::string& id = aPeer->m_id.Value();
    return XXH64(id.data(), id.size(), seed);
  });
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
