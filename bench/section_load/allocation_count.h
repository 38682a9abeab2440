// Measures the heap usage of this program. Linking this file replaces operator
// new and operator delete. Not thread-safe.
//
//   ResetPeak();
//   ...
//   const std::size_t peak = PeakBytes();

#pragma once

#include <cstddef>

namespace rattanweir {

// Returns the number of allocated bytes, as rounded up by the allocator.
std::size_t
BytesInUse();

// Returns the largest value of BytesInUse since the last ResetPeak.
std::size_t
PeakBytes();

void
ResetPeak();

} // namespace rattanweir
