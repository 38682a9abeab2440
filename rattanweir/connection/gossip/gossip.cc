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

// A peer that takes longer is asked again in a later round.
constexpr std::chrono::milliseconds kCallTimeout{ 1'000 };

} // namespace

Gossip::Gossip(const GossipOptions& aOptions)
  : m_options(aOptions)
{
  m_dispatcher.Register(kGossipMethod, [this](const Json::Value& aParameters) {
    return HandleGossip(aParameters);
  });
  m_dispatcher.Register(kNewsMethod, [this](const Json::Value& aParameters) {
    TakeRows(aParameters);
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
    const bool hasElsewhere = round % m_options.m_roundsForElsewhere == 0;
    for (const Endpoint& target :
         m_options.m_fleet.ChooseTargets(m_options.m_random, hasElsewhere)) {
      asio::co_spawn(m_options.m_executor, Exchange(target), asio::detached);
    }
    co_await WaitFor(m_options.m_executor, m_options.m_interval, m_stop);
  }
}

void
Gossip::Announce()
{
  m_options.m_updateSelf();
  const Json::Value row =
    ToJson(std::vector<FleetMember>{ m_options.m_fleet.AdvanceSelf() });
  const RegionId own = m_options.m_fleet.Self().m_region;
  std::set<RegionId> told;
  for (const FleetMember* peer : m_options.m_fleet.LivePeers()) {
    if (peer->m_region != own && !told.insert(peer->m_region).second) {
      continue;
    }
    asio::co_spawn(
      m_options.m_executor, TellNews(peer->m_peerAddress, row), asio::detached);
  }
}

Task<void>
Gossip::TellNews(Endpoint aTarget, Json::Value aRow)
{
  try {
    PeerCall call;
    call.m_endpoint = aTarget;
    call.m_method = kNewsMethod;
    call.m_parameters = std::move(aRow);
    call.m_deadline = m_options.m_clock.SteadyNow() + kCallTimeout;
    co_await CallPeer(m_options.m_upstream, std::move(call));
  } catch (const std::exception& error) {
    // The rounds bring it later.
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
  return ToJson(m_options.m_fleet.NextMessage(m_options.m_random));
}

Task<void>
Gossip::Exchange(Endpoint aTarget)
{
  // One that is slow is not asked twice at the same time.
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
    TakeRows(response);
    m_hasMetSomeone = true;
    m_options.m_metrics.Count("rattanweir_gossip_exchanges_total");
  } catch (const std::exception& error) {
    // Silence is judged by the age of the rows; the cause is for operators.
    m_options.m_metrics.Count("rattanweir_gossip_failures_total");
    Log(LogLevel::Debug,
        "gossip_failed",
        { { "peer", aTarget.ToString() }, { "detail", error.what() } });
  }
  m_exchanging.erase(aTarget);
}

void
Gossip::TakeRows(const Json::Value& aMessage)
{
  const std::vector<FleetMember> rows = FleetMembersFromJson(aMessage);
  const InstanceId& sender = rows.front().m_id;
  m_options.m_fleet.Merge(rows, sender);
  if (const FleetMember* member = m_options.m_fleet.Find(sender)) {
    FetchNewerTopics(*member);
  }
}

void
Gossip::FetchNewerTopics(const FleetMember& aPeer)
{
  for (const auto& [name, revision] : aPeer.m_publishedRevisions) {
    const TopicId topic(name);
    if (revision <= m_options.m_published.RevisionOf(topic) ||
        !m_fetching.insert(topic).second) {
      continue;
    }
    asio::co_spawn(m_options.m_executor,
                   FetchTopic(aPeer.m_peerAddress, topic),
                   asio::detached);
  }
}

// What a peer read is as good as the platform's own answer at that revision.
Task<void>
Gossip::FetchTopic(Endpoint aPeer, TopicId aTopic)
{
  const std::uint64_t known = m_options.m_published.RevisionOf(aTopic);
  try {
    PeerCall call;
    call.m_endpoint = aPeer;
    call.m_method = kFetchTopicMethod;
    call.m_parameters["topic"] = aTopic.Value();
    call.m_parameters["since"] = Json::UInt64(known);
    call.m_deadline = m_options.m_clock.SteadyNow() + kCallTimeout;
    const Json::Value response =
      co_await CallPeer(m_options.m_upstream, std::move(call));
    // The platform may have told this instance meanwhile.
    if (m_options.m_published.RevisionOf(aTopic) == known) {
      TakeTopic(aTopic, response);
      Log(LogLevel::Info,
          "topic_taken_from_peer",
          { { "topic", aTopic.Value() },
            { "peer", aPeer.ToString() },
            { "revision",
              std::to_string(m_options.m_published.RevisionOf(aTopic)) },
            { "known", std::to_string(known) } });
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
Gossip::TakeTopic(const TopicId& aTopic, const Json::Value& aResponse)
{
  m_options.m_metrics.Count("rattanweir_topics_from_peers_total");
  if (aResponse.isMember("changes")) {
    m_options.m_published.Apply(aTopic, ChangesFromJson(aResponse));
    return;
  }
  TopicSnapshot copy = TopicSnapshotFromJson(aResponse);
  const std::uint64_t asOf = copy.m_revision;
  m_options.m_published.Replace(
    aTopic, std::move(copy), asOf, RemovalReason::Published);
}

std::string
Gossip::HandleCall(const std::string& aRequest)
{
  return m_dispatcher.Handle(aRequest);
}

Json::Value
Gossip::HandleGossip(const Json::Value& aParameters)
{
  TakeRows(aParameters);
  m_hasMetSomeone = true;
  return NextMessage();
}

Json::Value
Gossip::HandleFetchTopic(const Json::Value& aParameters) const
{
  if (!aParameters["topic"].isString()) {
    throw RpcError("topic: expected a text");
  }
  if (!aParameters["since"].isUInt64()) {
    throw RpcError("since: expected a whole number");
  }
  const TopicId topic(aParameters["topic"].asString());
  if (const auto changes = m_options.m_published.ChangesSince(
        topic, aParameters["since"].asUInt64())) {
    return ToJson(*changes);
  }
  const TopicSnapshot* copy = m_options.m_published.Find(topic);
  if (copy == nullptr) {
    throw RpcError("topic: not known here");
  }
  return ToJson(*copy);
}

} // namespace rattanweir
