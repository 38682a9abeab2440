#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/gossip/gossip.h"

#include "rattanweir/connection/control/peer_call.h"
#include "rattanweir/connection/gossip/gossip_messages.h"
#include "rattanweir/process/logging/log.h"
#include "rattanweir/request/wait/wait.h"

#include <exception>
#include <utility>

namespace rattanweir {
namespace {

// A call that times out is retried in a later round.
constexpr std::chrono::milliseconds kCallTimeout{ 1'000 };

} // namespace

Gossip::Gossip(const GossipOptions& aOptions)
  : m_options(aOptions)
{
  m_dispatcher.Register(kGossipMethod, [this](const Json::Value& aParameters) {
    return HandleGossip(aParameters);
  });
  m_dispatcher.Register(kAnnounceMethod,
                        [this](const Json::Value& aParameters) {
                          MergeRecords(aParameters);
                          return Json::Value(Json::objectValue);
                        });
  m_dispatcher.Register(kQuarantineMethod,
                        [this](const Json::Value& aParameters) {
                          MergeQuarantine(aParameters);
                          return Json::Value(Json::objectValue);
                        });
  m_dispatcher.Register(kFetchTopicMethod,
                        [this](const Json::Value& aParameters) {
                          return HandleFetchTopic(aParameters);
                        });
}

void
Gossip::Start()
{
  asio::co_spawn(m_options.m_executor, RunRounds(), asio::detached);
}

void
Gossip::Stop()
{
  m_stop.Cancel(ResultCode::InstanceDraining);
}

Task<void>
Gossip::RunRounds()
{
  for (unsigned round = 0; !m_stop.Reason(); ++round) {
    const bool includesOtherRegions =
      round % m_options.m_crossRegionRoundInterval == 0;
    for (const Endpoint& target : m_options.m_fleet.ChooseTargets(
           m_options.m_random, includesOtherRegions)) {
      asio::co_spawn(m_options.m_executor, Exchange(target), asio::detached);
    }
    co_await WaitFor(m_options.m_executor, m_options.m_interval, m_stop);
  }
}

void
Gossip::Announce()
{
  m_options.m_updateSelf();
  const Json::Value record =
    ToJson(std::vector<FleetMember>{ m_options.m_fleet.AdvanceSelf() });
  const RegionId localRegion = m_options.m_fleet.Self().m_region;
  std::set<RegionId> notifiedRegions;
  for (const FleetMember* peer : m_options.m_fleet.LivePeers()) {
    if (peer->m_region != localRegion &&
        !notifiedRegions.insert(peer->m_region).second) {
      continue;
    }
    asio::co_spawn(m_options.m_executor,
                   SendNews(peer->m_peerAddress, kAnnounceMethod, record),
                   asio::detached);
  }
}

void
Gossip::SpreadQuarantine()
{
  Json::Value message;
  AddQuarantine(m_options.m_quarantine->ToAdvertise(), message);
  for (const Endpoint& target :
       m_options.m_fleet.ChooseNewsTargets(m_options.m_random)) {
    asio::co_spawn(m_options.m_executor,
                   SendNews(target, kQuarantineMethod, message),
                   asio::detached);
  }
}

void
Gossip::MergeQuarantine(const Json::Value& aMessage)
{
  if (m_options.m_quarantine != nullptr) {
    m_options.m_quarantine->Merge(QuarantineFromJson(aMessage));
  }
}

Task<void>
Gossip::SendNews(Endpoint aTarget, std::string aMethod, Json::Value aParameters)
{
  try {
    PeerCall call;
    call.m_endpoint = aTarget;
    call.m_method = std::move(aMethod);
    call.m_parameters = std::move(aParameters);
    call.m_deadline = m_options.m_clock.SteadyNow() + kCallTimeout;
    co_await CallPeer(m_options.m_upstream, std::move(call));
  } catch (const std::exception& error) {
    // A later round delivers the news.
    m_options.m_metrics.Count("rattanweir_gossip_failures_total");
    Log(LogLevel::Debug,
        "news_failed",
        { { "peer", aTarget.ToString() }, { "detail", error.what() } });
  }
}

Json::Value
Gossip::NextMessage()
{
  m_options.m_updateSelf();
  Json::Value message =
    ToJson(m_options.m_fleet.NextMessage(m_options.m_random));
  if (m_options.m_quarantine != nullptr) {
    AddQuarantine(m_options.m_quarantine->ToAdvertise(), message);
  }
  return message;
}

Task<void>
Gossip::Exchange(Endpoint aTarget)
{
  // Avoids concurrent exchanges with a slow peer.
  if (!m_exchanging.insert(aTarget).second) {
    co_return;
  }
  try {
    PeerCall call;
    call.m_endpoint = aTarget;
    call.m_method = kGossipMethod;
    call.m_parameters = NextMessage();
    call.m_deadline = m_options.m_clock.SteadyNow() + kCallTimeout;
    const Json::Value response =
      co_await CallPeer(m_options.m_upstream, std::move(call));
    MergeRecords(response);
    m_hasExchangedWithPeer = true;
    m_options.m_metrics.Count("rattanweir_gossip_exchanges_total");
  } catch (const std::exception& error) {
    // A failure does not mark the peer as stale: FleetView does that by the age
    // of its record. The cause is logged for operators.
    m_options.m_metrics.Count("rattanweir_gossip_failures_total");
    Log(LogLevel::Debug,
        "gossip_failed",
        { { "peer", aTarget.ToString() }, { "detail", error.what() } });
  }
  m_exchanging.erase(aTarget);
}

void
Gossip::MergeRecords(const Json::Value& aMessage)
{
  const std::vector<FleetMember> records = FleetMembersFromJson(aMessage);
  const InstanceId& sender = records.front().m_id;
  MergeQuarantine(aMessage);
  m_options.m_fleet.Merge(records, sender);
  if (const FleetMember* member = m_options.m_fleet.Find(sender)) {
    FetchNewerTopics(*member);
  }
}

void
Gossip::FetchNewerTopics(const FleetMember& aPeer)
{
  for (const auto& [name, version] : aPeer.m_publishedVersions) {
    const TopicId topic(name);
    if (version <= m_options.m_published.VersionOf(topic) ||
        !m_fetching.insert(topic).second) {
      continue;
    }
    asio::co_spawn(m_options.m_executor,
                   FetchTopic(aPeer.m_peerAddress, topic),
                   asio::detached);
  }
}

// A peer's copy of a topic is equivalent to the store's response at the same
// version.
Task<void>
Gossip::FetchTopic(Endpoint aPeer, TopicId aTopic)
{
  const TopicVersion known = m_options.m_published.VersionOf(aTopic);
  try {
    PeerCall call;
    call.m_endpoint = aPeer;
    call.m_method = kFetchTopicMethod;
    call.m_parameters["topic"] = aTopic.Value();
    call.m_parameters["since"] = Json::UInt64(known.m_revision);
    call.m_parameters["epoch"] = Json::UInt64(known.m_epoch.Value());
    call.m_deadline = m_options.m_clock.SteadyNow() + kCallTimeout;
    const Json::Value response =
      co_await CallPeer(m_options.m_upstream, std::move(call));
    // Discards the response if the topic changed during the call, for example
    // by a read from the store.
    if (m_options.m_published.VersionOf(aTopic) == known) {
      ApplyTopic(aTopic, response);
      const TopicVersion now = m_options.m_published.VersionOf(aTopic);
      Log(LogLevel::Info,
          "topic_taken_from_peer",
          { { "topic", aTopic.Value() },
            { "peer", aPeer.ToString() },
            { "epoch", std::to_string(now.m_epoch.Value()) },
            { "revision", std::to_string(now.m_revision) },
            { "known", std::to_string(known.m_revision) } });
    }
  } catch (const std::exception& error) {
    Log(LogLevel::Info,
        "topic_fetch_failed",
        { { "topic", aTopic.Value() },
          { "peer", aPeer.ToString() },
          { "detail", error.what() } });
  }
  m_fetching.erase(aTopic);
}

void
Gossip::ApplyTopic(const TopicId& aTopic, const Json::Value& aResponse)
{
  m_options.m_metrics.Count("rattanweir_topics_from_peers_total");
  if (aResponse.isMember("changes")) {
    // Changes are sent only to an instance that has a version of their epoch.
    m_options.m_published.Apply(aTopic,
                                m_options.m_published.VersionOf(aTopic).m_epoch,
                                ChangesFromJson(aResponse));
    return;
  }
  TopicSnapshot snapshot = TopicSnapshotFromJson(aResponse);
  const TopicVersion version = snapshot.m_version;
  m_options.m_published.Replace(
    aTopic, std::move(snapshot), version, RemovalReason::Published);
}

std::string
Gossip::HandleCall(const std::string& aRequest)
{
  return m_dispatcher.Handle(aRequest);
}

Json::Value
Gossip::HandleGossip(const Json::Value& aParameters)
{
  MergeRecords(aParameters);
  m_hasExchangedWithPeer = true;
  return NextMessage();
}

Json::Value
Gossip::HandleFetchTopic(const Json::Value& aParameters) const
{
  if (!aParameters["topic"].isString()) {
    throw RpcError("topic: expected a string");
  }
  const TopicId topic(aParameters["topic"].asString());
  if (const auto changes = m_options.m_published.ChangesSince(
        topic, VersionFromJson(aParameters, "since"))) {
    return ToJson(*changes);
  }
  const TopicSnapshot* snapshot = m_options.m_published.Find(topic);
  if (snapshot == nullptr) {
    throw RpcError("topic: unknown to this instance");
  }
  return ToJson(*snapshot);
}

} // namespace rattanweir
