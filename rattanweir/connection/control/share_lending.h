// Product's own interface (settings without `fleet`): borrows shares of a
// client account's rate from peers, and returns them.
//
//   if (co_await lending.Borrow(account, Tokens(500), deadline, cancel)) {
//     ... reserve again ...
//   }
//
// Concurrent requests of one account that lack tokens wait for the same lease
// request. The rate ledger limits how often each peer is asked.
//
// Not thread-safe. The object must outlive the tasks that it has started on the
// executor.

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

  // Requests leases from peers, nearest first, until the tokens are available,
  // no peer is left to ask, the deadline passes or the request is cancelled.
  // Returns true if the tokens are available or a share was borrowed.
  Task<bool> Borrow(ClientAccountId aAccount,
                    Tokens aTokens,
                    SteadyTime aDeadline,
                    CancelSource& aCancel) override;

  void BorrowAhead(const ClientAccountId& aAccount) override;

  // Returns shares that are no longer needed to their lenders, without waiting
  // for the responses. If a return is lost, the lease ends with its term.
  void ReturnShares(const std::vector<LeaseReturn>& aShares);

private:
  struct PendingRequest;

  // Number of nearest lenders that are skipped because they granted less than
  // was requested, and the time of the first such grant.
  struct SkippedLenders
  {
    SteadyTime m_since;
    std::size_t m_count = 0;
  };

  // Returns null if the rate ledger allows no lease request at present.
  std::shared_ptr<PendingRequest> StartLeaseRequest(
    const ClientAccountId& aAccount,
    Tokens aTokens);
  Task<void> RequestLease(LeaseRequest aRequest);
  Task<void> SendReturn(LeaseReturn aReturn);
  Task<bool> WaitFor(std::shared_ptr<PendingRequest> aPending,
                     SteadyTime aDeadline);
  void CompleteRequest(const ClientAccountId& aAccount, bool aIsGranted);
  bool HasTokens(const ClientAccountId& aAccount, Tokens aTokens) const;
  std::vector<InstanceId> NextLenders(const ClientAccountId& aAccount);
  void SkipNearestLender(const ClientAccountId& aAccount);

  ShareLendingOptions m_options;
  std::map<ClientAccountId, std::shared_ptr<PendingRequest>> m_pendingRequests;
  std::map<ClientAccountId, SkippedLenders> m_skippedLenders;
};

} // namespace rattanweir
