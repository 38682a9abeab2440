#include "rattanweir/process/stream_origins/stream_origins.h"

#include <xxhash.h>

#include <algorithm>

namespace rattanweir {

StreamKey
StreamKeyOf(const ClientAccountId& aAccount, const RequestId& aRequest)
{
  const std::string& account = aAccount.Value();
  const std::string& request = aRequest.Value();
  const std::uint64_t seed = XXH64(account.data(), account.size(), 0);
  return static_cast<StreamKey>(XXH64(request.data(), request.size(), seed));
}

StreamKey
StreamKeyOfContent(std::uint64_t aRequestHash)
{
  return static_cast<StreamKey>(aRequestHash);
}

void
FoundOrigin::Merge(const FoundOrigin& aOther)
{
  m_isAmbiguous |= aOther.m_isAmbiguous ||
                   (m_origin && aOther.m_origin && m_origin != aOther.m_origin);
  if (aOther.m_origin) {
    m_origin = aOther.m_origin;
  }
  if (m_isAmbiguous) {
    m_origin.reset();
  }
}

StreamOrigins::StreamOrigins(const StreamOriginsOptions& aOptions)
  : m_options(aOptions)
{
}

void
StreamOrigins::Record(StreamKey aKey,
                      const StreamOrigin& aOrigin,
                      std::chrono::nanoseconds aLifetime)
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  const SteadyTime expiresAt = now + aLifetime;
  while (!m_streams.empty() && (m_streams.front().m_expiresAt <= now ||
                                m_streams.size() >= m_options.m_maxStreams)) {
    m_byKey.erase(m_streams.front().m_key);
    m_streams.pop_front();
  }
  const auto known = m_byKey.find(aKey);
  if (known == m_byKey.end()) {
    m_streams.push_back(
      { .m_key = aKey, .m_origin = aOrigin, .m_expiresAt = expiresAt });
    m_byKey.emplace(aKey, std::prev(m_streams.end()));
    return;
  }
  Stream& stream = *known->second;
  const bool isExpired = stream.m_expiresAt <= now;
  stream.m_isAmbiguous =
    !isExpired && (stream.m_isAmbiguous || stream.m_origin != aOrigin);
  stream.m_origin = aOrigin;
  stream.m_expiresAt = std::max(stream.m_expiresAt, expiresAt);
}

FoundOrigin
StreamOrigins::Find(StreamKey aKey) const
{
  const auto found = m_byKey.find(aKey);
  if (found == m_byKey.end() ||
      found->second->m_expiresAt <= m_options.m_clock.SteadyNow()) {
    return {};
  }
  const Stream& stream = *found->second;
  return stream.m_isAmbiguous ? FoundOrigin{ .m_isAmbiguous = true }
                              : FoundOrigin{ .m_origin = stream.m_origin };
}

} // namespace rattanweir
