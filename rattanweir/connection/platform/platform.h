// Reads what the platform publishes, for as long as the process runs: the
// configuration's sections into the Catalog, the instance list into the
// Membership.
//
//   Platform platform(settings.m_platform, options);
//   platform.Start();
//   ...
//   platform.Stop();
//
// There are two sources. A directory holds a file for each section and one for
// the list. It is polled: one code for every file system, network mounts
// included, for five calls of stat twice a second. A service is read by one
// long watch for each section and one for the list; after an error it is asked
// again with exponential back-off and jitter. Either source may be away,
// faulty or behind for any time: what is in force stays.
//
// For one thread. Catalog, membership and metrics must outlive the coroutines,
// which end soon after Stop; the platform itself may go at once.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/clock/clock.h"
#include "rattanweir/process/membership/membership.h"
#include "rattanweir/process/metrics/metrics.h"
#include "rattanweir/process/settings/settings.h"
#include "rattanweir/version/catalog/catalog.h"

#include <chrono>
#include <memory>

namespace rattanweir {

struct PlatformOptions
{
  Executor m_executor;
  Catalog& m_catalog;
  Membership& m_membership;
  // Counts reads that failed, and lists and sections that were faulty.
  Metrics& m_metrics;
  const Clock& m_clock = SystemClock();
  // Between two looks at a directory.
  std::chrono::nanoseconds m_pollInterval{ std::chrono::milliseconds(500) };
  // A file is only read this long after its last change, so that one being
  // written is not taken for whole.
  std::chrono::nanoseconds m_settleTime{ std::chrono::milliseconds(200) };
  // How long a watch waits at the service.
  std::chrono::seconds m_watchTime{ 30 };
  // The bounds of the back-off; each wait is a random part of the step.
  std::chrono::nanoseconds m_firstBackOff{ std::chrono::milliseconds(100) };
  std::chrono::nanoseconds m_maxBackOff{ std::chrono::seconds(10) };
};

// One source that is being read.
class PlatformReader
{
public:
  virtual ~PlatformReader() = default;
  virtual void Start() = 0;
  virtual void Stop() = 0;
};

class Platform
{
public:
  Platform(const PlatformSource& aSource, const PlatformOptions& aOptions);
  ~Platform();
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  // Begins to read. A directory's files are read before it returns, but for
  // those that were changed just now.
  void Start();
  void Stop();

private:
  std::unique_ptr<PlatformReader> m_reader;
};

} // namespace rattanweir
