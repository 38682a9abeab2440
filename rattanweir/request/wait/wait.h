// Waits that end early when their request is cancelled.
//
//   co_await WaitFor(executor, 20ms, cancel);
//
// For one thread.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/cancel/cancel.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>

namespace rattanweir {

// Returns after the duration, or as soon as `aCancel` is cancelled.
Task<void>
WaitFor(Executor aExecutor,
        std::chrono::nanoseconds aDuration,
        CancelSource& aCancel);

// Wakes one waiting task.
class WakeableTimer
{
public:
  explicit WakeableTimer(const Executor& aExecutor);

  // Ends a wait that has begun; has no effect on a later one.
  void Wake();

  // Returns after the duration, on Wake, or when `aCancel` is cancelled.
  Task<void> WaitFor(std::chrono::nanoseconds aDuration, CancelSource& aCancel);

private:
  boost::asio::steady_timer m_timer;
};

} // namespace rattanweir
