// A TCP socket whose asynchronous waits can time out or be interrupted.
//
//   TimedSocket socket(asio::ip::tcp::socket(executor));
//   socket.ExpireAfter(2s);
//   co_await socket.Get().async_read_some(buffer, use_awaitable);
//
// Such a wait ends with operation_aborted and the socket stays open, so that a
// server can still send an error response. After a timeout or an interrupt all
// later waits end at once too, until ExpireAfter or ExpireNever is called.
//
// Not thread-safe.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/endpoint/endpoint.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <chrono>
#include <memory>
#include <optional>

namespace rattanweir {

class TimedSocket
{
public:
  explicit TimedSocket(asio::ip::tcp::socket aSocket);
  ~TimedSocket();
  TimedSocket(const TimedSocket&) = delete;
  TimedSocket& operator=(const TimedSocket&) = delete;

  asio::ip::tcp::socket& Get();

  // Sets the timeout of the waits, from now. Replaces an earlier timeout.
  void ExpireAfter(std::chrono::nanoseconds aDuration);
  void ExpireNever();

  // Ends all waits immediately.
  void Interrupt();

  // Whether the timeout has passed or Interrupt was called since the last call
  // of ExpireAfter or ExpireNever.
  bool HasExpired() const;

  // Closes the socket if it is open. Bytes already written are still sent.
  void Close();

  // Whether a read would return at once, with bytes, end of stream or an error.
  // Consumes no bytes.
  bool IsReadable() const;

  // Whether the peer has closed its sending side or the connection broke, even
  // if unread bytes remain.
  bool IsClosedByPeer() const;

  // Returns the time since the last bytes arrived from the peer, whether they
  // were read or not; nullopt if the system doesn't tell.
  std::optional<std::chrono::milliseconds> TimeSinceLastBytes() const;

private:
  struct State;
  std::shared_ptr<State> m_state;
};

// Returns whether a connection attempt failed for want of a path or a listener,
// and not for a reason within this process.
bool
IsConnectionFailure(const boost::system::error_code& aError);

// Convert between Endpoint and Asio's endpoint type.
asio::ip::tcp::endpoint
ToAsioEndpoint(const Endpoint& aEndpoint);
Endpoint
FromAsioEndpoint(const asio::ip::tcp::endpoint& aEndpoint);

} // namespace rattanweir
