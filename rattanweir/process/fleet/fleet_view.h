// What this instance knows about the other instances of the fleet, learned by
// gossip alone: no service publishes a list of instances. Used on the users'
// platform (settings with `fleet`).
//
//   FleetView fleet({ .m_clock = clock, .m_self = self });
//   fleet.SetSeeds(seeds);
//   for (const Endpoint& target : fleet.ChooseTargets(random, true)) { ... }
//   fleet.Merge(records, sender);
//   for (const FleetMember* peer : fleet.LivePeersIn(region)) ...
//
// Each instance has a member record and increments its sequence number. Records
// travel with each gossip exchange. A member is live while its sequence number
// advances; one whose number has not advanced for the liveness timeout is stale
// and is not used. Stale members are still contacted from time to time, so that
// the parts of a fleet reconnect after a network partition. Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/endpoint/endpoint.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/random/random.h"
#include "rattanweir/process/account_rate/account_rates.h"
#include "rattanweir/process/published/topic_version.h"
#include "rattanweir/process/server_limits/server_limits.h"
#include "rattanweir/process/server_room/server_room.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace rattanweir {

// The demand on a pool and its capacity, as an instance knows them.
struct PoolDemand
{
  // Requests of the instance's own callers.
  RequestRate m_arrivals;
  // Requests that the servers of the instance's region can process.
  RequestRate m_capacity;

  friend bool operator==(const PoolDemand&, const PoolDemand&) = default;
};

// What an instance advertises about the backend servers of one pool in its
// region.
struct PoolReport
{
  // Expected delay until the response to a request that is sent now starts.
  std::chrono::nanoseconds m_startDelay{};
  // nullopt if not known, or if the instance's build doesn't tell.
  std::optional<PoolDemand> m_demand{};
};

// The member record of one instance.
struct FleetMember
{
  InstanceId m_id;
  // Identifies the instance's process by its start time in milliseconds since
  // 1970, so a higher value is a later process unless the clock was set back.
  Incarnation m_incarnation;
  // Increases while the process runs.
  std::uint64_t m_sequence = 0;
  RegionId m_region;
  AvailabilityZoneId m_zone;
  Endpoint m_callerAddress;
  Endpoint m_peerAddress;
  bool m_isReady = false;
  bool m_isDraining = false;
  // Traffic that the instance can carry, relative to other instances.
  double m_capacity = 1;
  SectionVersion m_configVersion;
  // Latest version that the instance has of each topic that the platform
  // publishes.
  std::map<std::string, TopicVersion> m_publishedVersions;
  // Missing for a topic whose items have unknown revisions, and in the records
  // of earlier releases.
  std::map<std::string, TopicFingerprint> m_publishedFingerprints;
  // True if the instance reads the platform's store and the store responds.
  bool m_readsStore = false;
  // What callers requested from the instance, by client account.
  AccountUsages m_usages;
  std::map<PoolId, PoolReport> m_pools;
  // What the instance knows of the limits that servers of its region have
  // named, by incarnation of the server.
  std::map<BackendServerId, NamedLimit> m_serverLimits;
  // Incarnations of servers that have recently refused a connection to the
  // instance: their processes have ended.
  std::set<BackendServerId> m_refusingServers;
  // Incarnations of servers that have recently reported themselves draining, to
  // the instance or to a peer.
  std::set<BackendServerId> m_drainingServers;
  // Members of which the instance needs a record that is not abridged. Set only
  // in the record that the instance itself sends.
  std::vector<InstanceId> m_membersToIntroduce;
  // Pools that have servers in the instance's region, of which the instance can
  // open a connection to none.
  std::set<PoolId> m_unreachablePools;
  // The refusals a second that servers of a pool bear, as they have recently
  // told the instance.
  std::map<PoolId, RequestRate> m_maxRefusals;
  // Servers that have recently refused a request of the instance for want of
  // room, by incarnation.
  std::map<BackendServerId, RefusedRoom> m_refusedRooms;

  // Returns whether the instance can open connections to servers of the pool,
  // as far as it has said.
  bool Reaches(const PoolId& aPool) const
  {
    return !m_unreachablePools.contains(aPool);
  }

  // Returns true if the instance reaches no server of any pool of its region.
  bool IsCutOff() const
  {
    return !m_unreachablePools.empty() &&
           std::ranges::all_of(m_pools, [&](const auto& aEntry) {
             return !Reaches(aEntry.first);
           });
  }
};

// A record of a gossip message, in the view that it is sent from.
struct OutgoingRecord
{
  const FleetMember& m_record;
  // The fields that never change are omitted; the receiver knows them from an
  // earlier complete record.
  bool m_isAbridged = false;
};

struct FleetViewOptions
{
  const Clock& m_clock;
  FleetMember m_self;
  // Time without a new sequence number after which a member is stale. The
  // second and third apply to members of this region and of other regions in a
  // fleet of more than `m_maxSmallFleet` peers, where updates take longer.
  std::chrono::nanoseconds m_livenessTimeout{ std::chrono::milliseconds(
    3'500) };
  std::chrono::nanoseconds m_livenessTimeoutInLargeFleet{ std::chrono::seconds(
    5) };
  std::chrono::nanoseconds m_livenessTimeoutInOtherRegions{
    std::chrono::milliseconds(7'500)
  };
  std::size_t m_maxSmallFleet = 20;
  // Time without a new sequence number after which a member is removed. Must
  // exceed the longest network partition after which the fleet has to
  // reconnect.
  std::chrono::nanoseconds m_removalTimeout{ std::chrono::minutes(10) };
  // Exchanges that each instance starts per round within its availability zone.
  std::size_t m_targetsInZone = 3;
  // Mean number of exchanges that all instances of a zone together start per
  // round with other zones of the region, and all instances of a region with
  // other regions, at most one per instance. Bounded per zone and region since
  // this traffic costs more.
  double m_targetsInOtherZones = 4;
  double m_targetsInOtherRegions = 2;
  // Mean number of exchanges with a seed that all instances of a region
  // together start per round while they have live members. The parts of a fleet
  // of which no member knows one of the other part meet at the seeds.
  double m_seedExchangesPerRegion = 1;
  // Maximum number of records of other members in one message.
  std::size_t m_maxRecordsPerMessage = 40;
  // Fraction of this region's members whose records a message to another region
  // holds, if these are more. Such messages are few, whatever the region's
  // size.
  double m_regionFractionPerMessage = 0.5;
  // Minimum time between two increments of this instance's own sequence number
  // by NextMessage.
  std::chrono::nanoseconds m_selfUpdateInterval{ std::chrono::milliseconds(
    400) };
  // Time and number of received messages without the discovery of a member
  // after which the view has settled. The time is that of two gossip rounds.
  std::chrono::nanoseconds m_settlingTime{ std::chrono::seconds(1) };
  std::size_t m_settlingMessages = 3;
  // Time without such a discovery after which the view has settled even if
  // peers send no messages.
  std::chrono::nanoseconds m_isolationTimeout{ std::chrono::seconds(10) };
  // Number of members of a region that read the platform's store on behalf of
  // the region; in a smaller region, all members read it.
  std::size_t m_storeReadersPerRegion = 4;
};

// The part of a limit of the local region that the instance and some of its
// peers share.
struct RegionShare
{
  // The live members of the region, without this instance.
  std::vector<const FleetMember*> m_peers;
  // Fraction of the limit that they and this instance may use together. Less
  // than 1 if most members of the region that may be running are not live: this
  // instance may be cut off from them, and they use their part of the limit.
  double m_fraction = 1;
};

// The members of the fleet, as known to this instance.
class FleetView
{
public:
  explicit FleetView(FleetViewOptions aOptions);

  // Returns this instance's record. The owner of the view keeps it up to date.
  FleetMember& Self() { return m_options.m_self; }
  const FleetMember& Self() const { return m_options.m_self; }

  // Sets the peer addresses that are contacted while no member is known, and
  // from time to time afterwards.
  void SetSeeds(std::vector<Endpoint> aSeeds);

  // Merges received records. A record with a lower incarnation than the known
  // one is accepted only from the member itself, whose clock may have been set
  // back. A record without region is abridged: it omits the fields that
  // never change. If the member or its process is unknown, the next message
  // asks for a complete record; an abridged one of an unknown member is
  // ignored.
  void Merge(std::span<const FleetMember> aRecords, const InstanceId& aSender);

  // Records that a connection to this member failed. The member is not live
  // until a new record arrives from the member itself.
  void MarkUnreachable(const InstanceId& aId);

  // Records that this member has just said that it reaches no server of the
  // pool. Holds until a new record arrives.
  void MarkPoolUnreachable(const InstanceId& aId, const PoolId& aPool);

  // Increments this instance's sequence number and returns its record, for an
  // immediate announcement.
  const FleetMember& AdvanceSelf();

  // Returns true if the next message increments this instance's sequence
  // number, so that changes of its record before that reach the peers.
  bool IsSelfUpdateDue() const;

  // Returns the records for the next gossip message: this instance's own first,
  // then those of live members that were sent least often. A message to another
  // region mostly omits that region's records and prefers those of this region,
  // which the receiver learns from nobody else; a receiver that has just
  // started gets records of all regions. nullptr stands for a receiver that is
  // not known.
  std::vector<FleetMember> NextMessage(RandomEngine& aRandom,
                                       const FleetMember* aReceiver = nullptr);

  // Chooses the same records as NextMessage, without copying them. They are
  // valid until the view changes.
  std::vector<OutgoingRecord> ChooseRecords(
    RandomEngine& aRandom,
    const FleetMember* aReceiver = nullptr);

  // Returns the member with this peer address, or nullptr.
  const FleetMember* FindAt(const Endpoint& aPeerAddress) const;

  // Returns true unless this record is known or older than the known one.
  bool IsNews(const InstanceId& aId,
              Incarnation aIncarnation,
              std::uint64_t aSequence) const;

  // Returns the peer addresses for one round of exchanges. Members of other
  // regions are chosen only if `aIncludesOtherRegions` is set or no other
  // member of this instance's region is live.
  std::vector<Endpoint> ChooseTargets(RandomEngine& aRandom,
                                      bool aIncludesOtherRegions) const;

  // Returns the peer addresses to which news is sent that members pass on: a
  // few random live members of this region and one of another.
  std::vector<Endpoint> ChooseNewsTargets(RandomEngine& aRandom) const;

  // Returns true if this instance is one of the members that read the
  // platform's store for their region, or if no other live member of the region
  // reads it.
  bool ShouldReadStore() const;

  // Returns the live members, without this instance.
  std::vector<const FleetMember*> LivePeers() const;
  std::vector<const FleetMember*> LivePeersIn(const RegionId& aRegion) const;

  // Returns the highest version of the configuration that a live peer has in
  // force, or 0 without one.
  SectionVersion NewestConfigOfPeers() const;

  // Returns the members that are live, ready and not draining, this instance
  // included.
  std::vector<const FleetMember*> ServingMembers() const;

  // Returns all members that may be running, without this instance: the live
  // ones, and the stale ones that were not draining.
  std::vector<const FleetMember*> PossiblyRunning() const;

  // Returns the members that are live or were within this time, without this
  // instance.
  std::vector<const FleetMember*> SeenWithin(
    std::chrono::nanoseconds aTime) const;

  // Returns the live members of which a new record arrived within this time,
  // without this instance.
  std::vector<const FleetMember*> HeardWithin(
    std::chrono::nanoseconds aTime) const;

  // Returns true once this instance's region has been discovered: peers have
  // sent messages for the settling time without naming an unknown member of the
  // region. Remains true. Until then, members that share a limit with this
  // instance may be missing.
  bool HasSettled() const;

  // Returns the part of the region's limits that this instance and the members
  // that it can reach may use. Members that were not seen for longer than
  // `aPartitionTime` count as gone, unless this instance reaches no member.
  RegionShare ShareOfRegion(
    std::chrono::nanoseconds aPartitionTime = std::chrono::minutes(10)) const;

  // Returns the number of instances by which budgets of the entire fleet are
  // divided: this instance and all that may be running, but at least the number
  // of seeds. Returns nullopt until the view has settled.
  std::optional<std::size_t> FleetSize() const;

  // Returns nullptr if the member is unknown.
  const FleetMember* Find(const InstanceId& aId) const;
  bool IsLive(const InstanceId& aId) const;

private:
  struct Entry
  {
    FleetMember m_record;
    SteadyTime m_lastSeenAt;
    bool m_isUnreachable = false;
    // Number of messages that this version of the record was sent in.
    unsigned m_timesSent = 0;
    // Incarnations that were replaced; their records may still arrive.
    std::set<Incarnation> m_previousIncarnations;
  };

  bool IsLive(const Entry& aEntry, SteadyTime aNow) const;
  // Returns true for a live member whose liveness timeout has elapsed in part.
  bool IsOverdue(const Entry& aEntry, SteadyTime aNow) const;
  std::chrono::nanoseconds LivenessTimeoutOf(const FleetMember& aMember) const;
  // Returns the members whose records the next message holds.
  std::vector<Entry*> EntriesToSend(RandomEngine& aRandom,
                                    const FleetMember* aReceiver);
  // Chooses the form in which the record is sent: abridged in most cases, to
  // save bytes.
  OutgoingRecord RecordToSend(const FleetMember& aRecord,
                              RandomEngine& aRandom);
  // Returns the members of which the next message asks for complete records.
  std::vector<InstanceId> MembersToIntroduce(RandomEngine& aRandom) const;
  void MergeRecord(const FleetMember& aRecord, bool aIsFromMember);
  void RecordRequests(const std::vector<InstanceId>& aMembers);
  // Notes that a record named an unknown member, which keeps the view from
  // settling.
  void RecordDiscovery(const FleetMember& aRecord);
  void RemoveExpired();

  FleetViewOptions m_options;
  std::vector<Endpoint> m_seeds;
  std::map<InstanceId, Entry> m_members;
  // When the last abridged record of each member arrived of which no complete
  // one has arrived.
  std::map<InstanceId, SteadyTime> m_toIntroduce;
  // Members of which the next message holds a complete record.
  std::set<InstanceId> m_requestedByPeers;
  SteadyTime m_selfUpdatedAt;
  // Time of the last record of an unknown member of this instance's region, or
  // of any region while no peer in this region is known; the start if none.
  SteadyTime m_lastDiscoveryAt;
  // Messages received since then.
  std::size_t m_messagesSinceDiscovery = 0;
  bool m_hasPeerInRegion = false;
  bool m_hasSettled = false;
};

} // namespace rattanweir
