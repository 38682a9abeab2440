// Which requests an instance that is stopping still sends to backend servers.
// Used on the users' platform (settings with `fleet`).
//
//   ServiceEnd end({ .m_clock = clock });
//   end.Configure(config.Routes());
//   end.RecordRun({ .m_route = route, .m_pool = pool }, duration);
//   end.Announce(clock.SteadyNow() + 7s);      // at the stop signal
//   end.AddPeerRuns(runs);                     // what a peer has recorded
//   if (!end.MayDispatch({ .m_route = route, .m_pool = pool,
//                          .m_begunAt = begunAt,
//                          .m_deadline = deadline })) ...
//
// Once the stop is announced, a request is sent only if its response is
// expected before the instance ends. A request whose deadline lies before the
// end always fits. Otherwise the durations of recent responses on the route
// from the same pool decide:
//
// - Shortly after the announcement (the notice time), callers have not yet
//   learned of the stop. Requests that can be repeated are sent unless most
//   responses take longer than what is left, the others if even the longest
//   response takes a small part of that.
// - Later, requests that began to arrive in that time are sent if the longest
//   response takes a small part of what is left, and fits with a silence of the
//   server. Of those that began later, only idempotent ones are sent, on the
//   same condition.
//
// If no response on the route is known, those of the pool's other routes count,
// as uncertainly as a few of its own.
//
// The instance applies this at each dispatch: on arrival, after waiting in the
// queue, and before a retry. Not thread-safe. No I/O.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/version/fleet_config/fleet_config.h"

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace rattanweir {

struct ServiceEndOptions
{
  const Clock& m_clock;
  // The time after the announcement in which callers may not have learned of
  // the stop. A little less than the 3 s for which they use a response of the
  // directory, since the stop signal may be handled late.
  std::chrono::nanoseconds m_noticeTime{ std::chrono::milliseconds(2'800) };
  // The longest silence of a sound server within a response.
  std::chrono::nanoseconds m_maxSilence{ std::chrono::milliseconds(2'500) };
};

// Requests whose responses are expected to take similar times.
struct RunClass
{
  RouteId m_route;
  PoolId m_pool;

  auto operator<=>(const RunClass&) const = default;
};

// The durations of recent responses.
struct RunSummary
{
  std::size_t m_count = 0;
  // 95 in 100 took no longer.
  std::chrono::nanoseconds m_usual{};
  std::chrono::nanoseconds m_longest{};
  // How long a request took at least that ended before its response.
  std::chrono::nanoseconds m_longestUnfinished{};

  // Adds responses that another instance has seen, or of another class. The
  // number and the usual duration become those of the larger number, since two
  // instances may have seen the same responses.
  void Merge(const RunSummary& aOther);
};

using RunSummaries = std::map<RunClass, RunSummary>;

struct ServiceEndQuery
{
  const FleetRoute& m_route;
  PoolId m_pool;
  // When the first bytes of the request arrived.
  SteadyTime m_begunAt;
  SteadyTime m_deadline;
};

// Whether a request may be sent by an instance that is stopping, and why.
struct ServiceEndDecision
{
  bool m_maySend = true;
  // The time until the instance ends.
  std::chrono::nanoseconds m_timeLeft{};
  // What is known of similar requests.
  RunSummary m_runs;
};

class ServiceEnd
{
public:
  explicit ServiceEnd(const ServiceEndOptions& aOptions)
    : m_options(aOptions)
  {
  }

  // Forgets the durations of routes that are gone, of pools that a route does
  // not use any more, and of routes whose timeout was so short before that it
  // may have ended their longer responses.
  void Configure(const std::vector<FleetRoute>& aRoutes);

  // Records the time from the dispatch of a request to the end of its response,
  // without the time for which its server was silent.
  void RecordRun(const RunClass& aClass, std::chrono::nanoseconds aDuration);

  // Records a request that ended before its response, because its deadline
  // passed or its caller left. Within the notice time, in which the callers of
  // most requests are best served here, such requests don't count.
  void RecordUnfinishedRun(const RunClass& aClass,
                           std::chrono::nanoseconds aDuration);

  // Announces that responses in progress at `aEnd` will be cut.
  void Announce(SteadyTime aEnd);

  // Returns the durations that this instance has recorded, for a peer that is
  // stopping.
  RunSummaries LocalRuns() const;

  // Adds the durations that a peer has recorded.
  void AddPeerRuns(const RunSummaries& aRuns);

  bool IsAnnounced() const { return m_announcedAt.has_value(); }

  // Returns when the stop was announced.
  std::optional<SteadyTime> AnnouncedAt() const { return m_announcedAt; }

  // Returns whether a request may be sent to a server or a peer now. True
  // unless the stop was announced.
  bool MayDispatch(const ServiceEndQuery& aQuery) const
  {
    return Decide(aQuery).m_maySend;
  }

  // Returns the same with the reasons.
  ServiceEndDecision Decide(const ServiceEndQuery& aQuery) const;

private:
  // The durations of the last responses of a class.
  class RunDurations
  {
  public:
    void Add(std::chrono::nanoseconds aDuration);
    void AddUnfinished(std::chrono::nanoseconds aDuration);
    RunSummary Summary() const;

  private:
    static constexpr std::size_t kMaxRuns = 64;

    std::array<std::chrono::nanoseconds, kMaxRuns> m_runs{};
    std::size_t m_count = 0;
    std::size_t m_next = 0;
    std::chrono::nanoseconds m_longestUnfinished{};
    std::size_t m_runsSinceUnfinished = 0;
  };

  // Returns what this instance and its peers know of the class.
  RunSummary RunsOf(const RunClass& aClass) const;
  // Returns the same of all routes to the pool.
  RunSummary RunsOfPool(const PoolId& aPool) const;
  // Returns whether the timeout of the route was so short that responses which
  // it ended may be missing from the durations.
  bool MayBeTruncated(const RunSummary& aRuns, const FleetRoute& aRoute) const;

  ServiceEndOptions m_options;
  std::map<RunClass, RunDurations> m_durations;
  RunSummaries m_peerRuns;
  // The routes' timeouts in the configuration before.
  std::map<RouteId, std::chrono::nanoseconds> m_timeouts;
  std::optional<SteadyTime> m_announcedAt;
  SteadyTime m_end;
};

} // namespace rattanweir
