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

TEST_CASE("the most urgent is first, then the one that came last")
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
WaitInQueue(WaitQueue& aQueue, int aNumber, std::vector<int>& aLeft)
{
  WaitQueue::Waiter place(aQueue,
                          { .m_priority = 1, .m_arrivedAt = At(aNumber) });
  CancelSource cancel;
  co_await place.Wait(seconds(30), cancel);
  aLeft.push_back(aNumber);
}

TEST_CASE("one wake-up empties the line in its order, as each leaves")
{
  asio::io_context context;
  WaitQueue queue(context.get_executor());
  std::vector<int> left;
  for (const int number : { 2, 1, 3 }) {
    asio::co_spawn(context, WaitInQueue(queue, number, left), asio::detached);
  }
  context.poll();
  CHECK(queue.Size() == 3);
  queue.Wake();
  context.restart();
  context.run_for(seconds(5));
  CHECK(left == std::vector<int>{ 3, 2, 1 });
  CHECK(queue.Size() == 0);
}

} // namespace
} // namespace rattanweir
