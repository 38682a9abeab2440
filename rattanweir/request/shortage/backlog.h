// The work that waits for the servers of one pool at this instance: how fast it
// drains, and how much of it belongs to each client account.
//
//   Backlog backlog({ .m_clock = clock });
//   const Backlog::Entry entry(backlog, account, Tokens(4'000));
//   backlog.RecordDispatch();
//   const std::optional<RequestRate> rate = backlog.DrainRate();
//
// Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/units/units.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace rattanweir {

struct BacklogOptions
{
  const Clock& m_clock;
  // Half-life of the dispatches that make up the drain rate.
  std::chrono::nanoseconds m_rateHalfLife{ std::chrono::milliseconds(700) };
  // Time for which the pool must have waiters before the rate is used: without
  // pressure, the rate is that of the callers.
  std::chrono::nanoseconds m_minPressureTime{ std::chrono::milliseconds(300) };
  // Number of waiters from which accounts are held to their shares.
  std::size_t m_minWaitersForShares = 6;
  // Multiple of the mean waiting work per account above which an account is
  // over its share.
  double m_shareFactor = 2;
};

class Backlog
{
public:
  explicit Backlog(const BacklogOptions& aOptions);
  Backlog(const Backlog&) = delete;
  Backlog& operator=(const Backlog&) = delete;

  // The work of one waiting request, counted from construction to destruction.
  class Entry
  {
  public:
    Entry(Backlog& aBacklog, const ClientAccountId& aAccount, Tokens aWork);
    ~Entry();
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

  private:
    Backlog& m_backlog;
    ClientAccountId m_account;
    Tokens m_work;
  };

  // Records that a request was sent to a server of the pool.
  void RecordDispatch();

  // Returns the rate at which the backlog drains, or nullopt if requests have
  // not waited long enough to tell.
  std::optional<RequestRate> DrainRate() const;

  // Returns whether an account would have more than its share of the waiting
  // work with a further request.
  bool IsOverShare(const ClientAccountId& aAccount, Tokens aWork) const;

  // Returns true at most once a second while requests wait, for a log record.
  bool IsLogDue();

  std::size_t Waiters() const { return m_waiters; }

private:
  struct AccountWork
  {
    std::size_t m_waiters = 0;
    Tokens m_work;
  };

  double Decayed(SteadyTime aNow) const;

  BacklogOptions m_options;
  double m_dispatches = 0;
  SteadyTime m_dispatchesAt;
  std::size_t m_waiters = 0;
  std::optional<SteadyTime> m_waitersSince;
  Tokens m_work;
  std::map<ClientAccountId, AccountWork> m_accounts;
  std::optional<SteadyTime> m_loggedAt;
};

// The backlogs of all pools.
class PoolBacklogs
{
public:
  explicit PoolBacklogs(const BacklogOptions& aOptions)
    : m_options(aOptions)
  {
  }

  // Returns the pool's backlog; creates it on first use. The reference stays
  // valid as long as this object.
  Backlog& Of(const PoolId& aPool)
  {
    return m_backlogs.try_emplace(aPool, m_options).first->second;
  }

private:
  BacklogOptions m_options;
  std::map<PoolId, Backlog> m_backlogs;
};

} // namespace rattanweir
