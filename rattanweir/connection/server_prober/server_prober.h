// Tries connections to the backend servers that ServerReach names. Used on the
// users' platform (settings with `fleet`).
//
//   ServerProber prober({ .m_executor = executor, .m_reach = reach, ... });
//   prober.Step(servers);   // in each tick
//
// A probe opens a connection and closes it without a request, so that nothing
// runs at the server. Not thread-safe. Probes that are in progress keep what
// they need of the options alive, but the callbacks must stay valid until the
// io_context is destroyed.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/endpoint/endpoint.h"
#include "rattanweir/process/server_reach/server_reach.h"

#include <chrono>
#include <functional>
#include <set>
#include <span>

namespace rattanweir {

struct ServerProberOptions
{
  Executor m_executor;
  ServerReach& m_reach;
  // Called with the outcome of each probe: whether a connection was opened.
  std::function<void(const Endpoint&, bool)> m_onProbed;
  std::chrono::nanoseconds m_connectTimeout{ std::chrono::milliseconds(400) };
  // How long a connection has to stay open: some refuse a connection by
  // accepting and resetting it.
  std::chrono::nanoseconds m_settlingTime{ std::chrono::milliseconds(30) };
};

class ServerProber
{
public:
  explicit ServerProber(const ServerProberOptions& aOptions)
    : m_options(aOptions)
  {
  }
  ServerProber(const ServerProber&) = delete;
  ServerProber& operator=(const ServerProber&) = delete;

  // Starts the probes that are due. `aServers` are all servers that this
  // instance should reach.
  void Step(std::span<const Endpoint> aServers);

  bool IsProbing() const { return !m_probing.empty(); }

private:
  Task<void> Probe(Endpoint aServer);
  Task<bool> IsReached(Endpoint aServer) const;

  ServerProberOptions m_options;
  // Servers with a probe in progress.
  std::set<Endpoint> m_probing;
};

} // namespace rattanweir
