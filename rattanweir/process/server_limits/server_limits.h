// Users' platform (settings with `fleet`): the request rates that backend
// servers have named as the most that they take from all instances together.
//
//   ServerLimits limits({ .m_clock = clock });
//   limits.RecordResponse(server, { .m_named = RequestRate(2.5), ... });
//   limits.Merge(server, limitOfPeer);
//   if (const auto rate = limits.RateOf(server)) ...
//
// A server names its limit in each response for as long as it needs the limit;
// a response without one ends it. An instance that gets no responses of the
// server learns both from its peers. Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/units/units.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace rattanweir {

// What a server's response says about its limit.
struct LimitStatement
{
  // nullopt: the server names no limit.
  std::optional<RequestRate> m_named;
  // When the request was sent to which this is the response.
  SteadyTime m_sentAt;
};

// What an instance knows of a server's limit, for its peers.
struct NamedLimit
{
  // nullopt: the limit has ended.
  std::optional<RequestRate> m_rate;
  // Incremented by each instance that notices a change in a response. Of two
  // versions the higher one is newer.
  std::uint64_t m_version = 0;

  friend bool operator==(const NamedLimit&, const NamedLimit&) = default;
};

struct ServerLimitsOptions
{
  const Clock& m_clock;
  // How long the end of a limit is told to peers.
  std::chrono::nanoseconds m_endMemory{ std::chrono::minutes(1) };
};

class ServerLimits
{
public:
  explicit ServerLimits(const ServerLimitsOptions& aOptions)
    : m_options(aOptions)
  {
  }

  // Records what a response of this incarnation of a server says. A statement
  // that raises or ends a limit is ignored if its request was sent before the
  // limit became known: responses may overtake each other. Returns true if the
  // limit has changed.
  bool RecordResponse(const BackendServerId& aIncarnation,
                      const LimitStatement& aStatement);

  // Merges what a peer knows. Of two limits of the same version the lower one
  // is kept. Returns true if the limit has changed.
  bool Merge(const BackendServerId& aIncarnation, const NamedLimit& aLimit);

  // Returns what is to be told to peers: the limits that hold, and those that
  // have ended recently.
  std::map<BackendServerId, NamedLimit> ToAdvertise() const;

  // Returns the limit, or nullopt if the server has none.
  std::optional<RequestRate> RateOf(const BackendServerId& aIncarnation) const;

  // Removes the state of all servers that are not in `aListed`.
  void KeepOnly(const std::set<BackendServerId>& aListed);

private:
  struct Entry
  {
    NamedLimit m_limit;
    SteadyTime m_changedAt;
  };

  ServerLimitsOptions m_options;
  std::map<BackendServerId, Entry> m_entries;
};

} // namespace rattanweir
