#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/server_prober/server_prober.h"

#include "rattanweir/connection/timed_socket/timed_socket.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>

#include <array>
#include <utility>

namespace rattanweir {

using asio::ip::tcp;

void
ServerProber::Step(std::span<const Endpoint> aServers)
{
  for (const Endpoint& server : m_options.m_reach.TakeDueProbes(aServers)) {
    if (m_probing.insert(server).second) {
      asio::co_spawn(m_options.m_executor, Probe(server), asio::detached);
    }
  }
}

Task<void>
ServerProber::Probe(Endpoint aServer)
{
  const bool isReached = co_await IsReached(aServer);
  m_probing.erase(aServer);
  m_options.m_onProbed(aServer, isReached);
}

Task<bool>
ServerProber::IsReached(Endpoint aServer) const
{
  TimedSocket socket{ tcp::socket(m_options.m_executor) };
  socket.ExpireAfter(m_options.m_connectTimeout);
  boost::system::error_code error;
  const tcp::endpoint endpoint = ToAsioEndpoint(aServer);
  co_await socket.Get().async_connect(
    endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return false;
  }
  socket.ExpireAfter(m_options.m_settlingTime);
  std::array<char, 1> byte{};
  co_await socket.Get().async_read_some(
    asio::buffer(byte), asio::redirect_error(asio::use_awaitable, error));
  // A server sends nothing before it has a request, and keeps the connection.
  co_return socket.HasExpired();
}

} // namespace rattanweir
