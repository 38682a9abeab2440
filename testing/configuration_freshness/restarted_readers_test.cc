#include "rattanweir/base/asio/asio.h"

#include "testing/configuration_freshness/configuration_fleet.h"
#include "testing/raw_peer/raw_peer.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>

namespace rattanweir::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The users' bound on requests to a server that was removed.
constexpr seconds kDrainTime{ 3 };
constexpr std::size_t kInstances = 6;
// The instances that read the store; the others depend on them.
constexpr std::size_t kReaders = 2;

struct Removal
{
  const char* m_name;
  // Written before and removed after the fleet has read it.
  const char* m_topic;
  const char* m_key;
  // Written after the item that is removed, so that it has the highest
  // revision.
  bool m_hasLaterItem;
  // Pause between the restarts of the readers.
  milliseconds m_gap;
};

bool
HasItem(const ConfigurationInstance& aInstance, const Removal& aRemoval)
{
  const TopicSnapshot* topic =
    aInstance.m_published.Find(TopicId(aRemoval.m_topic));
  return topic != nullptr && topic->m_items.contains(aRemoval.m_key);
}

std::ptrdiff_t
CountHolders(const ConfigurationFleet& aFleet, const Removal& aRemoval)
{
  return std::ranges::count_if(aFleet.m_instances, [&](const auto& aInstance) {
    return HasItem(*aInstance, aRemoval);
  });
}

Task<bool>
WaitForHolders(ConfigurationFleet& aFleet,
               const Removal& aRemoval,
               std::ptrdiff_t aCount)
{
  const SteadyTime end = SystemClock().SteadyNow() + kDrainTime;
  while (CountHolders(aFleet, aRemoval) != aCount &&
         SystemClock().SteadyNow() < end) {
    co_await aFleet.Sleep(milliseconds(20));
  }
  co_return CountHolders(aFleet, aRemoval) == aCount;
}

// Publishes the item, calls `aRemove`, which removes it, and checks that no
// instance has it after the drain time.
void
RunRemoval(const Removal& aRemoval,
           const std::function<Task<void>(ConfigurationFleet&)>& aRemove)
{
  INFO(aRemoval.m_name);
  asio::io_context context;
  ConfigurationFleet fleet(
    context,
    { .m_instances = kInstances, .m_withoutStore = kInstances - kReaders });
  RunTask(context, [&]() -> Task<void> {
    fleet.PublishConfig(10);
    fleet.PublishServer("s1", "ready");
    fleet.m_store.Put(aRemoval.m_key, "{}");
    if (aRemoval.m_hasLaterItem) {
      fleet.PublishServer("s2", "ready");
      fleet.m_store.Put("op/later", "{}");
    }
    CHECK(co_await WaitForHolders(fleet, aRemoval, kInstances));
    co_await aRemove(fleet);
    CHECK(co_await WaitForHolders(fleet, aRemoval, 0));
    // A copy must not come back.
    co_await fleet.Sleep(seconds(1));
    CHECK(CountHolders(fleet, aRemoval) == 0);
    fleet.Stop();
    co_await fleet.Sleep(milliseconds(300));
  });
}

constexpr Removal kRemovals[] = {
  { "a server with the latest change", "servers/", "servers/gone", false, {} },
  { "a server before later changes", "servers/", "servers/gone", true, {} },
  { "an evacuation is taken back", "op/", "op/evacuate/r-a", false, {} },
  { "an evacuation before later changes", "op/", "op/evacuate/r-a", true, {} },
  { "readers restart apart",
    "servers/",
    "servers/gone",
    true,
    milliseconds(700) },
};

// Guards against a removal that was lost as the readers of the store restart.
TEST_CASE("a removal while all readers of the store restart reaches every "
          "instance")
{
  for (const Removal& removal : kRemovals) {
    RunRemoval(removal, [&](ConfigurationFleet& aFleet) -> Task<void> {
      for (std::size_t reader = 0; reader < kReaders; ++reader) {
        aFleet.Kill(reader);
      }
      aFleet.m_store.Remove(removal.m_key);
      for (std::size_t reader = 0; reader < kReaders; ++reader) {
        aFleet.Start(reader);
        co_await aFleet.Sleep(removal.m_gap);
      }
    });
  }
}

// Guards against a removal that was lost with the history of the store.
TEST_CASE("a removal whose history the store has dropped reaches every "
          "instance")
{
  for (const Removal& removal : kRemovals) {
    RunRemoval(removal, [&](ConfigurationFleet& aFleet) -> Task<void> {
      aFleet.m_store.m_isDown = true;
      aFleet.m_store.SilenceOpenCalls();
      aFleet.m_store.Remove(removal.m_key);
      aFleet.m_store.DropHistory();
      aFleet.m_store.m_isDown = false;
      co_return;
    });
  }
}

} // namespace
} // namespace rattanweir::testing
