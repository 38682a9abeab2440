// Where the gateway records and finds the origins of streams. Used on the
// users' platform (settings with `fleet`).

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/clock/clock.h"
#include "rattanweir/process/stream_origins/stream_origins.h"
#include "rattanweir/request/exchange/exchange.h"

#include <chrono>
#include <optional>

namespace rattanweir {

class StreamOriginDirectory
{
public:
  virtual ~StreamOriginDirectory() = default;

  // Records which software version began the stream, for the time in which its
  // caller may take it up.
  virtual void Record(StreamKey aKey,
                      const StreamOrigin& aOrigin,
                      std::chrono::nanoseconds aLifetime) = 0;

  // Returns the origin of the stream, or nullopt if no instance that can be
  // asked before the deadline knows it, or if it is ambiguous.
  virtual Task<std::optional<StreamOrigin>> Find(StreamKey aKey,
                                                 SteadyTime aDeadline) = 0;

  // Does the same for a key that several streams may have: waits for all
  // instances that are asked, and returns nullopt if they know different
  // origins, or if all that knew another one may be lost. `aMaxAge` is the
  // longest time since such a stream began.
  virtual Task<std::optional<StreamOrigin>> FindCommon(
    StreamKey aKey,
    std::chrono::nanoseconds aMaxAge,
    SteadyTime aDeadline) = 0;
};

} // namespace rattanweir
