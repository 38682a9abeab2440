// Product's own interface: reads sections and instance list from the files of a
// directory.

#pragma once

#include "rattanweir/connection/platform/platform.h"

#include <memory>

namespace rattanweir {

// Returns a reader that offers each section file to the catalog with the
// version in its `version` field. A file whose version can't be parsed is
// offered as the version after the one in force, so that the catalog rejects
// the file and its section status reports the faults to operators.
std::unique_ptr<PlatformReader>
MakeDirectoryReader(const DirectoryPlatform& aSource,
                    const PlatformOptions& aOptions);

} // namespace rattanweir
