#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/control/share_lending.h"

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

// The most peers asked for one request.
constexpr int kLendersAsked = 8;

} // namespace

// A lease request under way; the timer wakes who waits for its end.
struct ShareLending::Pending
{
  explicit Pending(const Executor& aExecutor)
    : m_timer(aExecutor)
  {
  }

  asio::steady_timer m_timer;
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
  for (int asked = 0; asked < kLendersAsked; ++asked) {
    if (IsAtHand(aAccount, aTokens)) {
      co_return true;
    }
    if (aCancel.Reason() || m_options.m_clock.SteadyNow() >= aDeadline) {
      break;
    }
    if (m_pending.count(aAccount) != 0) {
      co_await WaitForPending(aAccount, aDeadline);
      hasBorrowed = true;
    } else {
      std::optional<LeaseRequest> request =
        m_options.m_rate.PrepareLeaseRequest(
          aAccount, aTokens, LendersNearestFirst());
      if (!request) {
        break;
      }
      const bool isGranted = co_await Ask(*request, aDeadline);
      hasBorrowed = hasBorrowed || isGranted;
    }
  }
  co_return hasBorrowed;
}

void
ShareLending::BorrowAhead(const ClientAccountId& aAccount)
{
  if (m_pending.count(aAccount) != 0) {
    return;
  }
  const std::optional<LeaseRequest> request =
    m_options.m_rate.PrepareLeaseRequest(
      aAccount, Tokens(0), LendersNearestFirst());
  if (request) {
    const SteadyTime deadline = m_options.m_clock.SteadyNow() + kCallTimeout;
    asio::co_spawn(
      m_options.m_executor, Ask(*request, deadline), asio::detached);
  }
}

bool
ShareLending::IsAtHand(const ClientAccountId& aAccount, Tokens aTokens) const
{
  return m_options.m_rate.Status(aAccount).m_tokensAtHand >=
         static_cast<double>(aTokens.Value());
}

Task<bool>
ShareLending::Ask(LeaseRequest aRequest, SteadyTime aDeadline)
{
  m_pending.emplace(aRequest.m_clientAccount,
                    std::make_shared<Pending>(m_options.m_executor));
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
      call.m_deadline =
        std::min(aDeadline, m_options.m_clock.SteadyNow() + kCallTimeout);
      const Json::Value result =
        co_await CallPeer(m_options.m_upstream, std::move(call));
      grant = LeaseGrantFromJson(result);
    }
  } catch (const std::exception&) {
    // The lender may have deducted; its share comes back with its term.
    m_options.m_metrics.Count("rattanweir_share_request_failures_total");
  }
  const bool isGranted = m_options.m_rate.Accept(grant);
  m_options.m_metrics.Count(isGranted
                              ? "rattanweir_shares_borrowed_total"
                              : "rattanweir_share_requests_refused_total");
  EndPending(aRequest.m_clientAccount);
  co_return isGranted;
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

Task<void>
ShareLending::WaitForPending(ClientAccountId aAccount, SteadyTime aDeadline)
{
  const std::shared_ptr<Pending> pending = m_pending.at(aAccount);
  boost::system::error_code ignored;
  const auto left = aDeadline - m_options.m_clock.SteadyNow();
  // Set only by the first who waits: a new expiry would wake the others.
  if (pending->m_timer.expiry() < std::chrono::steady_clock::now()) {
    pending->m_timer.expires_after(left);
  }
  co_await pending->m_timer.async_wait(
    asio::redirect_error(asio::use_awaitable, ignored));
}

void
ShareLending::EndPending(const ClientAccountId& aAccount)
{
  const auto found = m_pending.find(aAccount);
  found->second->m_timer.cancel();
  m_pending.erase(found);
}

std::vector<InstanceId>
ShareLending::LendersNearestFirst() const
{
  const std::optional<InstanceRecord> self = m_options.m_membership.Self();
  if (!self) {
    return {};
  }
  std::vector<std::pair<int, InstanceId>> ranked;
  for (const PeerView& peer : m_options.m_membership.Peers()) {
    if (!m_options.m_membership.IsUsable(peer)) {
      continue;
    }
    const bool isFar = peer.m_record.m_region != self->m_region;
    const bool isNear = peer.m_record.m_zone == self->m_zone;
    ranked.emplace_back(isFar ? 2 : (isNear ? 0 : 1), peer.m_record.m_id);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<InstanceId> lenders;
  lenders.reserve(ranked.size());
  for (auto& [distance, id] : ranked) {
    lenders.push_back(std::move(id));
  }
  return lenders;
}

} // namespace rattanweir
