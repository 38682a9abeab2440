// This instance's part of budgets that all instances share, without a message
// for a request.
//
//   RetryAllowance retries({ .m_clock = clock, .m_limits = limits });
//   retries.SetFleetSize(8);
//   retries.AddRequest(pool);
//   if (retries.TakeRetry(pool)) ...
//
//   ColdAllowance cold({ .m_clock = clock });
//   if (cold.Take({ .m_server = id, .m_requestsPerSecond = 9.8,
//                   .m_self = self, .m_instances = ids })) ...
//
// For one thread.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace rattanweir {

// In any window a pool gets at most `m_ratio` times its requests, and
// `m_extra` beside that, as retries from the whole fleet.
struct RetryLimits
{
  double m_ratio = 0.1;
  double m_extra = 20;
  std::chrono::nanoseconds m_window{ std::chrono::seconds(10) };
};

struct RetryAllowanceOptions
{
  const Clock& m_clock;
  RetryLimits m_limits;
  // Part of the limits that is used, since instances may not agree on the
  // size of the fleet.
  double m_used = 0.8;
};

class RetryAllowance
{
public:
  explicit RetryAllowance(const RetryAllowanceOptions& aOptions);

  void SetFleetSize(std::size_t aInstances);

  // A first attempt at a request.
  void AddRequest(const PoolId& aPool);

  // Whether one more attempt may be made; counts it if so.
  bool TakeRetry(const PoolId& aPool);

  // Retries that may be made now.
  double Available(const PoolId& aPool);

private:
  struct Usage
  {
    std::deque<SteadyTime> m_requests;
    std::deque<SteadyTime> m_retries;
  };

  void Expire(std::deque<SteadyTime>& aTimes) const;

  RetryAllowanceOptions m_options;
  std::size_t m_instances = 1;
  std::map<PoolId, Usage> m_usage;
};

// Who asks to send to a cold server.
struct ColdQuery
{
  BackendServerId m_server;
  // What the server takes from all instances together.
  double m_requestsPerSecond = 0;
  InstanceId m_self;
  // All instances that may send to it, this one included.
  std::vector<InstanceId> m_instances;
};

struct ColdAllowanceOptions
{
  const Clock& m_clock;
  // Part of what a server takes that is used, since instances may not agree
  // on who sends to it.
  double m_used = 0.8;
  // Instances share a cold server only while each has this many requests a
  // second; which ones follows from a hash that all compute alike.
  double m_minPerInstance = 2;
};

class ColdAllowance
{
public:
  explicit ColdAllowance(const ColdAllowanceOptions& aOptions);

  // Whether this instance may send to the server now, without counting.
  bool Permits(const ColdQuery& aQuery) const;

  // Counts a request that is sent.
  void Take(const ColdQuery& aQuery);

  // Forgets the servers that are not listed any more.
  void KeepOnly(const std::set<BackendServerId>& aListed);

private:
  // This instance's requests a second, or 0.
  double RateOf(const ColdQuery& aQuery) const;

  ColdAllowanceOptions m_options;
  // When the last request was sent.
  std::map<BackendServerId, SteadyTime> m_sentAt;
};

} // namespace rattanweir
