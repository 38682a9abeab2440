#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/timed_socket/timed_socket.h"

#include <boost/asio/steady_timer.hpp>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cstddef>
#include <utility>

namespace rattanweir {
namespace {

using asio::ip::tcp;

// If the completion of a wait was already queued when the socket expired, its
// coroutine continues with another wait. Repeating the cancel ends that one.
constexpr auto kRepeatInterval = std::chrono::milliseconds(5);

} // namespace

struct TimedSocket::State : std::enable_shared_from_this<State>
{
  explicit State(tcp::socket aSocket)
    : m_socket(std::move(aSocket))
    , m_timer(m_socket.get_executor())
  {
  }

  void Start(std::chrono::nanoseconds aDuration)
  {
    m_timer.expires_after(aDuration);
    m_timer.async_wait(
      [state = shared_from_this()](const boost::system::error_code& aError) {
        // After the timer was set again, its expiry is in the future.
        const bool isCurrent =
          state->m_timer.expiry() <= asio::steady_timer::clock_type::now();
        if (!aError && isCurrent && state->m_isArmed) {
          state->Expire();
        }
      });
  }

  void Expire()
  {
    m_hasExpired = true;
    if (!m_socket.is_open()) {
      return;
    }
    m_isArmed = true;
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
    Start(kRepeatInterval);
  }

  void Disarm()
  {
    m_hasExpired = false;
    m_isArmed = false;
    m_timer.cancel();
  }

  tcp::socket m_socket;
  asio::steady_timer m_timer;
  bool m_isArmed = false;
  bool m_hasExpired = false;
};

TimedSocket::TimedSocket(tcp::socket aSocket)
  : m_state(std::make_shared<State>(std::move(aSocket)))
{
}

TimedSocket::~TimedSocket()
{
  Close();
}

tcp::socket&
TimedSocket::Get()
{
  return m_state->m_socket;
}

void
TimedSocket::ExpireAfter(std::chrono::nanoseconds aDuration)
{
  m_state->m_hasExpired = false;
  m_state->m_isArmed = true;
  m_state->Start(aDuration);
}

void
TimedSocket::ExpireNever()
{
  m_state->Disarm();
}

void
TimedSocket::Interrupt()
{
  m_state->Expire();
}

bool
TimedSocket::HasExpired() const
{
  return m_state->m_hasExpired;
}

void
TimedSocket::Close()
{
  m_state->Disarm();
  boost::system::error_code ignored;
  m_state->m_socket.close(ignored);
}

bool
TimedSocket::IsReadable() const
{
  char byte = 0;
  const auto count = ::recv(m_state->m_socket.native_handle(),
                            &byte,
                            sizeof byte,
                            MSG_PEEK | MSG_DONTWAIT);
  return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool
TimedSocket::IsClosedByPeer() const
{
  pollfd entry{ .fd = m_state->m_socket.native_handle(), .events = POLLRDHUP };
  return ::poll(&entry, 1, 0) > 0 &&
         (entry.revents & (POLLRDHUP | POLLERR | POLLHUP | POLLNVAL)) != 0;
}

std::optional<std::chrono::milliseconds>
TimedSocket::TimeSinceLastBytes() const
{
  tcp_info info{};
  socklen_t size = sizeof info;
  constexpr socklen_t kNeeded =
    offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv;
  if (::getsockopt(m_state->m_socket.native_handle(),
                   IPPROTO_TCP,
                   TCP_INFO,
                   &info,
                   &size) != 0 ||
      size < kNeeded) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

bool
IsConnectionFailure(const boost::system::error_code& aError)
{
  return aError == asio::error::connection_refused ||
         aError == asio::error::connection_reset ||
         aError == asio::error::timed_out ||
         aError == asio::error::host_unreachable ||
         aError == asio::error::network_unreachable;
}

tcp::endpoint
ToAsioEndpoint(const Endpoint& aEndpoint)
{
  return { asio::ip::make_address_v4(aEndpoint.m_address), aEndpoint.m_port };
}

Endpoint
FromAsioEndpoint(const tcp::endpoint& aEndpoint)
{
  return Endpoint{ .m_address = aEndpoint.address().to_string(),
                   .m_port = aEndpoint.port() };
}

} // namespace rattanweir
