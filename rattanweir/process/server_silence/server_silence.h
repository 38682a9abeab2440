// How long backend servers and peers were silent while requests were in
// progress there. Used on the users' platform (settings with `fleet`).
//
//   ServerSilence silence({ .m_clock = clock });
//   ServerSilence::Run run(silence, server);   // at the dispatch
//   run.RecordBytes();                         // for each part of the response
//   const auto work = elapsed - run.SilentTime();
//
// A paused server sends nothing on any of its connections. One request alone
// does not show that, since its response may just take long. So time counts as
// silence only if at least two requests waited for the server through it, and
// none received a byte. Several long responses at once look the same, so a
// request that waited for longer than a sound server is silent counts as work.
// Not thread-safe. No I/O.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <set>

namespace rattanweir {

struct ServerSilenceOptions
{
  const Clock& m_clock;
  // Shorter gaps are part of the server's work.
  std::chrono::nanoseconds m_minSilence{ std::chrono::milliseconds(500) };
  // The number of requests that have to wait through it.
  std::size_t m_minRuns = 2;
  // More silent time in one request is its server's work. Sound servers are
  // silent for up to 1.5 s.
  std::chrono::nanoseconds m_maxSilence{ std::chrono::seconds(2) };
};

class ServerSilence
{
public:
  explicit ServerSilence(const ServerSilenceOptions& aOptions)
    : m_options(aOptions)
  {
  }

  // One request in progress at a server, from construction to destruction.
  class Run
  {
  public:
    Run(ServerSilence& aOwner, const BackendServerId& aServer);
    ~Run();
    Run(const Run&) = delete;
    Run& operator=(const Run&) = delete;

    // Records that bytes of the response have arrived.
    void RecordBytes();

    // Returns the part of the time since construction in which the server was
    // silent: none if it is longer than a silence can be. A silence counts once
    // it has ended.
    std::chrono::nanoseconds SilentTime() const;

    // Returns the time since the last bytes of the response, or since
    // construction.
    std::chrono::nanoseconds SinceLastBytes() const;

  private:
    friend class ServerSilence;

    ServerSilence& m_owner;
    BackendServerId m_server;
    SteadyTime m_begunAt;
    SteadyTime m_lastBytesAt;
    std::chrono::nanoseconds m_silentTime{};
  };

private:
  struct Server
  {
    std::set<Run*> m_runs;
    SteadyTime m_lastBytesAt;
  };

  // Counts the time since the server's last bytes as silence.
  void EndSilence(Server& aServer, SteadyTime aNow) const;

  ServerSilenceOptions m_options;
  // The servers with requests in progress.
  std::map<BackendServerId, Server> m_servers;
};

} // namespace rattanweir
