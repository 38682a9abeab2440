// Reads sections and instance list from the files of a directory.

#pragma once

#include "rattanweir/connection/platform/platform.h"

#include <memory>

namespace rattanweir {

// A section's file is offered with the number in its `version` field. One that
// can't be read that far is offered as the version after the one in force, so
// that its faults show up where operators look for them.
std::unique_ptr<PlatformReader>
MakeDirectoryReader(const DirectoryPlatform& aSource,
                    const PlatformOptions& aOptions);

} // namespace rattanweir
