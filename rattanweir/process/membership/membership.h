// What this instance knows about the other instances. Used by the product's own
// interface.
//
// The platform's instance list alone determines which instances exist.
// Heartbeats never add an instance that the list does not contain. They report
// earlier than the list that an instance is draining or has stopped, and carry
// its incarnation (process lifetime) and the versions of its configuration.
//
//   Membership membership({ .m_clock = clock, .m_self = settings.m_instance });
//   membership.ApplyList(list);
//   membership.ApplyHeartbeat(heartbeat);
//   for (const PeerView& peer : membership.UsablePeersIn(region)) ...
//
// Not thread-safe. Results are copies.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/endpoint/endpoint.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/version/section/section.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace rattanweir {

// One entry of the platform's instance list.
struct InstanceRecord
{
  InstanceId m_id;
  RegionId m_region;
  AvailabilityZoneId m_zone;
  Endpoint m_callerAddress;
  Endpoint m_peerAddress;
  bool m_isDraining = false;
};

// The state that an instance advertises to its peers.
struct Heartbeat
{
  InstanceId m_from;
  Incarnation m_incarnation;
  // Increases within one incarnation. A heartbeat that does not exceed the
  // latest known sequence is ignored.
  std::uint64_t m_sequence = 0;
  bool m_isDraining = false;
  bool m_isReady = false;
  // Maximum time until the instance's next heartbeat.
  std::chrono::nanoseconds m_interval{ std::chrono::seconds(1) };
  std::uint32_t m_requestsInFlight = 0;
  std::map<SectionKind, SectionVersion> m_versions;
  // Backend servers that the instance has seen draining.
  std::vector<BackendServerId> m_drainingBackendServers;
};

// The state of one peer, from the instance list and its heartbeats.
struct PeerView
{
  InstanceRecord m_record;
  // The latest heartbeat; nullopt before the first one.
  std::optional<Heartbeat> m_heartbeat;
  // When this instance received the latest heartbeat.
  SteadyTime m_lastHeartbeatAt;
};

struct MembershipOptions
{
  const Clock& m_clock;
  InstanceId m_self;
  // A peer is stale once more than this many of its heartbeat intervals have
  // passed without a heartbeat.
  unsigned m_maxMissedHeartbeats = 4;
};

// The instance list, combined with the heartbeats of the listed instances.
class Membership
{
public:
  explicit Membership(const MembershipOptions& aOptions);

  // Replaces the instance list. Keeps the heartbeats of instances that are
  // still listed.
  void ApplyList(const std::vector<InstanceRecord>& aList);

  // Applies a heartbeat. Returns false and ignores it if the sender is not
  // listed, is this instance, or has sent the same or a later heartbeat in the
  // same incarnation.
  bool ApplyHeartbeat(const Heartbeat& aHeartbeat);

  // Records that a connection to the peer failed. The peer is not usable until
  // its next heartbeat.
  void MarkUnreachable(const InstanceId& aId);

  // Returns all listed peers, without this instance.
  std::vector<PeerView> Peers() const;

  // Returns the usable peers of a region: listed, ready, reachable, and neither
  // draining nor stale.
  std::vector<PeerView> UsablePeersIn(const RegionId& aRegion) const;

  // Returns the usable peers of several regions, in one pass.
  std::vector<PeerView> UsablePeersIn(std::span<const RegionId> aRegions) const;

  // Calls `aCallback` with the list entry of each usable peer, without copying
  // the entry.
  void ForEachUsablePeer(
    const std::function<void(const InstanceRecord&)>& aCallback) const;

  // Returns the peer, usable or not. Returns nullopt if the peer is not listed.
  std::optional<PeerView> Find(const InstanceId& aId) const;

  // Returns true under the same conditions as UsablePeersIn.
  bool IsUsable(const PeerView& aPeer) const;

  // Returns true if the peer has sent heartbeats before, but none for longer
  // than `m_maxMissedHeartbeats` of its intervals.
  bool IsStale(const PeerView& aPeer) const;

  // Returns this instance's list entry, or nullopt if it is not listed.
  std::optional<InstanceRecord> Self() const;

private:
  struct Entry
  {
    PeerView m_view;
    bool m_isUnreachable = false;
  };

  // Returns true if the peer has sent a heartbeat, is ready, and is neither
  // draining nor stale.
  bool IsReadyAndFresh(const PeerView& aPeer, SteadyTime aNow) const;
  bool IsStaleAt(const PeerView& aPeer, SteadyTime aNow) const;

  MembershipOptions m_options;
  std::map<InstanceId, Entry> m_peers;
  std::optional<InstanceRecord> m_self;
};

} // namespace rattanweir
