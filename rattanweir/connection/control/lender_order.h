// Product's own interface (settings without `fleet`): orders the peers from
// which an instance requests a lease of a client account's rate share.
//
//   const auto lenders = LendersByDistance(
//     membership, { .m_clientAccount = account, .m_max = 8 });
//
// Peers in the local availability zone come first, then those in the local
// region, then those in other regions. Each group is in rendezvous-hash order
// over borrower, peer and account, so that instances that run short at the same
// time start with different peers.
//
// A pure function of the membership's current state. Not thread-safe, as
// Membership is not.

#pragma once

#include "rattanweir/base/ids/ids.h"
#include "rattanweir/process/membership/membership.h"

#include <cstddef>
#include <vector>

namespace rattanweir {

struct LenderOrderOptions
{
  ClientAccountId m_clientAccount;
  // Number of nearest peers to leave out because they granted less than was
  // requested.
  std::size_t m_skipped = 0;
  // Maximum number of lenders to return.
  std::size_t m_max = 0;
};

// Returns the usable peers, nearest first. Returns an empty vector if this
// instance is not in the instance list or all peers are left out.
std::vector<InstanceId>
LendersByDistance(const Membership& aMembership,
                  const LenderOrderOptions& aOptions);

} // namespace rattanweir
