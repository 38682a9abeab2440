// Borrows shares of a client account's rate from peers, and returns them.
//
//   if (co_await lending.Borrow(account, Tokens(500), deadline, cancel)) {
//     ... reserve once more ...
//   }
//
// Requests of one account that come up short together wait for one lease
// request; the rate ledger bounds how often which peer is asked. For one
// thread; must outlive the executor's work.

#pragma once

#include "rattanweir/process/membership/membership.h"
#include "rattanweir/process/metrics/metrics.h"
#include "rattanweir/process/rate/rate_ledger.h"
#include "rattanweir/request/exchange/exchange.h"
#include "rattanweir/request/pipeline/share_borrower.h"

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace rattanweir {

struct ShareLendingOptions
{
  Executor m_executor;
  const Clock& m_clock;
  Upstream& m_upstream;
  Membership& m_membership;
  RateLedger& m_rate;
  Metrics& m_metrics;
};

class ShareLending final : public ShareBorrower
{
public:
  explicit ShareLending(const ShareLendingOptions& aOptions);
  ~ShareLending() override;
  ShareLending(const ShareLending&) = delete;
  ShareLending& operator=(const ShareLending&) = delete;

  // Asks peers, nearest first, until the tokens are at hand, no peer is left
  // to ask, the deadline passes or the request is cancelled. True if something
  // was borrowed meanwhile.
  Task<bool> Borrow(ClientAccountId aAccount,
                    Tokens aTokens,
                    SteadyTime aDeadline,
                    CancelSource& aCancel) override;

  void BorrowAhead(const ClientAccountId& aAccount) override;

  // Tells each lender of the shares that are not needed any more. One that
  // does not hear of it has its share back with the end of the term.
  void Return(const std::vector<LeaseReturn>& aReturns);

private:
  struct Pending;

  // How many of the nearest gave less than was asked, since the first did.
  struct Skip
  {
    SteadyTime m_since;
    std::size_t m_count = 0;
  };

  // Null if asking cannot help now.
  std::shared_ptr<Pending> StartAsk(const ClientAccountId& aAccount,
                                    Tokens aTokens);
  Task<void> Ask(LeaseRequest aRequest);
  Task<void> Tell(LeaseReturn aReturn);
  Task<bool> WaitFor(std::shared_ptr<Pending> aPending, SteadyTime aDeadline);
  void EndPending(const ClientAccountId& aAccount, bool aIsGranted);
  bool IsAtHand(const ClientAccountId& aAccount, Tokens aTokens) const;
  std::vector<InstanceId> NextLenders(const ClientAccountId& aAccount);
  void SkipOne(const ClientAccountId& aAccount);

  ShareLendingOptions m_options;
  std::map<ClientAccountId, std::shared_ptr<Pending>> m_pending;
  std::map<ClientAccountId, Skip> m_skips;
};

} // namespace rattanweir
