// Ways to place requests, to be compared under the same load.
//
//   PlacingPolicy policy(PolicyKind::Product);
//   const Placement placement = policy.Decide(question);
//
// Each gets what the product's own decision gets.

#pragma once

#include "rattanweir/request/placement/placement.h"
#include "rattanweir/request/wait_queue/wait_queue.h"

#include <cstddef>

namespace rattanweir {

enum class PolicyKind
{
  Product,
  // The product's, but requests of all kinds wait in the order in which they
  // came.
  FirstComeFirstServed,
  // The product's, but requests wait in the order in which they came until
  // their deadlines, and none is refused for being late.
  NoRefusal,
  // The server with the fewest requests; another region only without any here.
  LeastLoad,
  // One server after the other.
  RoundRobin,
};

const char*
NameOf(PolicyKind aKind);

class PlacementPolicy
{
public:
  explicit PlacementPolicy(PolicyKind aKind);

  Placement Decide(PlacementInput aInput);

  // By which a request of this one waits.
  SchedulingKey SchedulingKeyOf(const SchedulingKey& aKey) const;

  // How long a request may wait for a server.
  std::chrono::nanoseconds MaxQueueWait(
    std::chrono::nanoseconds aObjective,
    std::chrono::nanoseconds aUntilDeadline) const;

private:
  PolicyKind m_kind;
  std::size_t m_next = 0;
};

} // namespace rattanweir
