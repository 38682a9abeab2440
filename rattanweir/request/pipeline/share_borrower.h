// Borrows a share of a client account's rate from peers. Used by the product's
// own interface (`request/pipeline`).

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

  // Requests leases from peers until this instance may be able to admit
  // `aTokens` or no peer remains. Returns whether the caller should try to
  // reserve again.
  virtual Task<bool> Borrow(ClientAccountId aAccount,
                            Tokens aTokens,
                            SteadyTime aDeadline,
                            CancelSource& aCancel) = 0;

  // Starts to borrow the tokens that the account is expected to need soon, so
  // that requests do not wait for a lease. Returns immediately.
  virtual void BorrowAhead(const ClientAccountId& aAccount) = 0;
};

} // namespace rattanweir
