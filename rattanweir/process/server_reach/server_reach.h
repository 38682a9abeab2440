// Which backend servers this instance can open connections to. Used on the
// users' platform (settings with `fleet`).
//
//   ServerReach reach({ .m_clock = clock });
//   reach.RecordFailure(endpoint);
//   reach.RecordContact(endpoint);
//   if (reach.IsReachable(endpoint)) ...
//   for (const Endpoint& endpoint : reach.TakeDueProbes(servers)) ...
//
// That a server is well and that this instance reaches it are two matters: an
// instance may lose its links to servers that others reach. Only new
// connections count as evidence, since open ones may live on while new ones are
// refused, or fall silent.
//
// A server is unreachable from a failed connection until one succeeds. If
// connections to several servers fail and none succeeds in between, the
// instance concludes that it has lost its own links and takes all servers for
// unreachable, until a connection to any of them succeeds. To tell this quickly
// from the loss of a server or a rack, each failure makes probes of servers due
// that have not failed.
//
// Not thread-safe. No I/O.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/endpoint/endpoint.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace rattanweir {

struct ServerReachOptions
{
  const Clock& m_clock;
  // Number of servers to which connections have to fail before the instance
  // concludes that it has lost its links: the higher of a number and a fraction
  // of all servers, at most all of them.
  std::size_t m_minFailuresToConclude = 3;
  double m_fractionToConclude = 0.25;
  // How recent these failures have to be.
  std::chrono::nanoseconds m_evidenceLifetime{ std::chrono::seconds(2) };
  // Interval between two probes of an unreachable server. Doubles with each
  // failed probe, up to the second value.
  std::chrono::nanoseconds m_firstProbeInterval{ std::chrono::milliseconds(
    200) };
  std::chrono::nanoseconds m_maxProbeInterval{ std::chrono::seconds(2) };
  // Interval between two probes while the instance has lost its links.
  std::chrono::nanoseconds m_lostLinksProbeInterval{ std::chrono::milliseconds(
    100) };
};

class ServerReach
{
public:
  explicit ServerReach(const ServerReachOptions& aOptions)
    : m_options(aOptions)
  {
  }

  // Records that a new connection to the server failed before a byte was sent.
  // Returns true if the instance concludes from it that it has lost its links.
  bool RecordFailure(const Endpoint& aServer);

  // Records that a new connection to the server was opened. Returns true if the
  // server, or all servers, were unreachable before.
  bool RecordContact(const Endpoint& aServer);

  bool IsReachable(const Endpoint& aServer) const
  {
    return !m_linksLostAt && !m_unreachable.contains(aServer);
  }

  // Returns whether the instance has concluded that it has lost its links.
  bool HasLostLinks() const { return m_linksLostAt.has_value(); }

  // Returns the servers to which a connection is to be tried now. Each counts
  // as tried; the caller records the outcome. `aServers` are all servers that
  // the instance should reach; others are forgotten.
  std::vector<Endpoint> TakeDueProbes(std::span<const Endpoint> aServers);

  // Returns the number of servers that are unreachable by a failed connection
  // of their own.
  std::size_t CountUnreachable() const { return m_unreachable.size(); }

private:
  struct Unreachable
  {
    SteadyTime m_probeAt;
    std::chrono::nanoseconds m_probeInterval{};
  };

  const Endpoint& NextWhileLinksAreLost(std::span<const Endpoint> aServers);
  void ForgetOthers(std::span<const Endpoint> aServers);
  // Adds servers that have not failed: as many as it would take to conclude
  // that the links are lost.
  void AddOthers(std::span<const Endpoint> aServers,
                 std::vector<Endpoint>& aDue) const;
  std::size_t FailuresNeeded() const;
  std::size_t CountRecentFailures() const;

  ServerReachOptions m_options;
  // The number of servers that the instance should reach.
  std::size_t m_serverCount = 0;
  std::map<Endpoint, Unreachable> m_unreachable;
  // The servers that have become unreachable since the last contact with any,
  // and when.
  std::map<Endpoint, SteadyTime> m_failuresSinceContact;
  std::optional<SteadyTime> m_linksLostAt;
  // The server that is probed next while the links are lost, and when.
  std::size_t m_nextServer = 0;
  SteadyTime m_nextProbeAt;
  // Probes of servers that have not failed are due.
  bool m_wantsOthers = false;
};

} // namespace rattanweir
