// Which peers to ask for a share of one client account, nearest first.
//
//   const auto lenders = LendersInOrder(
//     membership, { .m_clientAccount = account, .m_max = 8 });
//
// Own availability zone, own region, other regions; within each of the three
// in rendezvous order over borrower, peer and account, so that instances that
// are short at once begin with different peers. For one thread.

#pragma once

#include "rattanweir/base/ids/ids.h"
#include "rattanweir/process/membership/membership.h"

#include <cstddef>
#include <vector>

namespace rattanweir {

struct LenderOrderOptions
{
  ClientAccountId m_clientAccount;
  // So many of the nearest are left out: they gave less than was asked.
  std::size_t m_skipped = 0;
  std::size_t m_max = 0;
};

// Empty if this instance is not listed, or everybody is left out.
std::vector<InstanceId>
LendersInOrder(const Membership& aMembership,
               const LenderOrderOptions& aOptions);

} // namespace rattanweir
