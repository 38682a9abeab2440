// Measures the rates of the running product: real instances on loopback before
// one stand-in engine, with the network between the instances delayed.
//
//   rate_demand --instances 8 --seconds 30 --delay_ms 55
//
// One row a load. `refused_%` is the part of the tokens that one central
// bucket with the same longest wait would have admitted and the fleet did not;
// `over` the tokens of the worst interval above rate * t + burst, over all
// loads together; `wait95_ms` how much later the 95th percentile of the
// answers came than that of an account without a limit at the same time;
// `messages` the lease requests and returns for each request.

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

DEFINE_int32(instances, 8, "gateways, each in a region of its own");
DEFINE_double(rate, 2000, "tokens a second of the account");
DEFINE_int32(burst, 20000, "burst of the account in tokens");
DEFINE_int32(seconds, 30, "length of each load");
DEFINE_int32(delay_ms, 55, "one-way delay between instances");
DEFINE_uint64(seed, 1, "seed of the loads");

namespace rattanweir::bench {
namespace {

constexpr const char* kAccount = "small";
// Has far more than the loads ask for.
constexpr const char* kFreeAccount = "parents";
constexpr double kLongestWait = 0.5;
constexpr double kPercent = 100;
constexpr double kMillisecondsPerSecond = 1'000;
constexpr double kFreeTokensPerSecond = 1'000;
constexpr double kPercentile = 0.95;
// Loads that are not measured fill the buckets and the demand averages.
constexpr double kWarmUpSeconds = 8;

// The counters that stand for a message to a peer.
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
  const auto place = static_cast<std::size_t>(
    kPercentile * static_cast<double>(served.size() - 1));
  return kMillisecondsPerSecond * served[place];
}

class Measurement
{
public:
  Measurement()
    : m_fleet(OptionsOfFleet())
    , m_central({ .m_rate = FLAGS_rate,
                  .m_burst = double(FLAGS_burst),
                  .m_longestWait = kLongestWait })
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

  // The load `aLoad` times the rate at these instances.
  void Run(const char* aName,
           double aLoad,
           const std::vector<std::string>& aInstances)
  {
    SendBoth(aLoad, kWarmUpSeconds, aInstances);
    const double messagesBefore = MessageCount(m_fleet);
    const Both both = SendBoth(aLoad, FLAGS_seconds, aInstances);
    const double messages = MessageCount(m_fleet) - messagesBefore;
    const double wait =
      LatencyMilliseconds(both.m_limited) - LatencyMilliseconds(both.m_free);
    std::map<std::string, int> refusals;
    for (const Result& result : both.m_limited) {
      if (!result.m_isServed) {
        ++refusals[result.m_result];
      }
    }
    std::printf("%-16s %9zu %9.2f %9.0f %9.1f %9.2f ",
                aName,
                both.m_limited.size(),
                kPercent * std::max(0.0, 1 - both.m_admitted / both.m_central),
                m_admitted.OverAdmission(),
                wait,
                messages / static_cast<double>(both.m_limited.size()));
    for (const auto& [code, count] : refusals) {
      std::printf(" %s:%d", code.empty() ? "broken" : code.c_str(), count);
    }
    std::printf("\n");
    std::fflush(stdout);
  }

  const std::vector<std::string>& Instances() const { return m_instances; }

private:
  struct Both
  {
    std::vector<Result> m_limited;
    std::vector<Result> m_free;
    // Tokens of the limited account, by the fleet and by one central bucket.
    double m_admitted = 0;
    double m_central = 0;
  };

  Both SendBoth(double aLoad,
                double aSeconds,
                const std::vector<std::string>& aInstances)
  {
    const auto limited = MakeSchedule({ .m_tokensPerSecond = aLoad * FLAGS_rate,
                                        .m_seconds = aSeconds,
                                        .m_instances = aInstances },
                                      m_random);
    const auto free = MakeSchedule({ .m_tokensPerSecond = kFreeTokensPerSecond,
                                     .m_seconds = aSeconds,
                                     .m_instances = aInstances },
                                   m_random);
    const auto begin = std::chrono::steady_clock::now();
    const double offset =
      std::chrono::duration<double>(begin - m_begin).count();
    Both both;
    {
      const std::jthread other(
        [&] { both.m_free = Send(m_fleet, kFreeAccount, free); });
      both.m_limited = Send(m_fleet, kAccount, limited);
    }
    Count(both, offset);
    return both;
  }

  // An admission counts when its answer was there, a little late.
  void Count(Both& aBoth, double aOffset)
  {
    std::vector<Result> served;
    for (const Result& result : aBoth.m_limited) {
      aBoth.m_central +=
        m_central.Offer(aOffset + result.m_sentAt, result.m_tokens);
      if (result.m_isServed) {
        served.push_back(result);
        aBoth.m_admitted += result.m_tokens;
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
  std::chrono::steady_clock::time_point m_begin =
    std::chrono::steady_clock::now();
};

} // namespace
} // namespace rattanweir::bench

int
main(int argc, char** argv)
{
  gflags::SetUsageMessage("rates of the running product, on loopback");
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
