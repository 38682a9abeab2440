// What this instance knows of the fleet, gathered by gossip alone: nobody
// publishes a list of instances.
//
//   FleetView fleet({ .m_clock = clock, .m_self = self });
//   fleet.SetSeeds(seeds);
//   for (const Endpoint& target : fleet.ChooseTargets(random)) { ... }
//   fleet.Merge(rows, sender);
//   for (const FleetMember* peer : fleet.LivePeersIn(region)) ...
//
// Every instance counts up the sequence of its own row; rows travel with each
// exchange, and a member whose sequence has not advanced for the silence time
// is not used. Silent members are still asked from time to time, so that the
// parts of a fleet that was cut find each other again. For one thread.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/endpoint/endpoint.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/random/random.h"
#include "rattanweir/process/account_rate/account_rates.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace rattanweir {

// What an instance says of the backend servers of one pool in its region.
struct PoolReport
{
  // When a request that is sent now would begin to be answered.
  std::chrono::nanoseconds m_startDelay{};
};

// The row of one instance.
struct FleetMember
{
  InstanceId m_id;
  // When its process started, in milliseconds since 1970; a higher one is a
  // later process.
  Incarnation m_incarnation;
  // Counts up while the process runs.
  std::uint64_t m_sequence = 0;
  RegionId m_region;
  AvailabilityZoneId m_zone;
  Endpoint m_callerAddress;
  Endpoint m_peerAddress;
  bool m_isReady = false;
  bool m_isDraining = false;
  // How much traffic it can carry, relative to other instances.
  double m_capacity = 1;
  SectionVersion m_configVersion;
  // How far it has read what the platform publishes, by topic.
  std::map<std::string, std::uint64_t> m_publishedRevisions;
  // It reads the platform's store, and the store answers.
  bool m_readsStore = false;
  // What callers asked of it, by client account.
  AccountUsages m_usages;
  std::map<PoolId, PoolReport> m_pools;
};

struct FleetViewOptions
{
  const Clock& m_clock;
  FleetMember m_self;
  // A member that was not heard of for this long is not used. News take longer
  // where a message does not hold all rows, and from other regions then.
  std::chrono::nanoseconds m_silence{ std::chrono::milliseconds(3'500) };
  std::chrono::nanoseconds m_silenceInLargeFleet{ std::chrono::seconds(5) };
  std::chrono::nanoseconds m_silenceElsewhere{ std::chrono::milliseconds(
    7'500) };
  // One that is silent for this long is forgotten: longer than any cut that
  // is to be bridged.
  std::chrono::nanoseconds m_forgetAfter{ std::chrono::minutes(10) };
  // Exchanges that an instance begins in one round within its availability
  // zone.
  std::size_t m_targetsInZone = 3;
  // Exchanges that all instances of a zone together begin in one round with
  // other zones of the region, and those of a region with other regions; their
  // bytes cost more.
  double m_targetsInRegion = 4;
  double m_targetsElsewhere = 2;
  // Rows in one message besides the own one; small fleets fit whole.
  std::size_t m_rowsInMessage = 20;
  // How often the own row changes; in between it is told as it is.
  std::chrono::nanoseconds m_rowInterval{ std::chrono::milliseconds(400) };
  // Members of a region that read the platform's store for all; each for
  // itself where they are no more than that.
  std::size_t m_storeReaders = 4;
};

class FleetView
{
public:
  explicit FleetView(FleetViewOptions aOptions);

  // This instance's row, to be kept up to date by its owner.
  FleetMember& Self() { return m_options.m_self; }
  const FleetMember& Self() const { return m_options.m_self; }

  // Peer addresses to ask while no member is known, and now and then later.
  void SetSeeds(std::vector<Endpoint> aSeeds);

  // Takes rows over; the sender's own one also if its clock went back. A row
  // without its region is brief: what does not change is known or the row is
  // passed over.
  void Merge(std::span<const FleetMember> aRows, const InstanceId& aSender);

  // A connection to this member failed: not used until it is heard of again.
  void MarkUnreachable(const InstanceId& aId);

  // The own row with a new sequence, to be told at once.
  const FleetMember& AdvanceOwnRow();

  // The next row of this instance and a selection of the others.
  std::vector<FleetMember> NextMessage(RandomEngine& aRandom);

  // Addresses for one round of exchanges. `aHasElsewhere` includes other
  // regions.
  std::vector<Endpoint> ChooseTargets(RandomEngine& aRandom,
                                      bool aHasElsewhere) const;

  // Whether this instance is one of those that read the platform's store for
  // their region, or has to since none of the live ones does.
  bool HasToReadStore() const;

  // Heard of lately, this instance left out.
  std::vector<const FleetMember*> LivePeers() const;
  std::vector<const FleetMember*> LivePeersIn(const RegionId& aRegion) const;

  // Live, ready and staying, this instance included.
  std::vector<const FleetMember*> Serving() const;

  // All that may be running, live or silent, but not those that drained.
  std::vector<const FleetMember*> PossiblyRunning() const;

  // Instances that shared budgets are divided by: all that may be running,
  // and never fewer than there are seeds.
  std::size_t FleetSize() const;

  const FleetMember* Find(const InstanceId& aId) const;
  bool IsLive(const InstanceId& aId) const;

private:
  struct Entry
  {
    FleetMember m_row;
    SteadyTime m_heardAt;
    bool m_isUnreachable = false;
    // How often this row was told on.
    unsigned m_told = 0;
    // An earlier process of the same instance, whose rows may still travel.
    std::set<Incarnation> m_retired;
  };

  bool IsLive(const Entry& aEntry) const;
  std::chrono::nanoseconds SilenceOf(const FleetMember& aMember) const;
  static FleetMember ToldRow(const FleetMember& aRow, RandomEngine& aRandom);
  void TakeRow(const FleetMember& aRow, bool aIsFromItself);
  void ForgetOld();

  FleetViewOptions m_options;
  std::vector<Endpoint> m_seeds;
  std::map<InstanceId, Entry> m_members;
  SteadyTime m_advancedAt;
};

} // namespace rattanweir
