// A TCP socket whose waits end after a time, or at once when told to.
//
//   TimedSocket socket(asio::ip::tcp::socket(executor));
//   socket.ExpireAfter(2s);
//   co_await socket.Get().async_read_some(buffer, use_awaitable);
//
// A wait that is ended so gives operation_aborted, and the socket stays open:
// a server can still say why. One end serves all later waits as well, until
// ExpireAfter or ExpireNever is called. For one thread.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/endpoint/endpoint.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>

namespace rattanweir {

class TimedSocket
{
public:
  explicit TimedSocket(asio::ip::tcp::socket aSocket);
  ~TimedSocket();
  TimedSocket(const TimedSocket&) = delete;
  TimedSocket& operator=(const TimedSocket&) = delete;

  asio::ip::tcp::socket& Get();

  // Ends the waits this long from now. Replaces an earlier time.
  void ExpireAfter(std::chrono::nanoseconds aDuration);
  void ExpireNever();

  // Ends the waits now.
  void Interrupt();

  // Whether the time has passed or Interrupt was called since the last call
  // of ExpireAfter or ExpireNever.
  bool HasExpired() const;

  // Closes the socket, if it is open. What was written is still delivered.
  void Close();

  // Whether anything can be read, the end of the stream included, without
  // taking it.
  bool IsReadable() const;

  // Whether the other side has closed its end, or the connection broke, even
  // with unread bytes before that.
  bool IsClosedByPeer() const;

private:
  struct State;
  std::shared_ptr<State> m_state;
};

// The addresses in Asio's form and back.
asio::ip::tcp::endpoint
ToAsioEndpoint(const Endpoint& aEndpoint);
Endpoint
FromAsioEndpoint(const asio::ip::tcp::endpoint& aEndpoint);

} // namespace rattanweir
