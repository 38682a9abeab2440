#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/waiting_line/waiting_line.h"

namespace rattanweir {

WaitingLine::WaitingLine(const Executor& aExecutor)
  : m_executor(aExecutor)
{
}

WaitingLine::Place::Place(WaitingLine& aLine, const Rank& aRank)
  : m_line(aLine)
  , m_key(aRank, aLine.m_nextNumber++)
  , m_wakeUp(aLine.m_executor)
{
  m_line.m_places.emplace(m_key, this);
}

WaitingLine::Place::~Place()
{
  const bool wasFirst = IsFirst();
  m_line.m_places.erase(m_key);
  if (wasFirst) {
    m_line.Wake();
  }
}

bool
WaitingLine::Place::IsFirst() const
{
  return m_line.m_places.begin()->second == this;
}

Task<void>
WaitingLine::Place::Wait(std::chrono::nanoseconds aDuration,
                         CancelSource& aCancel) const
{
  co_await m_wakeUp.WaitFor(aDuration, aCancel);
}

void
WaitingLine::Wake()
{
  if (!m_places.empty()) {
    m_places.begin()->second->m_wakeUp.Wake();
  }
}

bool
WaitingLine::HasBefore(const Rank& aRank) const
{
  return !m_places.empty() && m_places.begin()->first.first < aRank;
}

} // namespace rattanweir
