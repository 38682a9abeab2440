// Input of the load model: kinds of request, regions with their servers, and
// faults.
//
//   const LoadSystem system = GuidesAndBookings();
//
// Rates and durations are those of one deployment. Times of type double are in
// seconds.

#pragma once

#include "rattanweir/base/units/units.h"
#include "testing/engine_model/engine_model.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace rattanweir {

struct RequestKindProfile
{
  std::string m_name;
  bool m_isForEngine = false;
  // 0 is the most urgent.
  unsigned m_priority = 0;
  // Total of all regions, at a load factor of 1.
  double m_requestsPerSecond = 0;
  // Number of distinct prefixes that its prompts share, and their length.
  std::size_t m_documents = 1;
  Tokens m_sharedTokens;
  Tokens m_uniqueTokens;
  // Decoding steps of an engine's response, or milliseconds of service time of
  // a plain server.
  double m_steps = 1;
  std::chrono::milliseconds m_objective{};
  std::chrono::milliseconds m_deadline{};
  // Value to the caller of a response that starts within the objective, and of
  // one that starts later.
  double m_value = 1;
  double m_lateValue = 0.3;
};

struct LoadRegion
{
  std::size_t m_instances = 0;
  std::size_t m_engines = 0;
  std::size_t m_plainServers = 0;
  // Fraction of all callers.
  double m_share = 0;
};

struct LoadSystem
{
  std::vector<RequestKindProfile> m_kinds;
  std::vector<LoadRegion> m_regions;
  EngineModelOptions m_engine;
  // Time to copy a cached token from another engine; 0 if engines cannot copy.
  double m_copySecondsPerToken = 0;
  EngineModelOptions m_plainServer;
  // One-way network delays: from an instance to a server of its region, and
  // between regions.
  double m_intraRegionDelaySeconds = 0.0015;
  double m_interRegionDelaySeconds = 0.055;
  // Interval at which regions advertise their queueing delay to each other.
  double m_advertiseIntervalSeconds = 0.5;
};

struct LoadFault
{
  double m_at = 0;
  double m_duration = 0;
  std::size_t m_region = 0;
  // Multiplies the request rate of the region's callers.
  double m_loadFactor = 1;
  // Fraction of the region's servers that fail; they return without their cache
  // and queue.
  double m_lostServers = 0;
};

// Returns three regions of unequal size that receive equal load. Engines serve
// prompts with long shared guides and short prompts; plain servers serve
// bookings. At a load factor of 1 the engines are about 50% utilized if each
// guide is prefilled once.
LoadSystem
GuidesAndBookings();

} // namespace rattanweir
