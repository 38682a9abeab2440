// Registry of the forwarding attempts that wait for a response from a peer
// instance. Used by the product's own interface.
//
//   PeerAttempts attempts;
//   const auto registration = attempts.Add(peer, cancel);
//   for (const InstanceId& id : attempts.Peers()) {
//     if (... no heartbeat from id ...) { attempts.CancelAttemptsTo(id); }
//   }
//
// A connection over a network link that was cut stays open without a response.
// So the wait is ended by what the instance learns about the peer in other
// ways, such as missed heartbeats. Not thread-safe.

#pragma once

#include "rattanweir/base/cancel/cancel.h"
#include "rattanweir/base/ids/ids.h"

#include <map>
#include <set>

namespace rattanweir {

class PeerAttempts
{
public:
  // Removes the attempt from the registry when destroyed. The registry must
  // outlive the registration.
  class [[nodiscard]] Registration
  {
  public:
    Registration(PeerAttempts& aOwner, InstanceId aPeer, CancelSource& aCancel);
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;
    ~Registration();

  private:
    PeerAttempts& m_owner;
    InstanceId m_peer;
    CancelSource& m_cancel;
  };

  // Adds an attempt. `aCancel` must cancel only this attempt and must outlive
  // the registration.
  Registration Add(const InstanceId& aPeer, CancelSource& aCancel);

  // Returns the peers with at least one waiting attempt.
  std::set<InstanceId> Peers() const;

  // Cancels all attempts to this peer with PeerLost.
  void CancelAttemptsTo(const InstanceId& aPeer);

private:
  std::map<InstanceId, std::set<CancelSource*>> m_attempts;
};

} // namespace rattanweir
