// Reads sections and instance list from the platform's services.

#pragma once

#include "rattanweir/connection/platform/platform.h"

#include <memory>

namespace rattanweir {

// One coroutine watches each section and one the list. A watch asks for what
// is newer than the version in force, wherever that came from, so a service
// that is behind is not asked in a loop.
std::unique_ptr<PlatformReader>
MakeServiceReader(const ServicePlatform& aSource,
                  const PlatformOptions& aOptions);

} // namespace rattanweir
