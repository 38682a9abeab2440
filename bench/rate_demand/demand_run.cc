#include "bench/rate_demand/demand_run.h"

#include "testing/harness/caller.h"

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <thread>

namespace rattanweir::bench {
namespace {

using std::chrono::duration;
using std::chrono::steady_clock;

constexpr int kSenders = 96;

// Sends requests one at a time, over its own connection to each instance.
class Sender
{
public:
  Sender(testing::Fleet& aFleet, const std::string& aClientAccount)
    : m_fleet(aFleet)
    , m_clientAccount(aClientAccount)
  {
  }

  Result Send(const Arrival& aArrival, steady_clock::time_point aStart)
  {
    auto& caller = m_callers[aArrival.m_instance];
    if (!caller) {
      caller = std::make_unique<testing::Caller>(m_fleet, aArrival.m_instance);
    }
    std::this_thread::sleep_until(
      aStart + std::chrono::duration_cast<steady_clock::duration>(
                 duration<double>(aArrival.m_time)));
    const auto secondsSinceStart = [aStart] {
      return duration<double>(steady_clock::now() - aStart).count();
    };
    Result result{ .m_sentAt = secondsSinceStart(),
                   .m_tokens = aArrival.m_tokens };
    const testing::CallerRecord call = caller->Call(
      { .m_kind = testing::CallKind::Text,
        .m_clientAccount = m_clientAccount,
        .m_prompt = "",
        .m_maxTokens = static_cast<std::uint64_t>(aArrival.m_tokens) });
    result.m_endedAt = secondsSinceStart();
    result.m_isServed = call.m_status == 200 && call.m_isComplete;
    if (!result.m_isServed) {
      result.m_result = caller->LastResult();
    }
    return result;
  }

private:
  testing::Fleet& m_fleet;
  std::string m_clientAccount;
  std::map<std::string, std::unique_ptr<testing::Caller>> m_callers;
};

} // namespace

std::vector<Arrival>
MakeSchedule(const DemandOptions& aOptions, RandomEngine& aRandom)
{
  const double meanTokens = (aOptions.m_minTokens + aOptions.m_maxTokens) / 2.0;
  std::exponential_distribution<double> gap(aOptions.m_tokensPerSecond /
                                            meanTokens);
  std::uniform_int_distribution<int> tokens(aOptions.m_minTokens,
                                            aOptions.m_maxTokens);
  std::vector<Arrival> schedule;
  for (double time = gap(aRandom); time < aOptions.m_seconds;
       time += gap(aRandom)) {
    const std::size_t index = schedule.size() % aOptions.m_instances.size();
    schedule.push_back({ .m_time = time,
                         .m_instance = aOptions.m_instances[index],
                         .m_tokens = tokens(aRandom) });
  }
  return schedule;
}

std::vector<Result>
Send(testing::Fleet& aFleet,
     const std::string& aClientAccount,
     const std::vector<Arrival>& aSchedule)
{
  std::vector<Result> results(aSchedule.size());
  std::atomic<std::size_t> nextIndex = 0;
  const auto start = steady_clock::now();
  std::vector<std::jthread> senders;
  senders.reserve(kSenders);
  for (int number = 0; number < kSenders; ++number) {
    senders.emplace_back([&] {
      Sender sender(aFleet, aClientAccount);
      for (std::size_t index = nextIndex++; index < aSchedule.size();
           index = nextIndex++) {
        results[index] = sender.Send(aSchedule[index], start);
      }
    });
  }
  senders.clear();
  return results;
}

} // namespace rattanweir::bench
