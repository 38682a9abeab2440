// Counts the heap of this program: linking it replaces operator new and
// delete.
//
//   ResetPeak();
//   ...
//   const std::size_t peak = PeakBytes();

#pragma once

#include <cstddef>

namespace rattanweir {

// Bytes handed out and not given back, as the allocator rounds them.
std::size_t
BytesInUse();

// The largest number of bytes in use since ResetPeak.
std::size_t
PeakBytes();

void
ResetPeak();

} // namespace rattanweir
