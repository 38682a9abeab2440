// Users' platform (settings with `fleet`): notices that peers have had a newer
// configuration in force for too long. However this instance missed it, reading
// the whole topic again then repairs the gap.
//
//   ConfigLagDetector detector({ .m_clock = clock });
//   if (detector.ShouldReadAgain(inForce, newestOfPeers)) { ... }
//
// Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"

#include <chrono>
#include <optional>

namespace rattanweir {

struct ConfigLagOptions
{
  const Clock& m_clock;
  // How long peers may be ahead. Also the least time between two reads.
  std::chrono::nanoseconds m_tolerance{ std::chrono::seconds(1) };
};

class ConfigLagDetector
{
public:
  explicit ConfigLagDetector(const ConfigLagOptions& aOptions)
    : m_options(aOptions)
  {
  }

  // Returns true if the newest version of the peers has been higher than the
  // one in force here since the tolerance. Call at intervals well below it.
  bool ShouldReadAgain(SectionVersion aInForce, SectionVersion aNewestOfPeers);

private:
  ConfigLagOptions m_options;
  std::optional<SteadyTime> m_behindSince;
};

} // namespace rattanweir
