#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/http_client/internal/connection_pool.h"

#include <utility>

namespace rattanweir {

ConnectionPool::ConnectionPool(const HttpUpstreamOptions& aOptions)
  : m_options(aOptions)
  , m_timer(aOptions.m_executor)
{
}

std::unique_ptr<ClientStream>
ConnectionPool::Acquire(const Endpoint& aEndpoint)
{
  const auto found = m_entries.find(aEndpoint);
  if (found == m_entries.end()) {
    return nullptr;
  }
  std::vector<Entry>& entries = found->second;
  std::unique_ptr<ClientStream> stream;
  while (!stream && !entries.empty()) {
    stream = std::move(entries.back().m_stream);
    entries.pop_back();
    --m_size;
    if (stream->Socket().IsReadable()) {
      stream.reset();
    }
  }
  if (entries.empty()) {
    m_entries.erase(found);
  }
  return stream;
}

void
ConnectionPool::Release(const Endpoint& aEndpoint,
                        std::unique_ptr<ClientStream> aStream)
{
  if (m_size >= m_options.m_maxIdleTotal) {
    return;
  }
  std::vector<Entry>& entries = m_entries[aEndpoint];
  if (entries.size() >= m_options.m_maxIdlePerEndpoint) {
    return;
  }
  aStream->Reset();
  aStream->Socket().ExpireNever();
  entries.push_back(Entry{ .m_stream = std::move(aStream),
                           .m_since = m_options.m_clock.SteadyNow() });
  ++m_size;
  StartSweep();
}

void
ConnectionPool::StartSweep()
{
  if (m_isSweeping) {
    return;
  }
  m_isSweeping = true;
  m_timer.expires_after(m_options.m_idleTimeout / 2);
  m_timer.async_wait(
    [pool = weak_from_this()](const boost::system::error_code&) {
      if (const auto alive = pool.lock()) {
        alive->Sweep();
      }
    });
}

void
ConnectionPool::Sweep()
{
  m_isSweeping = false;
  const SteadyTime oldest =
    m_options.m_clock.SteadyNow() - m_options.m_idleTimeout;
  for (auto& [endpoint, entries] : m_entries) {
    m_size -= std::erase_if(entries, [&](const Entry& aEntry) {
      return aEntry.m_since <= oldest || aEntry.m_stream->Socket().IsReadable();
    });
  }
  std::erase_if(m_entries,
                [](const auto& aPair) { return aPair.second.empty(); });
  if (m_size > 0) {
    StartSweep();
  }
}

} // namespace rattanweir
