#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/control/share_lending.h"

#include "rattanweir/connection/control/lender_order.h"
#include "rattanweir/connection/control/peer_call.h"
#include "rattanweir/connection/control_messages/control_messages.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace rattanweir {
namespace {

// After this timeout the next lender is asked.
constexpr std::chrono::milliseconds kLeaseCallTimeout{ 500 };

// Maximum number of peers asked for one request, and offered to the rate ledger
// as candidates at a time.
constexpr std::size_t kMaxLendersPerRequest = 8;

// After this time the nearest lenders are no longer skipped.
constexpr std::chrono::seconds kSkipDuration{ 5 };

} // namespace

// A lease request in progress. Cancelling the timer resumes the coroutines that
// wait for the outcome.
struct ShareLending::PendingRequest
{
  explicit PendingRequest(const Executor& aExecutor)
    : m_timer(aExecutor)
  {
  }

  asio::steady_timer m_timer;
  bool m_isDone = false;
  bool m_isGranted = false;
};

ShareLending::ShareLending(const ShareLendingOptions& aOptions)
  : m_options(aOptions)
{
}

ShareLending::~ShareLending() = default;

Task<bool>
ShareLending::Borrow(ClientAccountId aAccount,
                     Tokens aTokens,
                     SteadyTime aDeadline,
                     CancelSource& aCancel)
{
  bool hasBorrowed = false;
  for (std::size_t attempt = 0; attempt < kMaxLendersPerRequest; ++attempt) {
    if (HasTokens(aAccount, aTokens)) {
      co_return true;
    }
    if (aCancel.Reason() || m_options.m_clock.SteadyNow() >= aDeadline) {
      break;
    }
    const auto found = m_pendingRequests.find(aAccount);
    const auto pending = found == m_pendingRequests.end()
                           ? StartLeaseRequest(aAccount, aTokens)
                           : found->second;
    if (!pending) {
      break;
    }
    const bool isGranted = co_await WaitFor(pending, aDeadline);
    hasBorrowed = hasBorrowed || isGranted;
  }
  co_return hasBorrowed;
}

void
ShareLending::BorrowAhead(const ClientAccountId& aAccount)
{
  if (m_pendingRequests.count(aAccount) == 0) {
    StartLeaseRequest(aAccount, Tokens(0));
  }
}

// The lease request runs in a task of its own. A grant that arrives after all
// waiting coroutines have given up is still accepted.
std::shared_ptr<ShareLending::PendingRequest>
ShareLending::StartLeaseRequest(const ClientAccountId& aAccount, Tokens aTokens)
{
  std::optional<LeaseRequest> request = m_options.m_rate.PrepareLeaseRequest(
    aAccount, aTokens, NextLenders(aAccount));
  if (!request) {
    return nullptr;
  }
  auto pending = std::make_shared<PendingRequest>(m_options.m_executor);
  m_pendingRequests.emplace(aAccount, pending);
  asio::co_spawn(
    m_options.m_executor, RequestLease(std::move(*request)), asio::detached);
  return pending;
}

bool
ShareLending::HasTokens(const ClientAccountId& aAccount, Tokens aTokens) const
{
  return m_options.m_rate.Status(aAccount).m_availableTokens >=
         static_cast<double>(aTokens.Value());
}

Task<void>
ShareLending::RequestLease(LeaseRequest aRequest)
{
  LeaseGrant grant;
  grant.m_id = aRequest.m_id;
  grant.m_clientAccount = aRequest.m_clientAccount;
  try {
    const std::optional<PeerView> lender =
      m_options.m_membership.Find(aRequest.m_lender);
    if (lender) {
      PeerCall call;
      call.m_endpoint = lender->m_record.m_peerAddress;
      call.m_method = kBorrowShareMethod;
      call.m_parameters = ToJson(aRequest);
      call.m_deadline = m_options.m_clock.SteadyNow() + kLeaseCallTimeout;
      const Json::Value result =
        co_await CallPeer(m_options.m_upstream, std::move(call));
      grant = LeaseGrantFromJson(result);
    }
  } catch (const std::exception&) {
    // The lender may have deducted the share; that lease ends with its term.
    m_options.m_metrics.Count("rattanweir_share_request_failures_total");
  }
  const bool isGranted = m_options.m_rate.Accept(grant);
  if (!isGranted || grant.m_fraction < aRequest.m_fraction) {
    SkipNearestLender(aRequest.m_clientAccount);
  }
  m_options.m_metrics.Count(isGranted
                              ? "rattanweir_shares_borrowed_total"
                              : "rattanweir_share_requests_refused_total");
  CompleteRequest(aRequest.m_clientAccount, isGranted);
}

void
ShareLending::ReturnShares(const std::vector<LeaseReturn>& aShares)
{
  for (const LeaseReturn& share : aShares) {
    asio::co_spawn(m_options.m_executor, SendReturn(share), asio::detached);
  }
}

Task<void>
ShareLending::SendReturn(LeaseReturn aReturn)
{
  const std::optional<PeerView> lender =
    m_options.m_membership.Find(aReturn.m_lender);
  if (!lender) {
    co_return;
  }
  PeerCall call;
  call.m_endpoint = lender->m_record.m_peerAddress;
  call.m_method = kReturnShareMethod;
  call.m_parameters = ToJson(aReturn);
  call.m_deadline = m_options.m_clock.SteadyNow() + kLeaseCallTimeout;
  try {
    co_await CallPeer(m_options.m_upstream, std::move(call));
    m_options.m_metrics.Count("rattanweir_shares_returned_total");
  } catch (const std::exception&) {
    m_options.m_metrics.Count("rattanweir_share_return_failures_total");
  }
}

// Returns true if the lease was granted, false if it was refused or the
// deadline passed first.
Task<bool>
ShareLending::WaitFor(std::shared_ptr<PendingRequest> aPending,
                      SteadyTime aDeadline)
{
  boost::system::error_code ignored;
  const auto left = aDeadline - m_options.m_clock.SteadyNow();
  // Only the first waiting coroutine sets the expiry, because setting it again
  // would resume the others.
  if (aPending->m_timer.expiry() < std::chrono::steady_clock::now()) {
    aPending->m_timer.expires_after(left);
  }
  if (!aPending->m_isDone) {
    co_await aPending->m_timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return aPending->m_isGranted;
}

void
ShareLending::CompleteRequest(const ClientAccountId& aAccount, bool aIsGranted)
{
  const auto found = m_pendingRequests.find(aAccount);
  found->second->m_isDone = true;
  found->second->m_isGranted = aIsGranted;
  found->second->m_timer.cancel();
  m_pendingRequests.erase(found);
}

std::vector<InstanceId>
ShareLending::NextLenders(const ClientAccountId& aAccount)
{
  LenderOrderOptions order{ .m_clientAccount = aAccount,
                            .m_max = kMaxLendersPerRequest };
  const auto skipped = m_skippedLenders.find(aAccount);
  if (skipped == m_skippedLenders.end()) {
    return LendersByDistance(m_options.m_membership, order);
  }
  order.m_skipped = skipped->second.m_count;
  std::vector<InstanceId> lenders =
    LendersByDistance(m_options.m_membership, order);
  const auto age = m_options.m_clock.SteadyNow() - skipped->second.m_since;
  if (age <= kSkipDuration && lenders.size() == kMaxLendersPerRequest) {
    return lenders;
  }
  // Starts again with the nearest lender. The rate ledger omits lenders that
  // refused recently.
  m_skippedLenders.erase(skipped);
  order.m_skipped = 0;
  return LendersByDistance(m_options.m_membership, order);
}

void
ShareLending::SkipNearestLender(const ClientAccountId& aAccount)
{
  const SkippedLenders fresh{ .m_since = m_options.m_clock.SteadyNow() };
  ++m_skippedLenders.try_emplace(aAccount, fresh).first->second.m_count;
}

} // namespace rattanweir
