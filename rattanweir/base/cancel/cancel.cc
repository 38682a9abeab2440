#include "rattanweir/base/cancel/cancel.h"

#include <utility>

namespace rattanweir {

CancelSource::Registration::Registration(
  const std::shared_ptr<Functions>& aFunctions,
  std::uint64_t aId)
  : m_functions(aFunctions)
  , m_id(aId)
{
}

CancelSource::Registration&
CancelSource::Registration::operator=(Registration&& aOther) noexcept
{
  if (this != &aOther) {
    Reset();
    m_functions = std::move(aOther.m_functions);
    m_id = aOther.m_id;
  }
  return *this;
}

CancelSource::Registration::~Registration()
{
  Reset();
}

void
CancelSource::Registration::Reset()
{
  if (const auto functions = m_functions.lock()) {
    functions->erase(m_id);
  }
  m_functions.reset();
}

CancelSource::CancelSource()
  : m_functions(std::make_shared<Registration::Functions>())
{
}

void
CancelSource::Cancel(ResultCode aReason)
{
  if (m_reason) {
    return;
  }
  m_reason = aReason;
  // A callback may destroy other registrations or this source.
  const auto functions = m_functions;
  while (!functions->empty()) {
    auto first = functions->extract(functions->begin());
    first.mapped()();
  }
}

void
CancelSource::SetCheck(std::function<void()> aCheck)
{
  m_check = std::move(aCheck);
}

std::optional<ResultCode>
CancelSource::CheckNow()
{
  if (!m_reason && m_check) {
    m_check();
  }
  return m_reason;
}

CancelSource::Registration
CancelSource::OnCancel(std::function<void()> aFunction)
{
  if (m_reason) {
    aFunction();
    return {};
  }
  const std::uint64_t id = m_nextId++;
  m_functions->emplace(id, std::move(aFunction));
  return Registration(m_functions, id);
}

} // namespace rattanweir
