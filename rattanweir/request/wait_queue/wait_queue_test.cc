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
