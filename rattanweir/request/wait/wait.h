// Timed waits that end early when the request is cancelled.
//
//   co_await WaitFor(executor, 20ms, cancel);
//
// Not thread-safe.

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

// A timer whose wait can be ended early by `Wake`, for one waiting task.
class WakeableTimer
{
public:
  explicit WakeableTimer(const Executor& aExecutor);

  // Ends the wait in progress; has no effect on later waits.
  void Wake();

  // Returns after the duration, after `Wake`, or when `aCancel` is cancelled.
  Task<void> WaitFor(std::chrono::nanoseconds aDuration, CancelSource& aCancel);

private:
  boost::asio::steady_timer m_timer;
};

} // namespace rattanweir
