// Simulates a load on a fleet whose instances use the product's placement code
// (request/gateway), and reports what the callers received.
//
//   const LoadFigures figures =
//     PlayLoad({ .m_system = GuidesAndBookings(), .m_factor = 2, .m_seed = 7
//     });
//
// A discrete-event simulation in one thread, without network, processes or real
// waiting. Each instance has the information that a real one has: its own
// dispatches, the queue lengths reported in responses, and the delays that
// other regions advertised last. Not simulated: rate limits of client accounts,
// streams after their first event, and connections.

#pragma once

#include "testing/load_model/load_system.h"
#include "testing/load_model/placement_policy.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattanweir {

struct LoadScenario
{
  LoadSystem m_system;
  PolicyKind m_policy = PolicyKind::Product;
  // Multiplies the arrival rate of every kind of request.
  double m_factor = 1;
  std::uint64_t m_seed = 0;
  std::vector<LoadFault> m_faults;
  // Requests that arrive earlier are not counted.
  double m_warmUpSeconds = 5;
  double m_endSeconds = 35;
};

struct RequestKindStats
{
  std::string m_name;
  std::size_t m_offered = 0;
  std::size_t m_metObjective = 0;
  std::size_t m_missedObjective = 0;
  // Refused, without a later successful retry.
  std::size_t m_refused = 0;
  // Without a response at the deadline.
  std::size_t m_timedOut = 0;
  // Time to first byte in seconds, over the requests with a response.
  double m_p50 = 0;
  double m_p95 = 0;
  double m_p99 = 0;
  // Longest time from an attempt's arrival at its entry instance until the
  // caller receives the refusal, in seconds. Includes refusals that are
  // retried.
  double m_slowestRefusal = 0;

  double AnsweredFraction() const
  {
    return m_offered == 0
             ? 1
             : double(m_metObjective + m_missedObjective) / double(m_offered);
  }
};

struct LoadStats
{
  std::vector<RequestKindStats> m_kinds;
  // Value per second of the responses received, and of all requests if each
  // met its objective.
  double m_goodputPerSecond = 0;
  double m_offeredPerSecond = 0;
  // Fraction of shared prefix tokens that engines had to prefill.
  double m_recomputedFraction = 0;

  double GoodputRatio() const
  {
    return m_goodputPerSecond / m_offeredPerSecond;
  }
  // Throws std::out_of_range if no kind has this name.
  const RequestKindStats& StatsOf(const std::string& aName) const;
};

LoadStats
RunLoadModel(const LoadScenario& aScenario);

} // namespace rattanweir
