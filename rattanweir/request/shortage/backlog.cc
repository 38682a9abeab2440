#include "rattanweir/request/shortage/backlog.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace rattanweir {
namespace {

constexpr std::chrono::seconds kLogInterval{ 1 };

} // namespace

Backlog::Backlog(const BacklogOptions& aOptions)
  : m_options(aOptions)
{
}

Backlog::Entry::Entry(Backlog& aBacklog,
                      const ClientAccountId& aAccount,
                      Tokens aWork)
  : m_backlog(aBacklog)
  , m_account(aAccount)
  , m_work(aWork)
{
  if (m_backlog.m_waiters++ == 0) {
    m_backlog.m_waitersSince = m_backlog.m_options.m_clock.SteadyNow();
  }
  m_backlog.m_work += m_work;
  AccountWork& account = m_backlog.m_accounts[m_account];
  ++account.m_waiters;
  account.m_work += m_work;
}

Backlog::Entry::~Entry()
{
  m_backlog.m_work -= m_work;
  const auto account = m_backlog.m_accounts.find(m_account);
  account->second.m_work -= m_work;
  if (--account->second.m_waiters == 0) {
    m_backlog.m_accounts.erase(account);
  }
  if (--m_backlog.m_waiters == 0) {
    m_backlog.m_waitersSince.reset();
  }
}

double
Backlog::Decayed(SteadyTime aNow) const
{
  const std::chrono::duration<double> age = aNow - m_dispatchesAt;
  const std::chrono::duration<double> halfLife = m_options.m_rateHalfLife;
  return m_dispatches * std::exp2(-age / halfLife);
}

void
Backlog::RecordDispatch()
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  m_dispatches = Decayed(now) + 1;
  m_dispatchesAt = now;
}

std::optional<RequestRate>
Backlog::DrainRate() const
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  if (!m_waitersSince || now - *m_waitersSince < m_options.m_minPressureTime) {
    return std::nullopt;
  }
  // A constant rate r adds up to r * halfLife / ln 2 decayed dispatches.
  const std::chrono::duration<double> halfLife = m_options.m_rateHalfLife;
  constexpr double kMinPerSecond = 0.1;
  return RequestRate(std::max(
    kMinPerSecond, Decayed(now) * std::numbers::ln2 / halfLife.count()));
}

bool
Backlog::IsOverShare(const ClientAccountId& aAccount, Tokens aWork) const
{
  if (m_waiters < m_options.m_minWaitersForShares) {
    return false;
  }
  const auto found = m_accounts.find(aAccount);
  const bool isWaiting = found != m_accounts.end();
  const std::size_t accounts = m_accounts.size() + (isWaiting ? 0 : 1);
  if (accounts < 2) {
    return false;
  }
  const Tokens own = aWork + (isWaiting ? found->second.m_work : Tokens(0));
  const double mean = static_cast<double>((m_work + aWork).Value()) /
                      static_cast<double>(accounts);
  return static_cast<double>(own.Value()) > m_options.m_shareFactor * mean;
}

bool
Backlog::IsLogDue()
{
  const SteadyTime now = m_options.m_clock.SteadyNow();
  if (m_waiters == 0 || (m_loggedAt && now - *m_loggedAt < kLogInterval)) {
    return false;
  }
  m_loggedAt = now;
  return true;
}

} // namespace rattanweir
