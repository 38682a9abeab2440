// The idle connections of one HttpUpstream.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/connection/http_client/http_client.h"
#include "rattanweir/connection/http_client/internal/client_stream.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <vector>

namespace rattanweir {

// Bounded. Closes a connection once it has been idle for the idle timeout.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
  explicit ConnectionPool(const HttpUpstreamOptions& aOptions);

  // Returns the most recently used connection with no unread input, or null.
  std::unique_ptr<ClientStream> Acquire(const Endpoint& aEndpoint);

  // Returns a reusable connection to the pool, or closes it if the pool is
  // full.
  void Release(const Endpoint& aEndpoint,
               std::unique_ptr<ClientStream> aStream);

  std::size_t Size() const { return m_size; }

private:
  struct Entry
  {
    std::unique_ptr<ClientStream> m_stream;
    SteadyTime m_since;
  };

  void StartSweep();
  void Sweep();

  HttpUpstreamOptions m_options;
  asio::steady_timer m_timer;
  bool m_isSweeping = false;
  std::map<Endpoint, std::vector<Entry>> m_entries;
  std::size_t m_size = 0;
};

} // namespace rattanweir
