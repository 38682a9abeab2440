// Users' platform (settings with `fleet`): how many requests may be at a
// backend server at once, over all instances, while the servers of its pool
// fail if they refuse too many.
//
//   ServerRooms rooms({ .m_clock = clock, .m_random = random });
//   rooms.RecordStatement(pool, RequestRate(12));
//   rooms.RecordRefusal({ .m_server = id, .m_pool = pool, ... });
//   if (const auto share = rooms.ShareOf(query)) ...
//
// Such servers state the refusals a second that they bear. None is provoked if
// no more requests are at a server than it processes at once, so that this is
// the room that the instances divide among them; a server that comes back, and
// one that has refused a request, gets less and regains it step by step. After
// a refusal the instance pauses, and tells its peers, which pause too, each for
// another time: as long as it takes for the refusals of all instances together
// to stay below what the server bears.
//
// Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/random/random.h"
#include "rattanweir/base/units/units.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace rattanweir {

// What an instance tells its peers about a server that has refused a request of
// its own.
struct RefusedRoom
{
  unsigned m_room = 0;
  // Changes with each refusal.
  std::uint64_t m_version = 0;

  friend bool operator==(const RefusedRoom&, const RefusedRoom&) = default;
};

// A server that refused a request for want of room.
struct RoomRefusal
{
  BackendServerId m_server;
  PoolId m_pool;
  unsigned m_slots = 1;
  // Requests that the server had, if it says so.
  std::optional<unsigned> m_atServer;
  // Instances that send to the server.
  std::size_t m_instances = 1;
};

struct RoomQuery
{
  // Incarnation of the server.
  BackendServerId m_server;
  PoolId m_pool;
  // Requests that the server processes at once.
  unsigned m_slots = 1;
  InstanceId m_self;
  // All instances that send to the server, this one included.
  std::span<const InstanceId> m_instances;
};

// What this instance may do with a server.
struct RoomShare
{
  // Requests that may be at the server, of all instances.
  unsigned m_room = 0;
  // Requests of this instance that may be in flight to it; 0 if it leaves the
  // server to others.
  unsigned m_maxInFlight = 0;
  // The time for which the instance sends nothing; 0 if it may send.
  std::chrono::nanoseconds m_pause{};
};

struct ServerRoomsOptions
{
  const Clock& m_clock;
  RandomEngine& m_random;
  // How long a statement holds without a new one.
  std::chrono::nanoseconds m_statementLifetime{ std::chrono::seconds(8) };
  // How long peers are told of a refusal.
  std::chrono::nanoseconds m_refusalAdvertisement{ std::chrono::seconds(3) };
  // Fraction of the room that remains after a refusal, and that a server gets
  // first that appears meanwhile.
  double m_fractionAfterRefusal = 0.75;
  double m_fractionAtReturn = 0.25;
  // Time in which a server regains one more place.
  std::chrono::nanoseconds m_regainInterval{ std::chrono::milliseconds(500) };
  // Fraction of the refusals that the server bears that instances provoke.
  double m_usedFraction = 0.5;
  std::chrono::nanoseconds m_maxPause{ std::chrono::seconds(3) };
  // Least number of places that an instance gets, while the server has as many.
  unsigned m_minPlaces = 2;
};

class ServerRooms
{
public:
  explicit ServerRooms(const ServerRoomsOptions& aOptions)
    : m_options(aOptions)
  {
  }

  // Records that a server of the pool states how many refusals a second the
  // servers bear. Returns true if none was known.
  bool RecordStatement(const PoolId& aPool, RequestRate aMaxRefusals);

  // Records a refusal of this instance's own request. Ignored if no statement
  // holds for the pool.
  void RecordRefusal(const RoomRefusal& aRefusal);

  // Merge what a peer has heard from servers itself.
  void MergeStatement(const PoolId& aPool, RequestRate aMaxRefusals);
  void MergeRefusal(const InstanceId& aPeer,
                    const RoomRefusal& aRefusal,
                    const RefusedRoom& aRoom);

  // Return what is to be told to peers: what this instance has heard itself.
  std::map<PoolId, RequestRate> StatementsToAdvertise() const;
  std::map<BackendServerId, RefusedRoom> RefusalsToAdvertise() const;

  // Returns whether a statement holds for the pool.
  bool IsLimited(const PoolId& aPool) const
  {
    return FindStatement(aPool) != nullptr;
  }

  // Returns nullopt if no statement holds for the pool.
  std::optional<RoomShare> ShareOf(const RoomQuery& aQuery);

  // Returns the instances that divide the room at the server, the same at all
  // instances that know the same ones; all if no statement holds for the pool.
  std::vector<InstanceId> HoldersOf(const RoomQuery& aQuery);

  // Removes the state of all servers that are not in `aListed`.
  void KeepOnly(const std::set<BackendServerId>& aListed);

private:
  struct Statement
  {
    RequestRate m_maxRefusals;
    // When the first of an unbroken series of statements was made.
    SteadyTime m_since;
    SteadyTime m_statedAt;
    // When a server last made one to this instance.
    std::optional<SteadyTime> m_heardAt;
  };
  struct Entry
  {
    double m_room = 0;
    SteadyTime m_roomAt;
    SteadyTime m_pausedUntil;
    std::optional<SteadyTime> m_ownRefusalAt;
    std::uint64_t m_refusals = 0;
    // The latest version merged from each peer.
    std::map<InstanceId, std::uint64_t> m_merged;
  };

  const Statement* FindStatement(const PoolId& aPool) const;
  bool Renew(const PoolId& aPool, RequestRate aMaxRefusals);
  Entry& EntryOf(const BackendServerId& aServer,
                 const Statement& aStatement,
                 unsigned aSlots);
  // Returns the room, with what the server has regained since it was set.
  double CurrentRoom(const Entry& aEntry, unsigned aSlots) const;
  // Returns the instances that divide this room, in the order in which they get
  // odd places.
  std::vector<InstanceId> ChooseHolders(const RoomQuery& aQuery,
                                        std::size_t aRoom) const;
  // Returns the time in which each instance may provoke one refusal.
  std::chrono::nanoseconds MeanPause(const Statement& aStatement,
                                     std::size_t aInstances) const;
  double Uniform(double aFrom, double aTo);

  ServerRoomsOptions m_options;
  std::map<PoolId, Statement> m_statements;
  std::map<BackendServerId, Entry> m_entries;
};

} // namespace rattanweir
