// Borrows a share of a client account's rate from peers.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/base/cancel/cancel.h"
#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/units/units.h"

namespace rattanweir {

class ShareBorrower
{
public:
  virtual ~ShareBorrower() = default;

  // Asks peers until this instance may be able to admit `aTokens` or nobody is
  // left to ask. Whether it is worth trying to reserve again.
  virtual Task<bool> Borrow(ClientAccountId aAccount,
                            Tokens aTokens,
                            SteadyTime aDeadline,
                            CancelSource& aCancel) = 0;

  // Starts to ask for what the account will need soon, so that no request has
  // to wait for it. Returns at once.
  virtual void BorrowAhead(const ClientAccountId& aAccount) = 0;
};

} // namespace rattanweir
