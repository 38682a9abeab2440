#include "rattanweir/request/wait/wait.h"

#include <boost/asio/redirect_error.hpp>

namespace rattanweir {

Task<void>
WaitFor(Executor aExecutor,
        std::chrono::nanoseconds aDuration,
        CancelSource& aCancel)
{
  WakeableTimer timer(aExecutor);
  co_await timer.WaitFor(aDuration, aCancel);
}

WakeableTimer::WakeableTimer(const Executor& aExecutor)
  : m_timer(aExecutor)
{
}

void
WakeableTimer::Wake()
{
  m_timer.cancel();
}

Task<void>
WakeableTimer::WaitFor(std::chrono::nanoseconds aDuration,
                       CancelSource& aCancel)
{
  if (aCancel.Reason()) {
    co_return;
  }
  m_timer.expires_after(aDuration);
  const auto registration = aCancel.OnCancel([this] { m_timer.cancel(); });
  boost::system::error_code error;
  co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

} // namespace rattanweir
