// Product's own interface: reads sections and instance list from the platform's
// services.

#pragma once

#include "rattanweir/connection/platform/platform.h"

#include <memory>

namespace rattanweir {

// Returns a reader that runs one long-polling coroutine per section and one for
// the instance list. A request asks for a section newer than both the version
// in force, even if that version came from a peer, and the latest rejected one.
// An outdated service thus holds the request instead of returning an old
// version at once, which would be polled in a tight loop.
std::unique_ptr<PlatformReader>
MakeServiceReader(const ServicePlatform& aSource,
                  const PlatformOptions& aOptions);

} // namespace rattanweir
