// What this instance knows of the others.
//
// Who exists comes from the platform's list alone. Heartbeats never add an
// instance that the list does not have; they shorten the wait for one that
// leaves or has stopped, and carry its incarnation and versions.
//
//   Membership membership({ .m_clock = clock, .m_self = settings.m_instance });
//   membership.ApplyList(list);
//   membership.ApplyHeartbeat(heartbeat);
//   for (const PeerView& peer : membership.UsablePeersIn(region)) ...
//
// For one thread. Results are values.

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

// One row of the platform's instance list.
struct InstanceRecord
{
  InstanceId m_id;
  RegionId m_region;
  AvailabilityZoneId m_zone;
  Endpoint m_callerAddress;
  Endpoint m_peerAddress;
  bool m_isDraining = false;
};

// What an instance tells its peers of itself.
struct Heartbeat
{
  InstanceId m_from;
  Incarnation m_incarnation;
  // Counts up within one incarnation; an older one is not taken.
  std::uint64_t m_sequence = 0;
  bool m_isDraining = false;
  bool m_isReady = false;
  // The longest time until its next one.
  std::chrono::nanoseconds m_interval{ std::chrono::seconds(1) };
  std::uint32_t m_requestsInFlight = 0;
  std::map<SectionKind, SectionVersion> m_versions;
  // Backend servers that it saw leave.
  std::vector<BackendServerId> m_drainingBackendServers;
};

// One peer, list and heartbeats together.
struct PeerView
{
  InstanceRecord m_record;
  // From the newest heartbeat; nothing before the first one.
  std::optional<Heartbeat> m_heartbeat;
  SteadyTime m_heardAt;
};

struct MembershipOptions
{
  const Clock& m_clock;
  InstanceId m_self;
  // A peer that has missed this many of its heartbeats is not used.
  unsigned m_missedHeartbeats = 4;
};

class Membership
{
public:
  explicit Membership(const MembershipOptions& aOptions);

  // Replaces the list. Heartbeats of instances still listed are kept.
  void ApplyList(const std::vector<InstanceRecord>& aList);

  // False if the sender is not listed, is this instance itself, or the
  // heartbeat is older than the newest of the same incarnation.
  bool ApplyHeartbeat(const Heartbeat& aHeartbeat);

  // Ends trust in a peer until its next heartbeat: a connection to it failed.
  void MarkUnreachable(const InstanceId& aId);

  // All listed peers, this instance left out.
  std::vector<PeerView> Peers() const;

  // Listed and not leaving, draining, unready or silent.
  std::vector<PeerView> UsablePeersIn(const RegionId& aRegion) const;

  // The same of several regions, in one pass.
  std::vector<PeerView> UsablePeersIn(std::span<const RegionId> aRegions) const;

  // Shows the list's row of each peer that can be used, without a copy.
  void VisitUsablePeers(
    const std::function<void(const InstanceRecord&)>& aVisit) const;

  // The peer, listed or not usable alike; nothing if the list has it not.
  std::optional<PeerView> Find(const InstanceId& aId) const;

  bool IsUsable(const PeerView& aPeer) const;

  // Heard before, but not for as long as it would take to miss its heartbeats.
  bool IsSilent(const PeerView& aPeer) const;

  // This instance's own row, if the list has it.
  std::optional<InstanceRecord> Self() const;

private:
  struct Entry
  {
    PeerView m_view;
    bool m_isUnreachable = false;
  };

  // Ready, staying and not silent.
  bool IsHeard(const PeerView& aPeer, SteadyTime aNow) const;
  bool IsSilentAt(const PeerView& aPeer, SteadyTime aNow) const;

  MembershipOptions m_options;
  std::map<InstanceId, Entry> m_peers;
  std::optional<InstanceRecord> m_self;
};

} // namespace rattanweir
