// State shared by the connections of one HttpServer.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/connection/http_server/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>

namespace rattanweir {

class ServerConnection;

struct ServerState
{
  explicit ServerState(const HttpServerOptions& aOptions)
    : m_options(aOptions)
    , m_acceptor(aOptions.m_executor)
    , m_changed(aOptions.m_executor, asio::steady_timer::time_point::max())
  {
  }

  // Reserves bytes from the limit on all bodies. Returns false if too few are
  // left.
  bool Reserve(std::uint64_t aBytes)
  {
    const std::uint64_t limit = m_options.m_maxTotalBodyBytes.Value();
    if (aBytes > limit - m_bodyBytes) {
      return false;
    }
    m_bodyBytes += aBytes;
    return true;
  }
  void Release(std::uint64_t aBytes) { m_bodyBytes -= aBytes; }

  bool IsDone() const
  {
    return !m_acceptor.is_open() && !m_isAccepting && m_connections.empty() &&
           m_refusalsInProgress == 0;
  }

  HttpServerOptions m_options;
  asio::ip::tcp::acceptor m_acceptor;
  // True until the last accepted connection was taken over.
  bool m_isAccepting = false;
  Endpoint m_localEndpoint;
  // Cancelled to wake WaitUntilDone when a connection has ended.
  asio::steady_timer m_changed;
  std::set<ServerConnection*> m_connections;
  // Connections over the limit to which a refusal is being sent.
  std::uint32_t m_refusalsInProgress = 0;
  // Requests that are being handled.
  std::uint32_t m_requests = 0;
  // Requests that are being read or whose response, or refusal, is not written
  // yet.
  std::uint32_t m_unanswered = 0;
  std::uint64_t m_bodyBytes = 0;
  bool m_isDraining = false;
  bool m_closesAfterResponses = false;
  bool m_handsOverResponses = false;
};

} // namespace rattanweir
