// Users' platform (settings with `fleet`): exchanges member records between
// instances, and copies published topics from peers that have a newer revision,
// so that instances which the platform's store does not serve stay up to date.
//
//   Gossip gossip({ .m_executor = executor, .m_fleet = fleet, ... });
//   gossip.Start();
//   std::string response = gossip.HandleCall(request);
//   gossip.Announce();  // sends a change to peers immediately
//   gossip.Stop();
//
// In each round, which starts at a fixed interval, the instance exchanges
// records with a few random members. Both sides of an exchange send their
// records. Not thread-safe. Must outlive the work that remains on the executor
// after Stop.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/cancel/cancel.h"
#include "rattanweir/base/random/random.h"
#include "rattanweir/connection/gossip/packed_gossip.h"
#include "rattanweir/connection/packed_rpc/control_caller.h"
#include "rattanweir/connection/packed_rpc/packed_rpc.h"
#include "rattanweir/connection/rpc/rpc.h"
#include "rattanweir/process/crash_quarantine/crash_quarantine.h"
#include "rattanweir/process/fleet/fleet_view.h"
#include "rattanweir/process/metrics/metrics.h"
#include "rattanweir/process/published/published_items.h"
#include "rattanweir/request/exchange/exchange.h"

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rattanweir {

// Sets the versions and fingerprints of the published topics in a record.
void
AdvertiseTopics(const PublishedItems& aPublished, FleetMember& aRecord);

struct GossipOptions
{
  Executor m_executor;
  const Clock& m_clock;
  RandomEngine& m_random;
  Upstream& m_upstream;
  FleetView& m_fleet;
  PublishedItems& m_published;
  Metrics& m_metrics;
  // Time between the starts of two rounds.
  std::chrono::nanoseconds m_interval{ std::chrono::milliseconds(500) };
  // Every Nth round includes members of other regions. Links between regions
  // are slower and cost more.
  unsigned m_crossRegionRoundInterval = 2;
  // If set, its reports travel with each message.
  CrashQuarantine* m_quarantine = nullptr;
  // Called before an outgoing message that increments this instance's sequence
  // number; updates this instance's record in `m_fleet`.
  std::function<void()> m_updateSelf;
};

class Gossip
{
public:
  explicit Gossip(const GossipOptions& aOptions);
  Gossip(const Gossip&) = delete;
  Gossip& operator=(const Gossip&) = delete;

  // Starts the periodic rounds.
  void Start();
  // Ends the periodic rounds. Calls in flight still complete.
  void Stop();

  // Sends this instance's record to all live members of its region, and to one
  // live member of each other region.
  void Announce();

  // Sends what the quarantine knows to a few random members, which pass on what
  // is new to them.
  void SpreadQuarantine();

  // Return the dispatchers of the calls that HandleCall receives, in
  // MessagePack and in JSON, for further methods.
  PackedDispatcher& Dispatcher() { return m_dispatcher; }
  RpcDispatcher& JsonDispatcher() { return m_jsonDispatcher; }

  // Returns what sends calls to peers, for further methods.
  ControlCaller& Caller() { return m_caller; }

  // Handles one call of a peer and returns the response in the same encoding.
  std::string HandleCall(const std::string& aRequest);

  // Returns true if at least one exchange has succeeded, whichever side started
  // it.
  bool HasExchangedWithPeer() const { return m_hasExchangedWithPeer; }

private:
  Task<void> RunRounds();
  Task<void> Exchange(Endpoint aTarget);
  Task<void> SendNews(Endpoint aTarget, ControlCall aCall);
  Task<void> FetchTopic(Endpoint aPeer, TopicId aTopic);
  void RegisterMethods();
  void RegisterJsonMethods();

  // Writes the next message, [records, suspects]. `aReceiver` may be nullptr.
  void WriteMessage(const FleetMember* aReceiver, PackedWriter& aWriter);
  // Returns the sender.
  InstanceId ReadMessage(const PackedValue& aMessage);
  Json::Value NextJsonMessage();
  void ReadJsonMessage(const Json::Value& aMessage);

  std::vector<OutgoingRecord> NextRecords(const FleetMember* aReceiver);
  void MergeRecords(const std::vector<FleetMember>& aRecords);
  void MergeSuspects(const std::vector<SuspectReport>& aReports);
  std::vector<SuspectReport> SuspectsToAdvertise() const;

  void FetchNewerTopics(const FleetMember& aPeer);
  ControlCall TopicCall(const TopicId& aTopic,
                        const TopicVersion& aKnown,
                        const std::shared_ptr<TopicUpdate>& aUpdate) const;
  // Throws RpcError if this instance doesn't know the topic.
  TopicUpdate UpdateSince(const TopicId& aTopic,
                          const TopicVersion& aKnown) const;
  void ApplyUpdate(const TopicId& aTopic, TopicUpdate aUpdate);

  GossipOptions m_options;
  ControlCaller m_caller;
  PackedDispatcher m_dispatcher;
  RpcDispatcher m_jsonDispatcher;
  // Topics with a fetch in flight.
  std::set<TopicId> m_fetching;
  // Peers with an exchange in flight that this instance started.
  std::set<Endpoint> m_exchanging;
  bool m_hasExchangedWithPeer = false;
  CancelSource m_stop;
};

} // namespace rattanweir
