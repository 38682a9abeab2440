// Placement policies to compare under the same load.
//
//   PlacingPolicy policy(PolicyKind::Product);
//   const Placement placement = policy.Decide(input);
//
// Every policy receives the same input as the product's placement decision.

#pragma once

#include "rattanweir/request/placement/placement.h"
#include "rattanweir/request/wait_queue/wait_queue.h"

#include <cstddef>

namespace rattanweir {

enum class PolicyKind
{
  Product,
  // The product's policy, but all kinds of request in a queue are served first
  // come first served.
  FirstComeFirstServed,
  // As FirstComeFirstServed, but requests wait until their deadlines and none
  // is refused because it would exceed its deadline.
  NoRefusal,
  // The server with the fewest requests; another region only if the local
  // region has no server.
  LeastLoad,
  // Each server in turn, regardless of load.
  RoundRobin,
};

const char*
NameOf(PolicyKind aKind);

class PlacementPolicy
{
public:
  explicit PlacementPolicy(PolicyKind aKind);

  Placement Decide(PlacementInput aInput);

  // Returns the key that orders the request in the queue under this policy.
  SchedulingKey SchedulingKeyOf(const SchedulingKey& aKey) const;

  // Returns how long a request may wait for a server.
  std::chrono::nanoseconds MaxQueueWait(
    std::chrono::nanoseconds aObjective,
    std::chrono::nanoseconds aUntilDeadline) const;

private:
  PolicyKind m_kind;
  std::size_t m_next = 0;
};

} // namespace rattanweir
