// Sees that a caller closes its connection while its request runs.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/cancel/cancel.h"
#include "rattanweir/connection/timed_socket/timed_socket.h"

#include <memory>

namespace rattanweir {

// Cancels with CallerGone and ends the waits of the socket once the other side
// has closed its end. Takes no byte from the socket. Both must outlive it.
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
