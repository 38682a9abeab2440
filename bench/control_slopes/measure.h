// Memory and processor time of what runs in this process.
//
//   const double before = BytesInUse();
//   double nanoseconds = TimeOf(1'000, [&] { ... a thousand calls ... });

#pragma once

#include <cstddef>
#include <functional>

namespace rattanweir {

// How often TimeOf runs its round.
inline constexpr int kMeasuredRounds = 7;

// Handed out by the allocator and not given back.
double
BytesInUse();

// Processor time in nanoseconds for one of `aCalls` calls that a round makes:
// the middle of several rounds.
double
TimeOf(std::size_t aCalls, const std::function<void()>& aRound);

} // namespace rattanweir
