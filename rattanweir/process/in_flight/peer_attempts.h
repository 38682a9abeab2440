// The attempts that wait for an answer from a peer.
//
//   PeerAttempts attempts;
//   const auto entry = attempts.Add(peer, cancel);
//   for (const InstanceId& id : attempts.Peers()) {
//     if (... silent ...) { attempts.CancelAttemptsTo(id); }
//   }
//
// A connection over a link that was cut stays open without an answer. What is
// known of the peer by other ways ends the wait for it. For one thread.

#pragma once

#include "rattanweir/base/cancel/cancel.h"
#include "rattanweir/base/ids/ids.h"

#include <map>
#include <set>

namespace rattanweir {

class PeerAttempts
{
public:
  // Takes the attempt out when destroyed. The registry must outlive it.
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

  // `aCancel` is of this attempt alone and outlives the registration.
  Registration Add(const InstanceId& aPeer, CancelSource& aCancel);

  // The peers that are waited for.
  std::set<InstanceId> Peers() const;

  // Cancels the attempts at this peer with PeerLost.
  void CancelAttemptsTo(const InstanceId& aPeer);

private:
  std::map<InstanceId, std::set<CancelSource*>> m_attempts;
};

} // namespace rattanweir
