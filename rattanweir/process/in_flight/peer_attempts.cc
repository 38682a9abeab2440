#include "rattanweir/process/in_flight/peer_attempts.h"

#include <utility>

namespace rattanweir {

PeerAttempts::Registration::Registration(PeerAttempts& aOwner,
                                         InstanceId aPeer,
                                         CancelSource& aCancel)
  : m_owner(aOwner)
  , m_peer(std::move(aPeer))
  , m_cancel(aCancel)
{
  m_owner.m_attempts[m_peer].insert(&m_cancel);
}

PeerAttempts::Registration::~Registration()
{
  const auto found = m_owner.m_attempts.find(m_peer);
  found->second.erase(&m_cancel);
  if (found->second.empty()) {
    m_owner.m_attempts.erase(found);
  }
}

PeerAttempts::Registration
PeerAttempts::Add(const InstanceId& aPeer, CancelSource& aCancel)
{
  return Registration(*this, aPeer, aCancel);
}

std::set<InstanceId>
PeerAttempts::Peers() const
{
  std::set<InstanceId> peers;
  for (const auto& [peer, cancels] : m_attempts) {
    peers.insert(peer);
  }
  return peers;
}

void
PeerAttempts::CancelAttemptsTo(const InstanceId& aPeer)
{
  const auto found = m_attempts.find(aPeer);
  if (found == m_attempts.end()) {
    return;
  }
  // Cancelling one attempt may destroy the registrations of others.
  const std::set<CancelSource*> cancels = found->second;
  for (CancelSource* cancel : cancels) {
    const auto remaining = m_attempts.find(aPeer);
    if (remaining != m_attempts.end() && remaining->second.contains(cancel)) {
      cancel->Cancel(ResultCode::PeerLost);
    }
  }
}

} // namespace rattanweir
