#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/http_server/internal/caller_disconnect_monitor.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>

namespace rattanweir {
namespace {

using boost::system::error_code;

// While bytes of the next request are unread, the socket is always readable, so
// waiting for readability can't detect a close. The socket is polled instead.
constexpr auto kPollInterval = std::chrono::milliseconds(100);

} // namespace

struct CallerDisconnectMonitor::State : std::enable_shared_from_this<State>
{
  State(TimedSocket& aSocket, CancelSource& aCancel)
    : m_socket(&aSocket)
    , m_cancel(&aCancel)
  {
  }

  void Wait()
  {
    m_socket->Get().async_wait(
      asio::ip::tcp::socket::wait_read,
      [state = shared_from_this()](const error_code& aError) {
        if (state->m_isActive) {
          state->CheckConnection(aError);
        }
      });
  }

  // Returns whether the caller has left; cancels the request if so.
  bool CancelIfClosed()
  {
    if (!m_socket->IsClosedByPeer()) {
      return false;
    }
    m_cancel->Cancel(ResultCode::CallerGone);
    m_socket->Interrupt();
    return true;
  }

  void CheckConnection(const error_code& aError)
  {
    if (CancelIfClosed()) {
      return;
    }
    if (aError && m_socket->HasExpired()) {
      return;
    }
    if (!m_socket->IsReadable()) {
      Wait();
      return;
    }
    WaitForPoll();
  }

  void WaitForPoll()
  {
    if (!m_timer) {
      m_timer.emplace(m_socket->Get().get_executor());
    }
    m_timer->expires_after(kPollInterval);
    m_timer->async_wait([state = shared_from_this()](const error_code&) {
      if (state->m_isActive) {
        state->CheckConnection({});
      }
    });
  }

  TimedSocket* m_socket;
  CancelSource* m_cancel;
  bool m_isActive = true;
  std::optional<asio::steady_timer> m_timer;
};

CallerDisconnectMonitor::CallerDisconnectMonitor(TimedSocket& aSocket,
                                                 CancelSource& aCancel)
  : m_state(std::make_shared<State>(aSocket, aCancel))
{
  aCancel.SetCheck([state = m_state] { state->CancelIfClosed(); });
  m_state->Wait();
}

CallerDisconnectMonitor::~CallerDisconnectMonitor()
{
  m_state->m_isActive = false;
  m_state->m_cancel->SetCheck({});
  error_code ignored;
  m_state->m_socket->Get().cancel(ignored);
  if (m_state->m_timer) {
    m_state->m_timer->cancel();
  }
}

} // namespace rattanweir
