#include "rattanweir/process/server_silence/server_silence.h"

#include <algorithm>
#include <vector>

namespace rattanweir {

ServerSilence::Run::Run(ServerSilence& aOwner, const BackendServerId& aServer)
  : m_owner(aOwner)
  , m_server(aServer)
  , m_begunAt(aOwner.m_options.m_clock.SteadyNow())
  , m_lastBytesAt(m_begunAt)
{
  Server& server = m_owner.m_servers[m_server];
  if (server.m_runs.empty()) {
    server.m_lastBytesAt = m_begunAt;
  }
  server.m_runs.insert(this);
}

ServerSilence::Run::~Run()
{
  const auto server = m_owner.m_servers.find(m_server);
  server->second.m_runs.erase(this);
  if (server->second.m_runs.empty()) {
    m_owner.m_servers.erase(server);
  }
}

void
ServerSilence::Run::RecordBytes()
{
  const SteadyTime now = m_owner.m_options.m_clock.SteadyNow();
  Server& server = m_owner.m_servers.at(m_server);
  m_owner.EndSilence(server, now);
  server.m_lastBytesAt = now;
  m_lastBytesAt = now;
}

std::chrono::nanoseconds
ServerSilence::Run::SilentTime() const
{
  return m_silentTime <= m_owner.m_options.m_maxSilence
           ? m_silentTime
           : std::chrono::nanoseconds::zero();
}

std::chrono::nanoseconds
ServerSilence::Run::SinceLastBytes() const
{
  return m_owner.m_options.m_clock.SteadyNow() - m_lastBytesAt;
}

void
ServerSilence::EndSilence(Server& aServer, SteadyTime aNow) const
{
  const auto silenceOf = [&](const Run& aRun) {
    return aNow - std::max(aServer.m_lastBytesAt, aRun.m_begunAt);
  };
  if (aNow - aServer.m_lastBytesAt < m_options.m_minSilence) {
    return;
  }
  std::vector<Run*> waited;
  for (Run* run : aServer.m_runs) {
    if (silenceOf(*run) >= m_options.m_minSilence) {
      waited.push_back(run);
    }
  }
  if (waited.size() < m_options.m_minRuns) {
    return;
  }
  for (Run* run : waited) {
    run->m_silentTime += silenceOf(*run);
  }
}

} // namespace rattanweir
