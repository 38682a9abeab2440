#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/wait_queue/wait_queue.h"

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <vector>

namespace rattanweir {
namespace {

using std::chrono::seconds;

SteadyTime
At(int aSecond)
{
  return SteadyTime(seconds(aSecond));
}

TEST_CASE("waiters are ordered by priority, then by latest arrival")
{
  asio::io_context context;
  WaitQueue queue(context.get_executor());
  CHECK_FALSE(
    queue.HasWaiterAheadOf({ .m_priority = 9, .m_arrivedAt = At(1) }));
  WaitQueue::Waiter early(queue, { .m_priority = 1, .m_arrivedAt = At(1) });
  WaitQueue::Waiter late(queue, { .m_priority = 1, .m_arrivedAt = At(2) });
  CHECK(late.IsFirst());
  CHECK_FALSE(early.IsFirst());
  const WaitQueue::Waiter urgent(queue,
                                 { .m_priority = 0, .m_arrivedAt = At(3) });
  CHECK(urgent.IsFirst());
  CHECK(queue.HasWaiterAheadOf({ .m_priority = 0, .m_arrivedAt = At(2) }));
  CHECK_FALSE(
    queue.HasWaiterAheadOf({ .m_priority = 0, .m_arrivedAt = At(4) }));
}

SchedulingKey
Timed(unsigned aPriority, SchedulingTier aTier, int aLatestStart)
{
  return { .m_priority = aPriority,
           .m_tier = aTier,
           .m_latestStart = At(aLatestStart),
           .m_arrivedAt = At(0) };
}

// Guards against a late request that keeps its place before those in time.
TEST_CASE("waiters with a latest start are ordered by tier, then by that start")
{
  asio::io_context context;
  WaitQueue queue(context.get_executor());
  WaitQueue::Waiter relaxed(queue, Timed(1, SchedulingTier::InTime, 9));
  WaitQueue::Waiter pressed(queue, Timed(1, SchedulingTier::InTime, 5));
  const WaitQueue::Waiter late(queue, Timed(1, SchedulingTier::Late, 1));
  CHECK(pressed.IsFirst());
  CHECK(pressed.CountAhead() == 0);
  CHECK(late.CountAhead() == 2);
  CHECK(queue.CountAheadOf(Timed(1, SchedulingTier::InTime, 7)) == 1);
  pressed.Move(Timed(1, SchedulingTier::LateRetry, 2));
  CHECK(relaxed.IsFirst());
  CHECK(pressed.CountAhead() == 1);
  CHECK(late.CountAhead() == 2);
}

// Guards against a priority that never gets a server while a higher one is in
// demand.
TEST_CASE("one of 20 dispatches is left to a lower priority")
{
  asio::io_context context;
  WaitQueue queue(context.get_executor());
  WaitQueue::Waiter low(queue, Timed(2, SchedulingTier::InTime, 1));
  int lowDispatches = 0;
  for (int dispatch = 0; dispatch < 100; ++dispatch) {
    WaitQueue::Waiter high(queue, Timed(0, SchedulingTier::InTime, 5));
    REQUIRE(high.IsFirst() != low.IsFirst());
    if (low.IsFirst()) {
      low.RecordDispatch();
      ++lowDispatches;
    } else {
      high.RecordDispatch();
    }
  }
  CHECK(lowDispatches == 5);
}

Task<void>
WaitAndRecord(WaitQueue& aQueue, int aNumber, std::vector<int>& aWoken)
{
  WaitQueue::Waiter waiter(aQueue,
                           { .m_priority = 1, .m_arrivedAt = At(aNumber) });
  CancelSource cancel;
  co_await waiter.Wait(seconds(30), cancel);
  aWoken.push_back(aNumber);
}

TEST_CASE("one wake-up drains the queue in order, as each waiter is removed")
{
  asio::io_context context;
  WaitQueue queue(context.get_executor());
  std::vector<int> woken;
  for (const int number : { 2, 1, 3 }) {
    asio::co_spawn(
      context, WaitAndRecord(queue, number, woken), asio::detached);
  }
  context.poll();
  CHECK(queue.Size() == 3);
  CHECK(queue.SizeUpToPriority(0) == 0);
  CHECK(queue.SizeUpToPriority(1) == 3);
  queue.Wake();
  context.restart();
  context.run_for(seconds(5));
  CHECK(woken == std::vector<int>{ 3, 2, 1 });
  CHECK(queue.Size() == 0);
}

} // namespace
} // namespace rattanweir
