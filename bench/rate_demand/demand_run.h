// Sends a schedule of requests to a fleet and records the result of each.
//
//   const auto schedule = MakeSchedule({ .m_tokensPerSecond = 1'900,
//                                        .m_seconds = 30,
//                                        .m_instances = { "r0-1" } }, engine);
//   const std::vector<Result> results = Send(fleet, "small", schedule);
//
// Each request is sent at its scheduled time, even if earlier requests are
// still waiting for their responses.

#pragma once

#include "rattanweir/base/random/random.h"
#include "testing/harness/fleet.h"

#include <string>
#include <vector>

namespace rattanweir::bench {

struct DemandOptions
{
  double m_tokensPerSecond = 0;
  double m_seconds = 0;
  // The instances that receive the requests, in round-robin order.
  std::vector<std::string> m_instances;
  int m_minTokens = 20;
  int m_maxTokens = 180;
};

// Times are in seconds since the start of the schedule.
struct Arrival
{
  double m_time = 0;
  std::string m_instance;
  int m_tokens = 0;
};

struct Result
{
  double m_sentAt = 0;
  double m_endedAt = 0;
  int m_tokens = 0;
  bool m_isServed = false;
  // Result code of a request that was not served; empty if there is none.
  std::string m_result;
};

// Returns a Poisson process of arrivals with uniformly distributed sizes.
std::vector<Arrival>
MakeSchedule(const DemandOptions& aOptions, RandomEngine& aRandom);

// Blocks until all requests have ended and returns their results in the order
// of the schedule.
std::vector<Result>
Send(testing::Fleet& aFleet,
     const std::string& aClientAccount,
     const std::vector<Arrival>& aSchedule);

} // namespace rattanweir::bench
