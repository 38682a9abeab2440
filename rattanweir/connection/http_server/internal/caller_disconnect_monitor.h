// Detects that a caller closes its connection while its request runs.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/cancel/cancel.h"
#include "rattanweir/connection/timed_socket/timed_socket.h"

#include <memory>

namespace rattanweir {

// Cancels the request with CallerGone and interrupts the socket's waits once
// the caller has closed its sending side, and is the source's check. Consumes
// no bytes from the socket. The socket and the cancel source must outlive the
// monitor.
class CallerDisconnectMonitor
{
public:
  CallerDisconnectMonitor(TimedSocket& aSocket, CancelSource& aCancel);
  ~CallerDisconnectMonitor();
  CallerDisconnectMonitor(const CallerDisconnectMonitor&) = delete;
  CallerDisconnectMonitor& operator=(const CallerDisconnectMonitor&) = delete;

private:
  struct State;
  std::shared_ptr<State> m_state;
};

} // namespace rattanweir
