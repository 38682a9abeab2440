// Plays loads on the servers of one pool and compares what callers get with the
// order by priority and newest arrival that holds without these decisions.

#include "rattanweir/request/shortage/backlog.h"
#include "rattanweir/request/shortage/shortage.h"
#include "rattanweir/request/wait_queue/priority_floor.h"

#include "rattanweir/base/clock/manual_clock.h"
#include "rattanweir/base/random/random.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr milliseconds kTick{ 5 };
constexpr seconds kPlayed{ 20 };

struct Kind
{
  unsigned m_priority;
  // First attempts per second at a load of 1, when all slots are busy.
  double m_perSecond;
  milliseconds m_startTime;
  milliseconds m_slotTime;
  milliseconds m_objective;
  milliseconds m_deadline;
  double m_value;
  double m_lateValue;
};

// Short checks before long answers, in the ratio of a deployment with 12 slots
// a server: at a load of 1 they take 36 slots.
const std::vector<Kind> kKinds = {
  { 0,
    84,
    milliseconds(90),
    milliseconds(270),
    milliseconds(500),
    milliseconds(4'000),
    2.7,
    0.32 },
  { 2,
    7,
    milliseconds(200),
    milliseconds(800),
    milliseconds(1'500),
    milliseconds(6'000),
    6,
    2.7 },
  // The largest tenth of the long answers.
  { 2,
    0.8,
    milliseconds(600),
    milliseconds(2'400),
    milliseconds(1'500),
    milliseconds(6'000),
    12,
    5.4 },
};
constexpr int kSlots = 36;

struct Call
{
  const Kind* m_kind;
  ClientAccountId m_account;
  SteadyTime m_firstSentAt;
  bool m_isRetry = false;
};

struct Figures
{
  double m_offered = 0;
  double m_earned = 0;
  std::map<const Kind*, double> m_calls;
  std::map<const Kind*, double> m_served;
  std::map<ClientAccountId, double> m_callsOf;
  std::map<ClientAccountId, double> m_servedOf;
  double m_retries = 0;
  double m_refusedAgain = 0;
  nanoseconds m_longestVainWait{};

  double ServedFraction(std::size_t aKind) const
  {
    const Kind* kind = &kKinds[aKind];
    const auto served = m_served.find(kind);
    return served == m_served.end() ? 0 : served->second / m_calls.at(kind);
  }
  double ServedFraction(const ClientAccountId& aAccount) const
  {
    return m_servedOf.at(aAccount) / m_callsOf.at(aAccount);
  }
};

class Play
{
public:
  Play(bool aIsManaged, double aLoad, double aHotFactor, std::uint64_t aSeed)
    : m_isManaged(aIsManaged)
    , m_load(aLoad)
    , m_hotFactor(aHotFactor)
    , m_random(aSeed)
  {
  }

  Figures Run()
  {
    while (Elapsed() < kPlayed) {
      Arrive();
      for (const Call& call : TakeDue(m_returning)) {
        Offer(call);
      }
      m_busy -= static_cast<int>(TakeDue(m_ends).size());
      UpdateWaiters();
      while (m_busy < kSlots && !m_waiters.empty()) {
        const auto first = Next();
        const Waiter waiter = first->second;
        m_waiters.erase(first);
        Start(waiter.m_call);
      }
      m_clock.Advance(kTick);
    }
    return m_figures;
  }

private:
  struct Waiter
  {
    Call m_call;
    SteadyTime m_receivedAt;
    bool m_isOverShare = false;
    std::shared_ptr<Backlog::Entry> m_entry;
  };
  using Position = std::pair<SchedulingKey, int>;

  // Returns the waiter that is sent next.
  std::map<Position, Waiter>::iterator Next()
  {
    const unsigned highest = m_waiters.begin()->first.first.m_priority;
    const auto lower =
      std::ranges::find_if(m_waiters, [&](const auto& aWaiter) {
        return aWaiter.first.first.m_priority > highest;
      });
    if (!m_isManaged || lower == m_waiters.end()) {
      return m_waiters.begin();
    }
    const bool isLowerDue = m_floor.IsLowerDue();
    m_floor.RecordDispatch(!isLowerDue);
    return isLowerDue ? lower : m_waiters.begin();
  }

  SteadyTime Now() const { return m_clock.SteadyNow(); }
  nanoseconds Elapsed() const { return Now() - m_start; }

  template<class Item>
  std::vector<Item> TakeDue(std::multimap<SteadyTime, Item>& aItems)
  {
    std::vector<Item> due;
    while (!aItems.empty() && aItems.begin()->first <= Now()) {
      due.push_back(aItems.begin()->second);
      aItems.erase(aItems.begin());
    }
    return due;
  }

  void Arrive()
  {
    const double tick = std::chrono::duration<double>(kTick).count();
    for (const Kind& kind : kKinds) {
      for (int account = 0; account < 4; ++account) {
        const double factor = account == 0 ? m_hotFactor : 1;
        std::poisson_distribution<int> count(kind.m_perSecond * m_load * tick *
                                             factor / (3 + m_hotFactor));
        for (int left = count(m_random); left > 0; --left) {
          const Call call{ &kind,
                           ClientAccountId(std::to_string(account)),
                           Now() };
          m_figures.m_offered += kind.m_value;
          ++m_figures.m_calls[&kind];
          ++m_figures.m_callsOf[call.m_account];
          Offer(call);
        }
      }
    }
  }

  ShortageRequest RequestOf(const Call& aCall, SteadyTime aReceivedAt) const
  {
    return { .m_priority = aCall.m_kind->m_priority,
             .m_receivedAt = aReceivedAt,
             .m_deadline = aCall.m_firstSentAt + aCall.m_kind->m_deadline,
             .m_objective = aCall.m_kind->m_objective,
             .m_spentBefore = aReceivedAt - aCall.m_firstSentAt,
             .m_startTime = aCall.m_kind->m_startTime };
  }

  SchedulingKey KeyOf(const Waiter& aWaiter) const
  {
    if (!m_isManaged) {
      return { .m_priority = aWaiter.m_call.m_kind->m_priority,
               .m_arrivedAt = aWaiter.m_receivedAt };
    }
    return SchedulingKeyOf(RequestOf(aWaiter.m_call, aWaiter.m_receivedAt),
                           aWaiter.m_isOverShare,
                           Now());
  }

  void Offer(const Call& aCall)
  {
    if (m_busy < kSlots && m_waiters.empty()) {
      Start(aCall);
      return;
    }
    const Tokens work(aCall.m_kind->m_slotTime.count());
    Waiter waiter{ aCall, Now() };
    waiter.m_isOverShare = m_backlog.IsOverShare(aCall.m_account, work);
    waiter.m_entry =
      std::make_shared<Backlog::Entry>(m_backlog, aCall.m_account, work);
    m_waiters.emplace(Position(KeyOf(waiter), m_nextWaiter++), waiter);
  }

  std::optional<nanoseconds> RefusedFor(const Waiter& aWaiter,
                                        std::size_t aAhead)
  {
    if (!m_isManaged) {
      const nanoseconds limit =
        ScaleDuration(aWaiter.m_call.m_kind->m_objective, 0.6);
      return Now() - aWaiter.m_receivedAt >= limit
               ? std::optional<nanoseconds>(milliseconds(300))
               : std::nullopt;
    }
    const ShortageRequest request =
      RequestOf(aWaiter.m_call, aWaiter.m_receivedAt);
    const WaitDecision decision =
      DecideWait(request,
                 { .m_now = Now(),
                   .m_requests = aAhead,
                   .m_drainRate = m_backlog.DrainRate() });
    const auto* shed = std::get_if<Shed>(&decision);
    return shed == nullptr
             ? std::nullopt
             : std::optional(RetryAfterFor(
                 shed->m_retryAfter,
                 request.m_deadline - Now(),
                 std::uniform_real_distribution<double>(0, 1)(m_random)));
  }

  void UpdateWaiters()
  {
    std::map<Position, Waiter> waiters;
    for (const auto& [position, waiter] : m_waiters) {
      waiters.emplace(Position(KeyOf(waiter), position.second), waiter);
    }
    m_waiters.clear();
    for (const auto& [position, waiter] : waiters) {
      const auto retryAfter = RefusedFor(waiter, m_waiters.size());
      if (!retryAfter) {
        m_waiters.emplace(position, waiter);
        continue;
      }
      Refuse(waiter, *retryAfter);
    }
  }

  void Refuse(const Waiter& aWaiter, nanoseconds aRetryAfter)
  {
    Call call = aWaiter.m_call;
    m_figures.m_longestVainWait =
      std::max(m_figures.m_longestVainWait, Now() - aWaiter.m_receivedAt);
    if (call.m_isRetry) {
      ++m_figures.m_refusedAgain;
      return;
    }
    call.m_isRetry = true;
    ++m_figures.m_retries;
    m_returning.emplace(Now() + aRetryAfter, call);
  }

  void Start(const Call& aCall)
  {
    const Kind& kind = *aCall.m_kind;
    ++m_busy;
    m_backlog.RecordDispatch();
    m_ends.emplace(Now() + kind.m_slotTime, 0);
    const nanoseconds started = Now() + kind.m_startTime - aCall.m_firstSentAt;
    if (started > kind.m_deadline) {
      return;
    }
    ++m_figures.m_served[&kind];
    ++m_figures.m_servedOf[aCall.m_account];
    m_figures.m_earned +=
      started <= kind.m_objective ? kind.m_value : kind.m_lateValue;
  }

  bool m_isManaged;
  double m_load;
  double m_hotFactor;
  RandomEngine m_random;
  ManualClock m_clock;
  SteadyTime m_start = m_clock.SteadyNow();
  Backlog m_backlog{ { .m_clock = m_clock } };
  std::map<Position, Waiter> m_waiters;
  int m_nextWaiter = 0;
  PriorityFloor m_floor;
  std::multimap<SteadyTime, Call> m_returning;
  std::multimap<SteadyTime, int> m_ends;
  int m_busy = 0;
  Figures m_figures;
};

double
AllCalls(const Figures& aFigures)
{
  double calls = 0;
  for (const auto& [kind, count] : aFigures.m_calls) {
    calls += count;
  }
  return calls;
}

// Guards against an order of waiting that costs callers more than the former
// one, and against one that starves a kind of request, its largest ones or a
// client account.
TEST_CASE("under shortage callers get at least as much as in the order of "
          "arrival, and nobody starves")
{
  for (const double load : { 1.2, 1.6, 2.5 }) {
    for (const double hotFactor : { 1.0, 7.5 }) {
      for (const std::uint64_t seed : { 1U, 2U, 3U }) {
        Figures before = Play(false, load, hotFactor, seed).Run();
        Figures after = Play(true, load, hotFactor, seed).Run();
        const double all =
          (after.m_served[&kKinds[0]] + after.m_served[&kKinds[1]] +
           after.m_served[&kKinds[2]]) /
          AllCalls(after);
        std::printf("load %.1f, hot %.1f, seed %u: earned %.3f, before %.3f; "
                    "served %.2f %.2f %.2f, before %.2f %.2f %.2f; refused "
                    "again %.2f, before %.2f of all\n",
                    load,
                    hotFactor,
                    static_cast<unsigned>(seed),
                    after.m_earned / after.m_offered,
                    before.m_earned / before.m_offered,
                    after.ServedFraction(0),
                    after.ServedFraction(1),
                    after.ServedFraction(2),
                    before.ServedFraction(0),
                    before.ServedFraction(1),
                    before.ServedFraction(2),
                    after.m_refusedAgain / AllCalls(after),
                    before.m_refusedAgain / AllCalls(before));
        INFO("load " << load << ", hot " << hotFactor << ", seed " << seed);
        CHECK(after.m_earned / after.m_offered >=
              before.m_earned / before.m_offered);
        CHECK(after.ServedFraction(0) >= after.ServedFraction(1) - 0.05);
        CHECK(after.ServedFraction(1) >= all / 4);
        CHECK(after.ServedFraction(2) >= after.ServedFraction(1) / 2);
        for (const char* account : { "0", "1", "2", "3" }) {
          CHECK(after.ServedFraction(ClientAccountId(account)) >= all / 4);
        }
      }
    }
  }
}

} // namespace
} // namespace rattanweir
