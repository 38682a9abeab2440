#include "rattanweir/process/server_room/server_room.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <string>
#include <utility>

namespace rattanweir {
bool
ServerRooms::RecordStatement(const PoolId& aPool, RequestRate aMaxRefusals)
{
  const bool isNew = Renew(aPool, aMaxRefusals);
  m_statements.at(aPool).m_heardAt = m_options.m_clock.SteadyNow();
  return isNew;
}

void
ServerRooms::MergeStatement(const PoolId& aPool, RequestRate aMaxRefusals)
{
  Renew(aPool, aMaxRefusals);
}

bool
ServerRooms::Renew(const PoolId& aPool, RequestRate aMaxRefusals)
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  const bool isNew = FindStatement(aPool) == nullptr;
  Statement& statement = m_statements[aPool];
  if (isNew) {
    statement = { .m_since = now };
  }
  statement.m_maxRefusals = aMaxRefusals;
  statement.m_statedAt = now;
  return isNew;
}

const ServerRooms::Statement*
ServerRooms::FindStatement(const PoolId& aPool) const
{
  const auto found = m_statements.find(aPool);
  const bool holds = found != m_statements.end() &&
                     m_options.m_clock.SteadyNow() - found->second.m_statedAt <=
                       m_options.m_statementLifetime;
  return holds ? &found->second : nullptr;
}

ServerRooms::Entry&
ServerRooms::EntryOf(const BackendServerId& aServer,
                     const Statement& aStatement,
                     unsigned aSlots)
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  const auto [found, isNew] = m_entries.try_emplace(aServer);
  Entry& entry = found->second;
  if (isNew || entry.m_roomAt < aStatement.m_since) {
    // What is first seen later has just come back.
    const bool isReturning =
      isNew && now - aStatement.m_since > m_options.m_regainInterval;
    entry.m_room = isReturning
                     ? std::max(1.0, m_options.m_fractionAtReturn * aSlots)
                     : static_cast<double>(aSlots);
    entry.m_roomAt = now;
  }
  return entry;
}

double
ServerRooms::CurrentRoom(const Entry& aEntry, unsigned aSlots) const
{
  const std::chrono::duration<double> age =
    m_options.m_clock.SteadyNow() - aEntry.m_roomAt;
  const std::chrono::duration<double> interval = m_options.m_regainInterval;
  return std::min<double>(aSlots, aEntry.m_room + std::floor(age / interval));
}

std::chrono::nanoseconds
ServerRooms::MeanPause(const Statement& aStatement,
                       std::size_t aInstances) const
{
  const double perSecond =
    m_options.m_usedFraction * aStatement.m_maxRefusals.Value();
  const std::chrono::duration<double> pause(
    perSecond > 0
      ? static_cast<double>(aInstances) / perSecond
      : std::chrono::duration<double>(m_options.m_maxPause).count());
  return std::min(
    m_options.m_maxPause,
    std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::min(pause, std::chrono::duration<double>(m_options.m_maxPause))));
}

void
ServerRooms::RecordRefusal(const RoomRefusal& aRefusal)
{
  const Statement* statement = FindStatement(aRefusal.m_pool);
  if (statement == nullptr) {
    return;
  }
  const SteadyTime now = m_options.m_clock.SteadyNow();
  Entry& entry = EntryOf(aRefusal.m_server, *statement, aRefusal.m_slots);
  const double room = CurrentRoom(entry, aRefusal.m_slots);
  const double held =
    std::min<double>(aRefusal.m_atServer.value_or(room), room);
  entry.m_room = std::max(1.0, m_options.m_fractionAfterRefusal * held);
  entry.m_roomAt = now;
  entry.m_ownRefusalAt = now;
  ++entry.m_refusals;
  entry.m_pausedUntil =
    now + ScaleDuration(MeanPause(*statement, aRefusal.m_instances),
                        Uniform(0.75, 1.25));
}

void
ServerRooms::MergeRefusal(const InstanceId& aPeer,
                          const RoomRefusal& aRefusal,
                          const RefusedRoom& aRoom)
{
  const Statement* statement = FindStatement(aRefusal.m_pool);
  if (statement == nullptr) {
    return;
  }
  Entry& entry = EntryOf(aRefusal.m_server, *statement, aRefusal.m_slots);
  std::uint64_t& merged = entry.m_merged[aPeer];
  if (aRoom.m_version == merged) {
    return;
  }
  merged = aRoom.m_version;
  const SteadyTime now = m_options.m_clock.SteadyNow();
  entry.m_room = std::min(CurrentRoom(entry, aRefusal.m_slots),
                          std::max(1.0, static_cast<double>(aRoom.m_room)));
  entry.m_roomAt = now;
  const auto pause =
    ScaleDuration(MeanPause(*statement, aRefusal.m_instances), Uniform(0, 1));
  entry.m_pausedUntil = std::max(entry.m_pausedUntil, now + pause);
}

std::map<PoolId, RequestRate>
ServerRooms::StatementsToAdvertise() const
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::map<PoolId, RequestRate> statements;
  for (const auto& [pool, statement] : m_statements) {
    if (statement.m_heardAt &&
        now - *statement.m_heardAt <= m_options.m_statementLifetime / 2) {
      statements.emplace(pool, statement.m_maxRefusals);
    }
  }
  return statements;
}

std::map<BackendServerId, RefusedRoom>
ServerRooms::RefusalsToAdvertise() const
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  std::map<BackendServerId, RefusedRoom> refusals;
  for (const auto& [server, entry] : m_entries) {
    if (entry.m_ownRefusalAt &&
        now - *entry.m_ownRefusalAt <= m_options.m_refusalAdvertisement) {
      refusals.emplace(
        server,
        RefusedRoom{ .m_room = static_cast<unsigned>(entry.m_room),
                     .m_version = entry.m_refusals });
    }
  }
  return refusals;
}

std::optional<RoomShare>
ServerRooms::ShareOf(const RoomQuery& aQuery)
{
  const Statement* statement = FindStatement(aQuery.m_pool);
  if (statement == nullptr) {
    return std::nullopt;
  }
  const Entry& entry = EntryOf(aQuery.m_server, *statement, aQuery.m_slots);
  const SteadyTime now = m_options.m_clock.SteadyNow();
  const auto room =
    static_cast<std::size_t>(CurrentRoom(entry, aQuery.m_slots));
  const std::vector<InstanceId> holders = ChooseHolders(aQuery, room);
  const auto self = std::ranges::find(holders, aQuery.m_self);
  std::size_t share = 0;
  if (self != holders.end()) {
    const auto rank = static_cast<std::size_t>(self - holders.begin());
    share = room / holders.size() + (rank < room % holders.size() ? 1 : 0);
  }
  return RoomShare{
    .m_room = static_cast<unsigned>(room),
    .m_maxInFlight = static_cast<unsigned>(share),
    .m_pause =
      std::max(entry.m_pausedUntil - now, std::chrono::nanoseconds::zero()),
  };
}

std::vector<InstanceId>
ServerRooms::HoldersOf(const RoomQuery& aQuery)
{
  const Statement* statement = FindStatement(aQuery.m_pool);
  if (statement == nullptr) {
    return { aQuery.m_instances.begin(), aQuery.m_instances.end() };
  }
  const Entry& entry = EntryOf(aQuery.m_server, *statement, aQuery.m_slots);
  return ChooseHolders(
    aQuery, static_cast<std::size_t>(CurrentRoom(entry, aQuery.m_slots)));
}

std::vector<InstanceId>
ServerRooms::ChooseHolders(const RoomQuery& aQuery, std::size_t aRoom) const
{
  const std::string& server = aQuery.m_server.Value();
  const std::uint64_t seed = XXH64(server.data(), server.size(), 0);
  std::vector<std::pair<std::uint64_t, const InstanceId*>> ranked;
  ranked.reserve(aQuery.m_instances.size());
  for (const InstanceId& instance : aQuery.m_instances) {
    const std::string& id = instance.Value();
    ranked.emplace_back(XXH64(id.data(), id.size(), seed), &instance);
  }
  const std::size_t count = std::min(
    ranked.size(), std::max<std::size_t>(aRoom / m_options.m_minPlaces, 1));
  std::ranges::partial_sort(ranked,
                            ranked.begin() + static_cast<std::ptrdiff_t>(count),
                            std::greater());
  std::vector<InstanceId> holders;
  holders.reserve(count);
  for (std::size_t index = 0; index < count; ++index) {
    holders.push_back(*ranked[index].second);
  }
  return holders;
}

void
ServerRooms::KeepOnly(const std::set<BackendServerId>& aListed)
{
  std::erase_if(m_entries, [&](const auto& aEntry) {
    return !aListed.contains(aEntry.first);
  });
}

double
ServerRooms::Uniform(double aFrom, double aTo)
{
  return std::uniform_real_distribution<double>(aFrom, aTo)(m_options.m_random);
}

} // namespace rattanweir
