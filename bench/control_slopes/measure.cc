#include "bench/control_slopes/measure.h"

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <vector>

namespace rattanweir {
namespace {

constexpr double kNanosecondsPerSecond = 1e9;

// Returns the processor time of the calling thread in nanoseconds.
double
ProcessorTime()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * kNanosecondsPerSecond +
         static_cast<double>(time.tv_nsec);
}

} // namespace

double
BytesInUse()
{
  return static_cast<double>(mallinfo2().uordblks);
}

double
CpuNanosecondsPerCall(std::size_t aCalls, const std::function<void()>& aRound)
{
  std::vector<double> times;
  times.reserve(kMeasuredRounds);
  for (int round = 0; round < kMeasuredRounds; ++round) {
    const double start = ProcessorTime();
    aRound();
    times.push_back((ProcessorTime() - start) / static_cast<double>(aCalls));
  }
  std::nth_element(
    times.begin(), times.begin() + kMeasuredRounds / 2, times.end());
  return times[kMeasuredRounds / 2];
}

} // namespace rattanweir
