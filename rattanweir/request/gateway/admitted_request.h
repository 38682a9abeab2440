// A request that the gateway has admitted, with everything needed to serve it.
// Used on the users' platform (settings with `fleet`).

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/process/crash_quarantine/crash_quarantine.h"
#include "rattanweir/request/gateway/wire_protocol.h"
#include "rattanweir/version/fleet_config/fleet_config.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace rattanweir {

struct AdmittedRequest
{
  RequestInfo m_info;
  std::string m_method;
  std::string m_target;
  std::shared_ptr<const std::string> m_body;
  // When the first and the last bytes arrived.
  SteadyTime m_begunAt;
  SteadyTime m_receivedAt;
  // How long the request lay unread, if the system tells.
  std::optional<std::chrono::nanoseconds> m_unreadFor;
  // The earlier of the caller's and the route's timeout.
  SteadyTime m_deadline;
  // The configuration version in force at admission; used until the request
  // completes.
  FleetConfigPtr m_config;
  FleetRoute m_route;
  PoolId m_pool;
  ClientAccountId m_clientAccount;
  // 0 is the highest priority.
  unsigned m_priority = 0;
  // What the request consumes of the account's rate, in the account's unit.
  Tokens m_cost;
  // Chained hashes of the prompt parts, the key of the prompt cache lookup.
  PartChain m_partChain;
  // What a crash of a server may be blamed on: the parts of the prompt that
  // other requests may have too, which are all but the last, and the request.
  Suspects m_suspects;
  // The request is sent although it is in quarantine.
  bool m_isQuarantineTrial = false;
  // The software version that began the stream which the request resumes; only
  // servers of that version may serve it.
  std::optional<std::string> m_softwareVersion;
  // Regions that may serve the request; nullopt if any may.
  std::optional<std::set<RegionId>> m_permittedRegions;
  // The peer that forwarded the request, which has already applied the rate
  // limit and counts the attempts; nullopt for a caller's request.
  std::optional<InstanceId> m_forwardedBy;

  // Returns whether the request takes up a stream that was broken off.
  bool IsResumption() const
  {
    return m_info.m_resumeAfter && m_route.m_kind == RequestKind::Stream;
  }

  // Returns whether the route and the client account have home regions, but
  // none in common.
  bool HasResidencyConflict() const
  {
    return m_permittedRegions && m_permittedRegions->empty();
  }

  bool IsPermittedIn(const RegionId& aRegion) const
  {
    return !m_permittedRegions || m_permittedRegions->contains(aRegion);
  }
};

} // namespace rattanweir
