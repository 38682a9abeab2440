// Limits that hold for the entire fleet and that each instance enforces
// locally, without coordination per request. Used on the users' platform
// (settings with `fleet`).
//
//   FleetRetryBudget retries({ .m_clock = clock, .m_limits = limits });
//   retries.SetFleetSize(8);
//   retries.AddRequest(pool);
//   if (retries.TryConsumeRetry(pool)) ...
//
//   ServerRateLimiter limiter({ .m_clock = clock });
//   const ServerRateQuery query{ .m_server = id,
//                                .m_rate = RequestRate(9.8),
//                                .m_self = self,
//                                .m_instances = ids };
//   if (limiter.PermitFor(query).m_isGranted) {
//     limiter.RecordRequest(query);
//     ...
//   }
//
// Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/units/units.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace rattanweir {

// Bounds the retries that the entire fleet sends to one pool. In any window of
// length `m_window` the bound is `m_ratio` times the pool's first attempts plus
// `m_extra`.
struct RetryLimits
{
  double m_ratio = 0.1;
  double m_extra = 20;
  std::chrono::nanoseconds m_window{ std::chrono::seconds(10) };
};

struct FleetRetryBudgetOptions
{
  const Clock& m_clock;
  RetryLimits m_limits;
  // Fraction of the limits that the instances use. Less than 1, since instances
  // may disagree on the size of the fleet.
  double m_usedFraction = 0.8;
};

// This instance's part of the fleet's retry budget, per pool. The part grows
// with the requests that this instance handles.
class FleetRetryBudget
{
public:
  explicit FleetRetryBudget(const FleetRetryBudgetOptions& aOptions);

  // Sets the number of instances that divide `m_extra`; 0 counts as 1. While
  // the number is unknown, only the retries earned by requests are available.
  void SetFleetSize(std::optional<std::size_t> aInstances);

  // Records the first attempt of a request.
  void AddRequest(const PoolId& aPool);

  // Consumes one retry from the budget. Returns false if the budget is used up.
  bool TryConsumeRetry(const PoolId& aPool);

  // Returns the number of retries left now; may be fractional or negative.
  double Available(const PoolId& aPool);

private:
  struct Usage
  {
    std::deque<SteadyTime> m_requests;
    std::deque<SteadyTime> m_retries;
  };

  // Removes the times that are older than the window.
  void Expire(std::deque<SteadyTime>& aTimes) const;

  FleetRetryBudgetOptions m_options;
  std::optional<std::size_t> m_instances = 1;
  std::map<PoolId, Usage> m_usage;
};

// Asks whether an instance may send a request to a server that takes only a
// limited rate from all instances together: one that has started recently, or
// one that has named a limit.
struct ServerRateQuery
{
  BackendServerId m_server;
  // The rate that the instances use together.
  RequestRate m_rate;
  // How much unused time an instance may make up for by sending faster.
  std::chrono::nanoseconds m_maxBurst{};
  InstanceId m_self;
  // All instances that may send requests to the server, including `m_self`.
  std::vector<InstanceId> m_instances;
  // False while `m_instances` may be incomplete, for example after a start.
  // This instance then sends nothing.
  bool m_areInstancesKnown = true;
};

struct ServerRatePermit
{
  bool m_isGranted = false;
  // If the permit is not granted: the time until the next one, of this instance
  // or of an instance that may send to the server. 0 while unknown.
  std::chrono::nanoseconds m_wait{};
  // The least time between two requests of this instance; 0 if it is not one of
  // those that send to the server.
  std::chrono::nanoseconds m_interval{};
};

struct ServerRateLimiterOptions
{
  const Clock& m_clock;
};

// Limits the rate at which this instance sends requests to servers with a
// limited rate. If the rate does not suffice for one request per second from
// each instance, only some instances send, which all instances select by hash.
// Each of them sends at most one request per second. The number of requests
// that arrive in any second is then at most the number of selected instances,
// so that it exceeds the server's rate only as far as the instances disagree on
// the selection.
class ServerRateLimiter
{
public:
  explicit ServerRateLimiter(const ServerRateLimiterOptions& aOptions);

  // Returns whether this instance may send a request to the server now. Records
  // nothing.
  ServerRatePermit PermitFor(const ServerRateQuery& aQuery) const;

  // Records that a request is sent to the server now. Returns true if it is the
  // first one that this instance sends to the server.
  bool RecordRequest(const ServerRateQuery& aQuery);

  // Removes the state of all servers that are not in `aListed`.
  void KeepOnly(const std::set<BackendServerId>& aListed);

private:
  // This instance's part in sending to one server.
  struct Share
  {
    bool m_isSelected = false;
    // The minimum time between two requests of a selected instance.
    std::chrono::nanoseconds m_interval{};
  };

  static Share ShareOf(const ServerRateQuery& aQuery);

  ServerRateLimiterOptions m_options;
  // For each server the time from which the next interval is counted: that of
  // the last request, or up to the maximum burst earlier.
  std::map<BackendServerId, SteadyTime> m_countedFrom;
};

} // namespace rattanweir
