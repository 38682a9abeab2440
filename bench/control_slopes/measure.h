// Measures heap memory and processor time within this process.
//
//   const double before = BytesInUse();
//   double nanoseconds =
//     CpuNanosecondsPerCall(1'000, [&] { ... a thousand calls ... });

#pragma once

#include <cstddef>
#include <functional>

namespace rattanweir {

// Number of times that CpuNanosecondsPerCall runs its round.
inline constexpr int kMeasuredRounds = 7;

// Returns the number of bytes that the allocator has handed out and that have
// not been freed.
double
BytesInUse();

// Runs `aRound`, which makes `aCalls` calls, kMeasuredRounds times and returns
// the median processor time of one call in nanoseconds.
double
CpuNanosecondsPerCall(std::size_t aCalls, const std::function<void()>& aRound);

} // namespace rattanweir
