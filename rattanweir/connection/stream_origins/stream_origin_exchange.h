// Users' platform (settings with `fleet`): makes the origins of streams known
// to several instances, so that a caller that loses its instance can take its
// stream up at any other one.
//
//   StreamOriginExchange exchange({ .m_executor = executor, ... });
//   exchange.Start();
//   exchange.Record(key, origin, lifetime);
//   const auto origin = co_await exchange.Find(key, deadline);
//   exchange.Stop();
//
// An instance tells its two partners which streams it has begun, in batches at
// a short interval: one partner is in its own region, if possible in another
// availability zone, and one in another region. A partner that does not confirm
// a batch is replaced by another instance. An instance that does not know
// a stream asks the peers of its region, all at once, and then all others: the
// stream is known unless its instance and both partners have ended. Callers
// take up few streams, so the calls for this are rare, while streams begin all
// the time. Nothing is stored elsewhere.
//
// Several streams may have a common key. One origin that some instances know
// does not stand for all of them: after a restart of all instances, only the
// streams that began since are known. `origin_coverage.h` decides whether the
// answers are conclusive. An instance that stood still, or was cut off from all
// others, has missed batches: its memory reaches back only to the end of that.
//
// Not thread-safe. Must outlive the work that remains on the executor after
// Stop.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/cancel/cancel.h"
#include "rattanweir/connection/packed_rpc/control_caller.h"
#include "rattanweir/connection/packed_rpc/packed_rpc.h"
#include "rattanweir/connection/rpc/rpc.h"
#include "rattanweir/connection/stream_origins/stream_origin_messages.h"
#include "rattanweir/process/fleet/fleet_view.h"
#include "rattanweir/process/metrics/metrics.h"
#include "rattanweir/process/stream_origins/origin_coverage.h"
#include "rattanweir/process/stream_origins/stream_origins.h"
#include "rattanweir/request/gateway/stream_origin_directory.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace rattanweir {

struct StreamOriginExchangeOptions
{
  Executor m_executor;
  const Clock& m_clock;
  ControlCaller& m_caller;
  const FleetView& m_fleet;
  Metrics& m_metrics;
  // Receive the methods that peers call, in MessagePack and in JSON.
  PackedDispatcher& m_dispatcher;
  RpcDispatcher& m_jsonDispatcher;
  std::chrono::nanoseconds m_batchInterval{ std::chrono::milliseconds(100) };
  std::chrono::nanoseconds m_askTimeout{ std::chrono::milliseconds(500) };
  // How long a partner may take to confirm a batch, and the delay before a
  // batch that nobody confirmed is sent again.
  std::chrono::nanoseconds m_tellTimeout{ std::chrono::milliseconds(600) };
  std::chrono::nanoseconds m_retryDelay{ std::chrono::milliseconds(200) };
  // Shorter than m_tellTimeout: an instance that stands still for longer may
  // have missed a batch.
  std::chrono::nanoseconds m_maxStandstill{ std::chrono::milliseconds(400) };
};

// What an instance is chosen for that is told of another one's streams.
enum class PartnerRole
{
  // In the same region, if possible in another availability zone.
  Local,
  // In another region.
  Remote,
};

class StreamOriginExchange final : public StreamOriginDirectory
{
public:
  explicit StreamOriginExchange(const StreamOriginExchangeOptions& aOptions);
  StreamOriginExchange(const StreamOriginExchange&) = delete;
  StreamOriginExchange& operator=(const StreamOriginExchange&) = delete;

  // Starts sending batches.
  void Start();
  void Stop();

  void Record(StreamKey aKey,
              const StreamOrigin& aOrigin,
              std::chrono::nanoseconds aLifetime) override;

  Task<std::optional<StreamOrigin>> Find(StreamKey aKey,
                                         SteadyTime aDeadline) override;

  Task<std::optional<StreamOrigin>> FindCommon(StreamKey aKey,
                                               std::chrono::nanoseconds aMaxAge,
                                               SteadyTime aDeadline) override;

  // Returns the number of streams that this instance knows.
  std::size_t Size() const { return m_origins.Size(); }

private:
  struct Search;
  struct Round;
  struct Delivery;

  Task<void> SendBatches();
  // Sends a batch until an instance confirms it that suits the role, or until
  // its streams have lapsed.
  Task<void> Deliver(std::shared_ptr<Delivery> aDelivery, PartnerRole aRole);
  // Returns whether the peer confirmed the batch.
  Task<bool> SendBatch(Endpoint aPeer, ControlCall aCall);
  // Notices that this instance stood still until now.
  void CheckStandstill();
  // Returns how far back this instance knows what it was told.
  std::chrono::nanoseconds Memory() const;
  void RecordFromPeer(const StreamOriginBatches& aBatches);
  void RegisterMethods();
  void RegisterJsonMethods();
  // Asks peers and merges what they know into the search. Ends with the first
  // origin if the search does, or with the last answer.
  Task<void> AskPeers(std::vector<FleetMember> aPeers,
                      std::shared_ptr<Search> aSearch);
  Task<void> Ask(FleetMember aPeer,
                 std::shared_ptr<Round> aRound,
                 std::shared_ptr<Search> aSearch);
  OriginAnswer AnswerTo(StreamKey aKey) const;
  std::shared_ptr<Search> StartSearch(StreamKey aKey,
                                      SteadyTime aDeadline,
                                      bool aEndsWithFirst) const;
  // Returns this instance and the members that may have known the stream, and
  // whether the search has covered them.
  std::vector<OriginHolder> HoldersIn(const Search& aSearch,
                                      std::chrono::nanoseconds aMaxAge) const;
  // Returns whether this instance and a peer of another region have started so
  // recently that no answer of the others is conclusive. Asks a few peers.
  Task<bool> HasFleetRestarted(std::shared_ptr<Search> aSearch,
                               std::chrono::nanoseconds aMaxAge);
  // Returns the members that are not live any more and may still have to be
  // asked, because the fleet is so small that each of them counts.
  std::vector<FleetMember> StaleHolders(std::chrono::nanoseconds aMaxAge) const;
  // Returns the live peers in this region, or the others.
  std::vector<FleetMember> PeersIn(bool aIsLocal) const;

  StreamOriginExchangeOptions m_options;
  StreamOrigins m_origins;
  // When this instance last began to receive what it is told: at its start, or
  // after it had stood still.
  SteadyTime m_receivesSince;
  SteadyTime m_lastTickAt;
  StreamOriginBatches m_batches;
  CancelSource m_stop;
};

// Returns the live peer that suits the role best, by a hash of both ids,
// without those that are excluded; null if there is none. If no peer suits, any
// other is chosen.
const FleetMember*
PartnerFor(const FleetView& aFleet,
           PartnerRole aRole,
           const std::set<InstanceId>& aExcluded);

// Returns the live peers that this instance tells of its streams: two, if the
// fleet has as many.
std::vector<const FleetMember*>
PartnersOf(const FleetView& aFleet);

} // namespace rattanweir
