#include "rattanweir/process/in_flight/in_flight.h"

#include <utility>
#include <vector>

namespace rattanweir {

InFlightRequests::Registration::Registration(InFlightRequests& aOwner,
                                             std::uint64_t aId)
  : m_owner(&aOwner)
  , m_id(aId)
{
}

InFlightRequests::Registration::Registration(Registration&& aOther) noexcept
  : m_owner(std::exchange(aOther.m_owner, nullptr))
  , m_id(aOther.m_id)
{
}

InFlightRequests::Registration::~Registration()
{
  if (m_owner != nullptr) {
    m_owner->m_running.erase(m_id);
  }
}

void
InFlightRequests::Registration::MarkDispatched()
{
  m_owner->m_running.at(m_id).m_isDispatched = true;
}

InFlightRequests::Registration
InFlightRequests::Add(InFlightRequest aRequest, CancelSource& aCancel)
{
  const std::uint64_t id = m_nextId++;
  m_running.emplace(
    id, Entry{ .m_request = std::move(aRequest), .m_cancel = &aCancel });
  return Registration(*this, id);
}

void
InFlightRequests::CancelWithdrawn(
  const std::function<bool(const InFlightRequest&)>& aIsGranted)
{
  // Cancelling may destroy registrations, which removes entries from the map.
  std::vector<std::uint64_t> withdrawn;
  for (const auto& [id, entry] : m_running) {
    const bool mustFinish =
      !entry.m_request.m_isIdempotent && entry.m_isDispatched;
    if (mustFinish || aIsGranted(entry.m_request)) {
      continue;
    }
    withdrawn.push_back(id);
  }
  for (const std::uint64_t id : withdrawn) {
    const auto found = m_running.find(id);
    if (found != m_running.end()) {
      found->second.m_cancel->Cancel(ResultCode::KeyWithdrawn);
    }
  }
}

void
InFlightRequests::CancelAll(ResultCode aReason)
{
  std::vector<std::uint64_t> ids;
  for (const auto& [id, entry] : m_running) {
    ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    const auto found = m_running.find(id);
    if (found != m_running.end()) {
      found->second.m_cancel->Cancel(aReason);
    }
  }
}

} // namespace rattanweir
