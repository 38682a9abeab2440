// Limit on what one process buffers of all incomplete responses together, so
// that faulty servers can't exhaust its memory.
//
//   BufferBudget budget(ByteCount(16 * 1024 * 1024));
//   BufferShare share(&budget);
//   if (!share.Resize(pending.capacity())) ...  // the budget is used up
//
// Each share may hold a small size without drawing on the budget: responses of
// sound servers go on while others have used it up. Not thread-safe.

#pragma once

#include "rattanweir/base/units/units.h"

#include <cstddef>

namespace rattanweir {

class BufferBudget
{
public:
  BufferBudget() = default;
  explicit BufferBudget(ByteCount aLimit)
    : m_limit(aLimit.Value())
  {
  }

  // Bytes drawn by all shares.
  std::size_t Used() const { return m_used; }

private:
  friend class BufferShare;

  std::size_t m_limit = std::size_t{ 16 } * 1024 * 1024;
  std::size_t m_used = 0;
};

// What one response draws on the budget. Without a budget, unlimited.
class BufferShare
{
public:
  // What a share may hold without drawing on the budget.
  static constexpr std::size_t kFreeBytes = std::size_t{ 64 } * 1024;

  // The budget must outlive the share.
  explicit BufferShare(BufferBudget* aBudget)
    : m_budget(aBudget)
  {
  }
  ~BufferShare() { Resize(0); }
  BufferShare(const BufferShare&) = delete;
  BufferShare& operator=(const BufferShare&) = delete;

  // Sets how many bytes the response holds. Returns false, and changes nothing,
  // if the budget has too few left.
  bool Resize(std::size_t aBytes);

private:
  BufferBudget* m_budget;
  std::size_t m_drawn = 0;
};

} // namespace rattanweir
