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

// A lender that takes longer is left for the next one.
constexpr std::chrono::milliseconds kCallTimeout{ 500 };

// The most peers asked for one request, and named to the ledger at a time.
constexpr std::size_t kLendersAsked = 8;

// After that the nearest are asked first again.
constexpr std::chrono::seconds kSkipTime{ 5 };

} // namespace

// A lease request under way; the timer wakes who waits for its end.
struct ShareLending::Pending
{
  explicit Pending(const Executor& aExecutor)
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
  for (std::size_t asked = 0; asked < kLendersAsked; ++asked) {
    if (IsAtHand(aAccount, aTokens)) {
      co_return true;
    }
    if (aCancel.Reason() || m_options.m_clock.SteadyNow() >= aDeadline) {
      break;
    }
    const auto found = m_pending.find(aAccount);
    const auto pending =
      found == m_pending.end() ? StartAsk(aAccount, aTokens) : found->second;
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
  if (m_pending.count(aAccount) == 0) {
    StartAsk(aAccount, Tokens(0));
  }
}

// The request ends by itself: an answer that comes after all who waited for it
// have left still brings its share.
std::shared_ptr<ShareLending::Pending>
ShareLending::StartAsk(const ClientAccountId& aAccount, Tokens aTokens)
{
  std::optional<LeaseRequest> request = m_options.m_rate.PrepareLeaseRequest(
    aAccount, aTokens, NextLenders(aAccount));
  if (!request) {
    return nullptr;
  }
  auto pending = std::make_shared<Pending>(m_options.m_executor);
  m_pending.emplace(aAccount, pending);
  asio::co_spawn(
    m_options.m_executor, Ask(std::move(*request)), asio::detached);
  return pending;
}

bool
ShareLending::IsAtHand(const ClientAccountId& aAccount, Tokens aTokens) const
{
  return m_options.m_rate.Status(aAccount).m_availableTokens >=
         static_cast<double>(aTokens.Value());
}

Task<void>
ShareLending::Ask(LeaseRequest aRequest)
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
      call.m_deadline = m_options.m_clock.SteadyNow() + kCallTimeout;
      const Json::Value result =
        co_await CallPeer(m_options.m_upstream, std::move(call));
      grant = LeaseGrantFromJson(result);
    }
  } catch (const std::exception&) {
    // The lender may have deducted; its share comes back with its term.
    m_options.m_metrics.Count("rattanweir_share_request_failures_total");
  }
  const bool isGranted = m_options.m_rate.Accept(grant);
  if (!isGranted || grant.m_fraction < aRequest.m_fraction) {
    SkipOne(aRequest.m_clientAccount);
  }
  m_options.m_metrics.Count(isGranted
                              ? "rattanweir_shares_borrowed_total"
                              : "rattanweir_share_requests_refused_total");
  EndPending(aRequest.m_clientAccount, isGranted);
}

void
ShareLending::Return(const std::vector<LeaseReturn>& aReturns)
{
  for (const LeaseReturn& share : aReturns) {
    asio::co_spawn(m_options.m_executor, Tell(share), asio::detached);
  }
}

Task<void>
ShareLending::Tell(LeaseReturn aReturn)
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
  call.m_deadline = m_options.m_clock.SteadyNow() + kCallTimeout;
  try {
    co_await CallPeer(m_options.m_upstream, std::move(call));
    m_options.m_metrics.Count("rattanweir_shares_returned_total");
  } catch (const std::exception&) {
    m_options.m_metrics.Count("rattanweir_share_return_failures_total");
  }
}

// Whether it was granted; false as well if the deadline comes first.
Task<bool>
ShareLending::WaitFor(std::shared_ptr<Pending> aPending, SteadyTime aDeadline)
{
  boost::system::error_code ignored;
  const auto left = aDeadline - m_options.m_clock.SteadyNow();
  // Set only by the first who waits: a new expiry would wake the others.
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
ShareLending::EndPending(const ClientAccountId& aAccount, bool aIsGranted)
{
  const auto found = m_pending.find(aAccount);
  found->second->m_isDone = true;
  found->second->m_isGranted = aIsGranted;
  found->second->m_timer.cancel();
  m_pending.erase(found);
}

std::vector<InstanceId>
ShareLending::NextLenders(const ClientAccountId& aAccount)
{
  LenderOrderOptions order{ .m_clientAccount = aAccount,
                            .m_max = kLendersAsked };
  const auto skip = m_skips.find(aAccount);
  if (skip == m_skips.end()) {
    return LendersInOrder(m_options.m_membership, order);
  }
  order.m_skipped = skip->second.m_count;
  std::vector<InstanceId> lenders =
    LendersInOrder(m_options.m_membership, order);
  const auto age = m_options.m_clock.SteadyNow() - skip->second.m_since;
  if (age <= kSkipTime && lenders.size() == kLendersAsked) {
    return lenders;
  }
  // Begins anew; the ledger knows whom to leave alone.
  m_skips.erase(skip);
  order.m_skipped = 0;
  return LendersInOrder(m_options.m_membership, order);
}

void
ShareLending::SkipOne(const ClientAccountId& aAccount)
{
  const Skip fresh{ .m_since = m_options.m_clock.SteadyNow() };
  ++m_skips.try_emplace(aAccount, fresh).first->second.m_count;
}

} // namespace rattanweir
