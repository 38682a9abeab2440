#include "rattanweir/request/relay/buffer_budget.h"

namespace rattanweir {

bool
BufferShare::Resize(std::size_t aBytes)
{
  if (m_budget == nullptr) {
    return true;
  }
  const std::size_t needed = aBytes > kFreeBytes ? aBytes - kFreeBytes : 0;
  const std::size_t usedByOthers = m_budget->m_used - m_drawn;
  if (needed > m_drawn && usedByOthers + needed > m_budget->m_limit) {
    return false;
  }
  m_budget->m_used = usedByOthers + needed;
  m_drawn = needed;
  return true;
}

} // namespace rattanweir
