// Spreads the rows of the fleet among its instances, and what the platform
// publishes to those that the platform turns away.
//
//   Gossip gossip({ .m_executor = executor, .m_fleet = fleet, ... });
//   gossip.Start();
//   std::string response = gossip.HandleCall(request);
//   gossip.Announce();  // on a change that peers should hear of at once
//   gossip.Stop();
//
// Rounds at a fixed interval ask a few random members; an exchange informs
// both sides. For one thread; must outlive the executor's work after Stop.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/cancel/cancel.h"
#include "rattanweir/base/random/random.h"
#include "rattanweir/connection/rpc/rpc.h"
#include "rattanweir/process/fleet/fleet_view.h"
#include "rattanweir/process/metrics/metrics.h"
#include "rattanweir/process/published/published_items.h"
#include "rattanweir/request/exchange/exchange.h"

#include <chrono>
#include <functional>
#include <set>
#include <string>

namespace rattanweir {

struct GossipOptions
{
  Executor m_executor;
  const Clock& m_clock;
  RandomEngine& m_random;
  Upstream& m_upstream;
  FleetView& m_fleet;
  PublishedItems& m_published;
  Metrics& m_metrics;
  std::chrono::nanoseconds m_interval{ std::chrono::milliseconds(500) };
  // Only each of so many rounds goes to other regions, whose links are slow
  // and cost more.
  unsigned m_crossRegionRoundInterval = 2;
  // Brings the own row up to date, before each message.
  std::function<void()> m_updateSelf;
};

class Gossip
{
public:
  explicit Gossip(const GossipOptions& aOptions);
  Gossip(const Gossip&) = delete;
  Gossip& operator=(const Gossip&) = delete;

  void Start();
  void Stop();

  // Tells the own row to all live members of the region, and to one of each
  // other region.
  void Announce();

  // The response to one call of a peer.
  std::string HandleCall(const std::string& aRequest);

  // Whether a member has answered since the start.
  bool HasExchangedWithPeer() const { return m_hasExchangedWithPeer; }

private:
  Task<void> RunRounds();
  Task<void> Exchange(Endpoint aTarget);
  Task<void> SendAnnouncement(Endpoint aTarget, Json::Value aRecord);
  Task<void> FetchTopic(Endpoint aPeer, TopicId aTopic);
  Json::Value HandleGossip(const Json::Value& aParameters);
  Json::Value HandleFetchTopic(const Json::Value& aParameters) const;
  void MergeRecords(const Json::Value& aMessage);
  void FetchNewerTopics(const FleetMember& aPeer);
  void ApplyTopic(const TopicId& aTopic, const Json::Value& aResponse);
  Json::Value NextMessage();

  GossipOptions m_options;
  RpcDispatcher m_dispatcher;
  std::set<TopicId> m_fetching;
  std::set<Endpoint> m_exchanging;
  bool m_hasExchangedWithPeer = false;
  CancelSource m_stop;
};

} // namespace rattanweir
