#include "rattanweir/request/shortage/backlog.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

#include <deque>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;

const ClientAccountId kAnna("anna");
const ClientAccountId kBert("bert");

// Guards against a rate of callers that is taken for the rate of the servers.
TEST_CASE("the drain rate is known only after some time of pressure")
{
  ManualClock clock;
  Backlog backlog({ .m_clock = clock });
  std::deque<Backlog::Entry> waiters;
  const auto dispatchFor = [&](int aSteps) {
    for (int step = 0; step < aSteps; ++step) {
      clock.Advance(milliseconds(50));
      backlog.RecordDispatch();
    }
  };
  dispatchFor(100);
  CHECK_FALSE(backlog.DrainRate());
  waiters.emplace_back(backlog, kAnna, Tokens(10));
  CHECK_FALSE(backlog.DrainRate());
  dispatchFor(20);
  REQUIRE(backlog.DrainRate());
  CHECK(backlog.DrainRate()->Value() == Approx(20).epsilon(0.1));
  clock.Advance(std::chrono::seconds(20));
  CHECK(backlog.DrainRate()->Value() == Approx(0.1));
  waiters.clear();
  CHECK_FALSE(backlog.DrainRate());
}

// Guards against one account whose load fills the queue.
TEST_CASE("an account with far more than its share of the waiting work is over "
          "its share")
{
  ManualClock clock;
  Backlog backlog({ .m_clock = clock });
  std::deque<Backlog::Entry> waiters;
  for (int waiter = 0; waiter < 12; ++waiter) {
    waiters.emplace_back(backlog, kAnna, Tokens(100));
  }
  CHECK_FALSE(backlog.IsOverShare(kAnna, Tokens(100)));
  for (const char* account : { "bert", "cleo", "dana" }) {
    waiters.emplace_back(backlog, ClientAccountId(account), Tokens(100));
  }
  CHECK(backlog.IsOverShare(kAnna, Tokens(100)));
  CHECK_FALSE(backlog.IsOverShare(kBert, Tokens(100)));
}

// Guards against a crash: requests on routes that are open to all belong to no
// account and cost no tokens.
TEST_CASE("several requests without cost wait and leave")
{
  ManualClock clock;
  Backlog backlog({ .m_clock = clock });
  std::deque<Backlog::Entry> waiters;
  for (int waiter = 0; waiter < 8; ++waiter) {
    waiters.emplace_back(backlog, ClientAccountId(), Tokens(0));
  }
  waiters.emplace_back(backlog, kAnna, Tokens(100));
  CHECK_FALSE(backlog.IsOverShare(ClientAccountId(), Tokens(0)));
  while (!waiters.empty()) {
    waiters.pop_front();
  }
  CHECK(backlog.Waiters() == 0);
}

TEST_CASE("the backlog is logged at most once a second")
{
  ManualClock clock;
  Backlog backlog({ .m_clock = clock });
  CHECK_FALSE(backlog.IsLogDue());
  const Backlog::Entry entry(backlog, kAnna, Tokens(1));
  CHECK(backlog.IsLogDue());
  clock.Advance(milliseconds(500));
  CHECK_FALSE(backlog.IsLogDue());
  clock.Advance(milliseconds(500));
  CHECK(backlog.IsLogDue());
}

} // namespace
} // namespace rattanweir
