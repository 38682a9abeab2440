#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/gossip/gossip.h"

#include "rattanweir/connection/gossip/gossip_messages.h"
#include "rattanweir/process/logging/log.h"
#include "rattanweir/request/wait/wait.h"

#include <exception>
#include <optional>
#include <utility>

namespace rattanweir {
namespace {

// A call that times out is retried in a later round.
constexpr std::chrono::milliseconds kCallTimeout{ 1'000 };

constexpr std::uint32_t kMessageFields = 2;
constexpr std::uint32_t kTopicCallFields = 3;

void
IgnoreResult(PackedWriter& aResult)
{
  aResult.pack_nil();
}

} // namespace

void
AdvertiseTopics(const PublishedItems& aPublished, FleetMember& aRecord)
{
  aRecord.m_publishedVersions.clear();
  aRecord.m_publishedFingerprints.clear();
  for (const auto& [topic, version] : aPublished.Versions()) {
    aRecord.m_publishedVersions.emplace(topic.Value(), version);
    if (const auto fingerprint = aPublished.FingerprintOf(topic)) {
      aRecord.m_publishedFingerprints.emplace(topic.Value(), *fingerprint);
    }
  }
}

Gossip::Gossip(const GossipOptions& aOptions)
  : m_options(aOptions)
  , m_caller({ .m_upstream = aOptions.m_upstream,
               .m_clock = aOptions.m_clock,
               .m_metrics = aOptions.m_metrics })
{
  m_dispatcher.OnHandled([this](std::string_view aMethod) {
    m_options.m_metrics.Count("rattanweir_control_" + std::string(aMethod) +
                              "_handled_total");
  });
  RegisterMethods();
  RegisterJsonMethods();
}

void
Gossip::RegisterMethods()
{
  m_dispatcher.Register(
    kGossipMethod, [this](const PackedValue& aMessage, PackedWriter& aResult) {
      const InstanceId sender = ReadMessage(aMessage);
      WriteMessage(m_options.m_fleet.Find(sender), aResult);
    });
  m_dispatcher.Register(
    kAnnounceMethod,
    [this](const PackedValue& aRecords, PackedWriter& aResult) {
      MergeRecords(ReadRecords(aRecords, m_options.m_fleet));
      IgnoreResult(aResult);
    });
  m_dispatcher.Register(
    kQuarantineMethod,
    [this](const PackedValue& aSuspects, PackedWriter& aResult) {
      MergeSuspects(ReadSuspects(aSuspects));
      IgnoreResult(aResult);
    });
  m_dispatcher.Register(
    kFetchTopicMethod,
    [this](const PackedValue& aParameters, PackedWriter& aResult) {
      const auto fields =
        ReadArray(aParameters, "parameters", kTopicCallFields);
      const TopicVersion known{ .m_epoch =
                                  StoreEpoch(ReadUnsigned(fields[1], "epoch")),
                                .m_revision =
                                  ReadUnsigned(fields[2], "since") };
      WriteTopicUpdate(
        UpdateSince(TopicId(ReadText(fields[0], "topic")), known), aResult);
    });
}

void
Gossip::RegisterJsonMethods()
{
  m_jsonDispatcher.Register(kGossipMethod,
                            [this](const Json::Value& aParameters) {
                              ReadJsonMessage(aParameters);
                              return NextJsonMessage();
                            });
  m_jsonDispatcher.Register(kAnnounceMethod,
                            [this](const Json::Value& aParameters) {
                              MergeRecords(FleetMembersFromJson(aParameters));
                              return Json::Value(Json::objectValue);
                            });
  m_jsonDispatcher.Register(kQuarantineMethod,
                            [this](const Json::Value& aParameters) {
                              MergeSuspects(QuarantineFromJson(aParameters));
                              return Json::Value(Json::objectValue);
                            });
  m_jsonDispatcher.Register(
    kFetchTopicMethod, [this](const Json::Value& aParameters) {
      if (!aParameters["topic"].isString()) {
        throw RpcError("topic: expected a string");
      }
      const TopicUpdate update =
        UpdateSince(TopicId(aParameters["topic"].asString()),
                    VersionFromJson(aParameters, "since"));
      return std::visit([](const auto& aUpdate) { return ToJson(aUpdate); },
                        update);
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
  // Copied, since the calls outlive this version of the record.
  const auto record =
    std::make_shared<const FleetMember>(m_options.m_fleet.AdvanceSelf());
  const ControlCall call{
    .m_method = kAnnounceMethod,
    .m_writeParameters =
      [record](PackedWriter& aWriter) {
        WriteRecords({ OutgoingRecord{ .m_record = *record } }, aWriter);
      },
    .m_jsonParameters =
      [record] { return ToJson(std::vector<FleetMember>{ *record }); },
  };
  const RegionId localRegion = m_options.m_fleet.Self().m_region;
  std::set<RegionId> notifiedRegions;
  for (const FleetMember* peer : m_options.m_fleet.LivePeers()) {
    if (peer->m_region != localRegion &&
        !notifiedRegions.insert(peer->m_region).second) {
      continue;
    }
    asio::co_spawn(m_options.m_executor,
                   SendNews(peer->m_peerAddress, call),
                   asio::detached);
  }
}

void
Gossip::SpreadQuarantine()
{
  const auto reports =
    std::make_shared<const std::vector<SuspectReport>>(SuspectsToAdvertise());
  const ControlCall call{
    .m_method = kQuarantineMethod,
    .m_writeParameters =
      [reports](PackedWriter& aWriter) { WriteSuspects(*reports, aWriter); },
    .m_jsonParameters =
      [reports] {
        Json::Value message(Json::objectValue);
        AddQuarantine(*reports, message);
        return message;
      },
  };
  for (const Endpoint& target :
       m_options.m_fleet.ChooseNewsTargets(m_options.m_random)) {
    asio::co_spawn(
      m_options.m_executor, SendNews(target, call), asio::detached);
  }
}

Task<void>
Gossip::SendNews(Endpoint aTarget, ControlCall aCall)
{
  try {
    const SteadyTime deadline = m_options.m_clock.SteadyNow() + kCallTimeout;
    co_await m_caller.Call(aTarget, std::move(aCall), deadline);
  } catch (const std::exception& error) {
    // A later round delivers the news.
    m_options.m_metrics.Count("rattanweir_gossip_failures_total");
    Log(LogLevel::Debug,
        "news_failed",
        { { "peer", aTarget.ToString() }, { "detail", error.what() } });
  }
}

std::vector<OutgoingRecord>
Gossip::NextRecords(const FleetMember* aReceiver)
{
  if (m_options.m_fleet.IsSelfUpdateDue()) {
    m_options.m_updateSelf();
  }
  return m_options.m_fleet.ChooseRecords(m_options.m_random, aReceiver);
}

std::vector<SuspectReport>
Gossip::SuspectsToAdvertise() const
{
  return m_options.m_quarantine == nullptr
           ? std::vector<SuspectReport>()
           : m_options.m_quarantine->ToAdvertise();
}

void
Gossip::WriteMessage(const FleetMember* aReceiver, PackedWriter& aWriter)
{
  aWriter.pack_array(kMessageFields);
  WriteRecords(NextRecords(aReceiver), aWriter);
  WriteSuspects(SuspectsToAdvertise(), aWriter);
}

InstanceId
Gossip::ReadMessage(const PackedValue& aMessage)
{
  const auto fields = ReadArray(aMessage, "message", kMessageFields);
  const std::vector<FleetMember> records =
    ReadRecords(fields[0], m_options.m_fleet);
  // Read before anything is applied, so that an invalid message changes
  // nothing.
  const std::vector<SuspectReport> suspects = ReadSuspects(fields[1]);
  MergeSuspects(suspects);
  MergeRecords(records);
  m_hasExchangedWithPeer = true;
  return records.front().m_id;
}

Json::Value
Gossip::NextJsonMessage()
{
  std::vector<FleetMember> records;
  for (const OutgoingRecord& outgoing : NextRecords(nullptr)) {
    records.push_back(outgoing.m_record);
  }
  Json::Value message = ToJson(records);
  AddQuarantine(SuspectsToAdvertise(), message);
  return message;
}

void
Gossip::ReadJsonMessage(const Json::Value& aMessage)
{
  const std::vector<FleetMember> records = FleetMembersFromJson(aMessage);
  MergeSuspects(QuarantineFromJson(aMessage));
  MergeRecords(records);
  m_hasExchangedWithPeer = true;
}

Task<void>
Gossip::Exchange(Endpoint aTarget)
{
  // Avoids concurrent exchanges with a slow peer.
  if (!m_exchanging.insert(aTarget).second) {
    co_return;
  }
  try {
    ControlCall call{
      .m_method = kGossipMethod,
      .m_writeParameters =
        [this, aTarget](PackedWriter& aWriter) {
          WriteMessage(m_options.m_fleet.FindAt(aTarget), aWriter);
        },
      .m_readResult =
        [this](const PackedValue& aResult) { ReadMessage(aResult); },
      .m_jsonParameters = [this] { return NextJsonMessage(); },
      .m_readJsonResult =
        [this](const Json::Value& aResult) { ReadJsonMessage(aResult); },
    };
    const SteadyTime deadline = m_options.m_clock.SteadyNow() + kCallTimeout;
    co_await m_caller.Call(aTarget, std::move(call), deadline);
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
Gossip::MergeRecords(const std::vector<FleetMember>& aRecords)
{
  const InstanceId& sender = aRecords.front().m_id;
  m_options.m_fleet.Merge(aRecords, sender);
  if (const FleetMember* member = m_options.m_fleet.Find(sender)) {
    FetchNewerTopics(*member);
  }
}

void
Gossip::MergeSuspects(const std::vector<SuspectReport>& aReports)
{
  if (m_options.m_quarantine != nullptr) {
    m_options.m_quarantine->Merge(aReports);
  }
}

void
Gossip::FetchNewerTopics(const FleetMember& aPeer)
{
  for (const auto& [name, version] : aPeer.m_publishedVersions) {
    const TopicId topic(name);
    const auto found = aPeer.m_publishedFingerprints.find(name);
    const std::optional<TopicFingerprint> fingerprint =
      found == aPeer.m_publishedFingerprints.end()
        ? std::nullopt
        : std::optional(found->second);
    if (!m_options.m_published.ShouldFetch(topic, version, fingerprint) ||
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
    const auto update = std::make_shared<TopicUpdate>();
    ControlCall call = TopicCall(aTopic, known, update);
    const SteadyTime deadline = m_options.m_clock.SteadyNow() + kCallTimeout;
    co_await m_caller.Call(aPeer, std::move(call), deadline);
    // Discards the response if the topic changed during the call, for example
    // by a read from the store.
    if (m_options.m_published.VersionOf(aTopic) == known) {
      ApplyUpdate(aTopic, std::move(*update));
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

ControlCall
Gossip::TopicCall(const TopicId& aTopic,
                  const TopicVersion& aKnown,
                  const std::shared_ptr<TopicUpdate>& aUpdate) const
{
  return {
    .m_method = kFetchTopicMethod,
    .m_writeParameters =
      [=](PackedWriter& aWriter) {
        aWriter.pack_array(kTopicCallFields);
        aWriter.pack(aTopic.Value());
        aWriter.pack(aKnown.m_epoch.Value());
        aWriter.pack(aKnown.m_revision);
      },
    .m_readResult =
      [=](const PackedValue& aResult) { *aUpdate = ReadTopicUpdate(aResult); },
    .m_jsonParameters =
      [=] {
        Json::Value parameters;
        parameters["topic"] = aTopic.Value();
        parameters["since"] = Json::UInt64(aKnown.m_revision);
        parameters["epoch"] = Json::UInt64(aKnown.m_epoch.Value());
        return parameters;
      },
    .m_readJsonResult =
      [=](const Json::Value& aResult) {
        if (aResult.isMember("changes")) {
          *aUpdate = ChangesFromJson(aResult);
        } else {
          *aUpdate = TopicSnapshotFromJson(aResult);
        }
      },
  };
}

void
Gossip::ApplyUpdate(const TopicId& aTopic, TopicUpdate aUpdate)
{
  m_options.m_metrics.Count("rattanweir_topics_from_peers_total");
  if (const auto* changes = std::get_if<std::vector<ItemChange>>(&aUpdate)) {
    // Changes are sent only to an instance that has a version of their epoch.
    m_options.m_published.Apply(
      aTopic, m_options.m_published.VersionOf(aTopic).m_epoch, *changes);
    return;
  }
  auto& snapshot = std::get<TopicSnapshot>(aUpdate);
  m_options.m_published.Replace(
    aTopic, std::move(snapshot), RemovalReason::Published);
}

TopicUpdate
Gossip::UpdateSince(const TopicId& aTopic, const TopicVersion& aKnown) const
{
  if (auto changes = m_options.m_published.ChangesSince(aTopic, aKnown)) {
    return std::move(*changes);
  }
  const TopicSnapshot* snapshot = m_options.m_published.Find(aTopic);
  if (snapshot == nullptr) {
    throw RpcError("topic: unknown to this instance");
  }
  return *snapshot;
}

std::string
Gossip::HandleCall(const std::string& aRequest)
{
  return IsPacked(aRequest) ? m_dispatcher.Handle(aRequest)
                            : m_jsonDispatcher.Handle(aRequest);
}

} // namespace rattanweir
