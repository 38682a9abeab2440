// Plays a load against instances that decide with the product's own code, and
// says what the callers got.
//
//   const LoadFigures figures =
//     PlayLoad({ .m_system = GuidesAndBookings(), .m_factor = 2, .m_seed = 7
//     });
//
// Discrete events in one thread: no network, no processes, no waiting. Each
// instance knows what a real one knows: its own dispatches, the counts that
// come with answers, and what other regions told a moment ago. Rates of client
// accounts, streams after their first event and connections are left out.

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
  // Multiplies the rate of every kind.
  double m_factor = 1;
  std::uint64_t m_seed = 0;
  std::vector<LoadFault> m_faults;
  // Requests that come before this are not counted.
  double m_warmUpSeconds = 5;
  double m_endSeconds = 35;
};

struct RequestKindStats
{
  std::string m_name;
  std::size_t m_offered = 0;
  std::size_t m_metObjective = 0;
  std::size_t m_missedObjective = 0;
  // Got a refusal as the final answer.
  std::size_t m_refused = 0;
  // Had no answer at the deadline.
  std::size_t m_timedOut = 0;
  // Seconds until answers began, of those that did.
  double m_p50 = 0;
  double m_p95 = 0;
  double m_p99 = 0;
  // The longest time that a refusal took.
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
  // Of the answers a second, and of all requests if each were on time.
  double m_goodputPerSecond = 0;
  double m_offeredPerSecond = 0;
  // Part of the shared tokens that engines had to read.
  double m_recomputedFraction = 0;

  double GoodputRatio() const
  {
    return m_goodputPerSecond / m_offeredPerSecond;
  }
  // Throws std::out_of_range.
  const RequestKindStats& StatsOf(const std::string& aName) const;
};

LoadStats
RunLoadModel(const LoadScenario& aRun);

} // namespace rattanweir
