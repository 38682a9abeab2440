// Users' platform (settings with `fleet`): remembers which software version
// began each stream, so that a caller's next try goes on at that version.
//
//   StreamOrigins origins({ .m_clock = clock });
//   origins.Record(StreamKeyOf(account, request), origin, seconds(6));
//   const FoundOrigin found = origins.Find(key);
//
// A stream is forgotten after its lifetime. Two streams with the same key that
// began at different versions cannot be told apart: their origin is
// ambiguous. The memory is bounded: the oldest streams are forgotten first.
//
// Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

namespace rattanweir {

// Identifies a stream by the client account and the id of the request that
// brought its first event, or by what that request asked for.
enum class StreamKey : std::uint64_t
{
};

StreamKey
StreamKeyOf(const ClientAccountId& aAccount, const RequestId& aRequest);

// Returns the key of all streams that this request began, under any id. The
// hash is that of the request's account, method, host, path and body.
StreamKey
StreamKeyOfContent(std::uint64_t aRequestHash);

// How long after its deadline the origin of a stream is remembered.
inline constexpr std::chrono::seconds kOriginMargin{ 2 };

// The pool and the software version of the server that wrote the first event.
struct StreamOrigin
{
  PoolId m_pool;
  // Empty if the version was not certain.
  std::string m_version;

  bool HasVersion() const { return !m_version.empty(); }

  auto operator<=>(const StreamOrigin&) const = default;
};

// What is known of a stream's origin: nothing, the origin, or that there are
// several.
struct FoundOrigin
{
  std::optional<StreamOrigin> m_origin;
  bool m_isAmbiguous = false;

  // Adds what another instance knows.
  void Merge(const FoundOrigin& aOther);
};

struct StreamOriginsOptions
{
  const Clock& m_clock;
  std::size_t m_maxStreams = 32'768;
};

class StreamOrigins
{
public:
  explicit StreamOrigins(const StreamOriginsOptions& aOptions);

  void Record(StreamKey aKey,
              const StreamOrigin& aOrigin,
              std::chrono::nanoseconds aLifetime);

  FoundOrigin Find(StreamKey aKey) const;

  std::size_t Size() const { return m_streams.size(); }

private:
  struct Stream
  {
    StreamKey m_key{};
    StreamOrigin m_origin;
    SteadyTime m_expiresAt;
    bool m_isAmbiguous = false;
  };

  StreamOriginsOptions m_options;
  // In the order in which they were recorded, the oldest first.
  std::list<Stream> m_streams;
  std::unordered_map<StreamKey, std::list<Stream>::iterator> m_byKey;
};

} // namespace rattanweir
