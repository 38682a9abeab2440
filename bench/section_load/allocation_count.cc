#include "bench/section_load/allocation_count.h"

#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <new>

namespace rattanweir {
namespace {

// Not atomic: the program is single-threaded.
std::size_t inUse = 0;
std::size_t peak = 0;

} // namespace

std::size_t
BytesInUse()
{
  return inUse;
}

std::size_t
PeakBytes()
{
  return peak;
}

void
ResetPeak()
{
  peak = inUse;
}

} // namespace rattanweir

void*
operator new(std::size_t aSize)
{
  void* memory = std::malloc(aSize);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  rattanweir::inUse += malloc_usable_size(memory);
  rattanweir::peak = std::max(rattanweir::peak, rattanweir::inUse);
  return memory;
}

void
operator delete(void* aMemory) noexcept
{
  rattanweir::inUse -= malloc_usable_size(aMemory);
  std::free(aMemory);
}

void
operator delete(void* aMemory, std::size_t /*aSize*/) noexcept
{
  operator delete(aMemory);
}
