// Product's own interface (settings without `fleet`): continuously reads the
// configuration sections into the Catalog and the instance list into the
// Membership.
//
//   Platform platform(settings.m_platform, options);
//   platform.Start();
//   ...
//   platform.Stop();
//
// There are two kinds of source. A directory holds one file per section and one
// for the instance list. The files are polled, because polling works on every
// file system, network mounts included, and costs five calls of stat twice a
// second. A service is read by long polling, with one request for each section
// and one for the instance list; a failed request is retried with exponential
// back-off and jitter. While a source is unavailable, invalid or outdated, the
// sections and the instance list in force stay in force.
//
// Not thread-safe. Catalog, membership and metrics must outlive the coroutines,
// which end soon after Stop; the Platform itself may be destroyed immediately.

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
  // Counts failed reads, and rejected sections and instance lists.
  Metrics& m_metrics;
  const Clock& m_clock = SystemClock();
  // Time between two polls of a directory.
  std::chrono::nanoseconds m_pollInterval{ std::chrono::milliseconds(500) };
  // Time since the last modification after which a file is read. Prevents
  // reading a file that is still being written.
  std::chrono::nanoseconds m_settleTime{ std::chrono::milliseconds(200) };
  // Time for which the service may hold a long-polling request.
  std::chrono::seconds m_watchTimeout{ 30 };
  // Initial and maximum step of the back-off. Each delay is a random value of
  // at least half the step and at most the step.
  std::chrono::nanoseconds m_initialBackOff{ std::chrono::milliseconds(100) };
  std::chrono::nanoseconds m_maxBackOff{ std::chrono::seconds(10) };
};

// Reads one source.
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

  // Starts reading. Reads the files of a directory before returning, except
  // files that were modified less than the settle time ago.
  void Start();
  void Stop();

private:
  std::unique_ptr<PlatformReader> m_reader;
};

} // namespace rattanweir
