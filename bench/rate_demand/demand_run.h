// Sends a schedule of requests to a fleet and keeps what came of each.
//
//   const auto schedule = MakeSchedule({ .m_tokensPerSecond = 1'900,
//                                        .m_seconds = 30,
//                                        .m_instances = { "r0-1" } }, engine);
//   const std::vector<Result> results = Send(fleet, "small", schedule);
//
// Requests are sent at their times whether or not earlier ones are answered.

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
  // The instances that take the requests, in turn.
  std::vector<std::string> m_instances;
  int m_minTokens = 20;
  int m_maxTokens = 180;
};

// Times are seconds after the schedule begins.
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
  // The result number of a refusal.
  std::string m_result;
};

// Arrivals at random times with sizes at random.
std::vector<Arrival>
MakeSchedule(const DemandOptions& aOptions, RandomEngine& aRandom);

// Returns once the last one is answered, in the order of the schedule.
std::vector<Result>
Send(testing::Fleet& aFleet,
     const std::string& aClientAccount,
     const std::vector<Arrival>& aSchedule);

} // namespace rattanweir::bench
