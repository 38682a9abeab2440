// What the load model plays: kinds of request, regions with their servers, and
// troubles.
//
//   const LoadSystem system = GuidesAndBookings();
//
// Rates and durations are those of one deployment; times are in seconds where
// the type does not say otherwise.

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
  // From all regions together, at a load factor of 1.
  double m_requestsPerSecond = 0;
  // The different beginnings that its prompts share, and their length.
  std::size_t m_documents = 1;
  Tokens m_sharedTokens;
  Tokens m_uniqueTokens;
  // Steps of an engine's answer, or milliseconds of a plain server's work.
  double m_steps = 1;
  std::chrono::milliseconds m_objective{};
  std::chrono::milliseconds m_deadline{};
  // To the caller, of an answer that begins by the objective or later.
  double m_value = 1;
  double m_lateValue = 0.3;
};

struct LoadRegion
{
  std::size_t m_instances = 0;
  std::size_t m_engines = 0;
  std::size_t m_plainServers = 0;
  // Part of the callers.
  double m_share = 0;
};

struct LoadSystem
{
  std::vector<RequestKindProfile> m_kinds;
  std::vector<LoadRegion> m_regions;
  EngineModelOptions m_engine;
  // How long an engine takes to copy a cached token from another one; 0 if
  // engines cannot.
  double m_copySecondsPerToken = 0;
  EngineModelOptions m_plainServer;
  // One way, from an instance to a server of its region, and to another
  // region.
  double m_intraRegionDelaySeconds = 0.0015;
  double m_interRegionDelaySeconds = 0.055;
  // How often regions tell each other their delay.
  double m_advertiseIntervalSeconds = 0.5;
};

struct LoadFault
{
  double m_at = 0;
  double m_duration = 0;
  std::size_t m_region = 0;
  // Of the region's callers.
  double m_loadFactor = 1;
  // Part of the region's servers that is lost, and comes back empty.
  double m_lostServers = 0;
};

// Three regions of unequal size, evenly asked, with engines that answer from
// long guides and short questions, and plain servers for bookings. At a load
// factor of 1 the engines are busy for about half of the time if guides are
// read once.
LoadSystem
GuidesAndBookings();

} // namespace rattanweir
