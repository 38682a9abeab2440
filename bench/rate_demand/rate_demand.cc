// Measures the rate limits of the running product: real instances on loopback
// with one stand-in engine and a delayed network between the instances.
//
//   rate_demand --instances 8 --seconds 30 --delay_ms 55
//
// Prints one row per load:
//
//   refused_%  share of the tokens that one central bucket with the same
//              maximum wait would have admitted and the fleet did not
//   over       largest excess of the admitted tokens over rate * t + burst in
//              any interval, over all loads so far
//   wait95_ms  95th percentile of the latency, minus that of an account whose
//              limit does not bind, at the same time
//   messages   lease requests and returns per request

#include "bench/rate_demand/central_bucket.h"
#include "bench/rate_demand/demand_run.h"
#include "testing/harness/caller.h"
#include "testing/rate_fleet/admission_history.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <sstream>
#include <thread>

DEFINE_int32(instances, 8, "number of instances, each in its own region");
DEFINE_double(rate, 2000, "rate of the account in tokens per second");
DEFINE_int32(burst, 20000, "burst of the account in tokens");
DEFINE_int32(seconds, 30, "length of each load in seconds");
DEFINE_int32(delay_ms, 55, "one-way delay between instances in milliseconds");
DEFINE_uint64(seed, 1, "seed of the random schedules");

namespace rattanweir::bench {
namespace {

constexpr const char* kAccount = "small";
// The rate of this account is far above the demand of the loads.
constexpr const char* kUnlimitedAccount = "parents";
constexpr double kMaxWaitSeconds = 0.5;
constexpr double kPercent = 100;
constexpr double kMillisecondsPerSecond = 1'000;
constexpr double kUnlimitedTokensPerSecond = 1'000;
constexpr double kPercentile = 0.95;
// Each measured load follows an unmeasured one of this length, which fills the
// buckets and the demand averages.
constexpr double kWarmUpSeconds = 8;

// Metrics that count messages to peers.
constexpr const char* kMessageCounters[] = {
  "rattanweir_shares_borrowed_total",
  "rattanweir_share_requests_refused_total",
  "rattanweir_shares_returned_total",
  "rattanweir_share_return_failures_total",
};

testing::FleetOptions
OptionsOfFleet()
{
  testing::FleetOptions options{ .m_regions = {},
                                 .m_serverRegions = { "region0" },
                                 .m_tokenInterval = "20us",
                                 .m_smallRights = {
                                   .m_tokensPerSecond = FLAGS_rate,
                                   .m_burstTokens = double(FLAGS_burst) } };
  for (int number = 0; number < FLAGS_instances; ++number) {
    options.m_regions.push_back("region" + std::to_string(number));
  }
  return options;
}

double
MessageCount(testing::Fleet& aFleet)
{
  double sum = 0;
  for (const std::string& instance : aFleet.Instances()) {
    std::istringstream page(aFleet.Admin(instance, "/metrics").m_body);
    for (std::string line; std::getline(page, line);) {
      for (const std::string name : kMessageCounters) {
        if (line.starts_with(name + " ")) {
          sum += std::stod(line.substr(name.size()));
        }
      }
    }
  }
  return sum;
}

double
LatencyMilliseconds(const std::vector<Result>& aResults)
{
  std::vector<double> served;
  for (const Result& result : aResults) {
    if (result.m_isServed) {
      served.push_back(result.m_endedAt - result.m_sentAt);
    }
  }
  if (served.empty()) {
    return 0;
  }
  std::sort(served.begin(), served.end());
  const auto index = static_cast<std::size_t>(
    kPercentile * static_cast<double>(served.size() - 1));
  return kMillisecondsPerSecond * served[index];
}

class Measurement
{
public:
  Measurement()
    : m_fleet(OptionsOfFleet())
    , m_central({ .m_rate = FLAGS_rate,
                  .m_burst = double(FLAGS_burst),
                  .m_maxWaitSeconds = kMaxWaitSeconds })
    , m_random(FLAGS_seed)
    , m_instances(m_fleet.Instances())
  {
    testing::WaitUntilAllServe(m_fleet);
    for (const std::string& instance : m_instances) {
      m_fleet.Link(instance).SetDelay(
        std::chrono::milliseconds(FLAGS_delay_ms));
    }
    m_admitted.SetLimits(0, FLAGS_rate, FLAGS_burst);
  }

  // Sends `aLoad` times the account's rate to these instances and prints a row.
  void Run(const char* aName,
           double aLoad,
           const std::vector<std::string>& aInstances)
  {
    SendSchedules(aLoad, kWarmUpSeconds, aInstances);
    const double messagesBefore = MessageCount(m_fleet);
    const ScheduleResults scheduleResults =
      SendSchedules(aLoad, FLAGS_seconds, aInstances);
    const double messages = MessageCount(m_fleet) - messagesBefore;
    const double wait = LatencyMilliseconds(scheduleResults.m_limited) -
                        LatencyMilliseconds(scheduleResults.m_unlimited);
    std::map<std::string, int> refusals;
    for (const Result& result : scheduleResults.m_limited) {
      if (!result.m_isServed) {
        ++refusals[result.m_result];
      }
    }
    std::printf(
      "%-16s %9zu %9.2f %9.0f %9.1f %9.2f ",
      aName,
      scheduleResults.m_limited.size(),
      kPercent *
        std::max(0.0,
                 1 - scheduleResults.m_admitted / scheduleResults.m_central),
      m_admitted.OverAdmission(),
      wait,
      messages / static_cast<double>(scheduleResults.m_limited.size()));
    for (const auto& [code, count] : refusals) {
      std::printf(" %s:%d", code.empty() ? "broken" : code.c_str(), count);
    }
    std::printf("\n");
    std::fflush(stdout);
  }

  const std::vector<std::string>& Instances() const { return m_instances; }

private:
  struct ScheduleResults
  {
    std::vector<Result> m_limited;
    std::vector<Result> m_unlimited;
    // Tokens of the limited account that the fleet and the central bucket
    // admitted.
    double m_admitted = 0;
    double m_central = 0;
  };

  ScheduleResults SendSchedules(double aLoad,
                                double aSeconds,
                                const std::vector<std::string>& aInstances)
  {
    const auto limitedSchedule =
      MakeSchedule({ .m_tokensPerSecond = aLoad * FLAGS_rate,
                     .m_seconds = aSeconds,
                     .m_instances = aInstances },
                   m_random);
    const auto unlimitedSchedule =
      MakeSchedule({ .m_tokensPerSecond = kUnlimitedTokensPerSecond,
                     .m_seconds = aSeconds,
                     .m_instances = aInstances },
                   m_random);
    const auto begin = std::chrono::steady_clock::now();
    const double offset =
      std::chrono::duration<double>(begin - m_start).count();
    ScheduleResults scheduleResults;
    {
      const std::jthread unlimitedSender([&] {
        scheduleResults.m_unlimited =
          Send(m_fleet, kUnlimitedAccount, unlimitedSchedule);
      });
      scheduleResults.m_limited = Send(m_fleet, kAccount, limitedSchedule);
    }
    CountAdmissions(scheduleResults, offset);
    return scheduleResults;
  }

  // Dates each admission at the end of its response, slightly after the actual
  // admission.
  void CountAdmissions(ScheduleResults& aScheduleResults, double aOffset)
  {
    std::vector<Result> served;
    for (const Result& result : aScheduleResults.m_limited) {
      aScheduleResults.m_central +=
        m_central.Offer(aOffset + result.m_sentAt, result.m_tokens);
      if (result.m_isServed) {
        served.push_back(result);
        aScheduleResults.m_admitted += result.m_tokens;
      }
    }
    std::sort(served.begin(), served.end(), [](auto& aLeft, auto& aRight) {
      return aLeft.m_endedAt < aRight.m_endedAt;
    });
    for (const Result& result : served) {
      m_admitted.Add(aOffset + result.m_endedAt, result.m_tokens);
    }
  }

  testing::Fleet m_fleet;
  CentralBucket m_central;
  RandomEngine m_random;
  std::vector<std::string> m_instances;
  AdmissionHistory m_admitted;
  std::chrono::steady_clock::time_point m_start =
    std::chrono::steady_clock::now();
};

} // namespace
} // namespace rattanweir::bench

int
main(int argc, char** argv)
{
  gflags::SetUsageMessage(
    "measures the rate limits of the running product, on loopback");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  rattanweir::bench::Measurement measurement;
  std::printf("%-16s %9s %9s %9s %9s %9s  %s\n",
              "load",
              "requests",
              "refused_%",
              "over",
              "wait95_ms",
              "messages",
              "refusals by result");
  const auto& all = measurement.Instances();
  measurement.Run("95%, at one", 0.95, { all.front() });
  measurement.Run("95%, even", 0.95, all);
  measurement.Run("3x, even", 3, all);
  return 0;
}
