// Compares ways to split a client account's rate over a fleet.
//
// The simulation has eight instances in three regions, one big account and four
// small ones, and loses 1% of the messages. Prints one table row per case and
// model over several seeds: the share of requests within the rate that were
// refused, the same for the worst-served account (mean over the seeds), the
// largest over-admission of any interval, the messages, and the bytes of their
// JSON content.
//
//   rate_leases [SEEDS]

#include "testing/rate_fleet/rate_fleet.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

constexpr double kRate = 2'000;
constexpr std::int64_t kBurst = 20'000;
constexpr std::size_t kInstances = 8;
constexpr nanoseconds kLoadFrom = 20s;
constexpr nanoseconds kEnd = 140s;
const ClientAccountId kBig("big");

struct Case
{
  std::string m_name;
  void (*m_prepare)(RateFleet&);
  // Maximum number of processes that run at the same time.
  std::uint32_t m_maxInstances = kInstances;
};

void
AddEvenLoad(RateFleet& aFleet, const ClientAccountId& aAccount, double aRate)
{
  for (std::size_t instance = 0; instance < kInstances; ++instance) {
    aFleet.AddLoad({ .m_account = aAccount,
                     .m_instance = instance,
                     .m_tokensPerSecond = aRate / kInstances,
                     .m_from = kLoadFrom });
  }
}

// Each small account sends half its rate, split over two instances.
void
AddSmallAccountLoads(RateFleet& aFleet)
{
  for (std::size_t number = 0; number < 4; ++number) {
    for (std::size_t part = 0; part < 2; ++part) {
      aFleet.AddLoad(
        { .m_account = ClientAccountId("small-" + std::to_string(number)),
          .m_instance = (2 * number + 3 * part) % kInstances,
          .m_tokensPerSecond = kRate / 8,
          .m_from = kLoadFrom });
    }
  }
}

void
AddLoadAtOneInstance(RateFleet& aFleet)
{
  AddSmallAccountLoads(aFleet);
  aFleet.AddLoad({ .m_account = kBig,
                   .m_instance = 0,
                   .m_tokensPerSecond = 0.95 * kRate,
                   .m_from = kLoadFrom });
}

void
AddEvenBigLoad(RateFleet& aFleet)
{
  AddSmallAccountLoads(aFleet);
  AddEvenLoad(aFleet, kBig, 0.95 * kRate);
}

// All demand of the big account is in one region and moves to the next region
// every 20 s.
void
AddLoadOfMovingRegion(RateFleet& aFleet)
{
  AddSmallAccountLoads(aFleet);
  for (int phase = 0; phase < 6; ++phase) {
    const nanoseconds from = kLoadFrom + phase * 20s;
    for (std::size_t instance = phase % 3; instance < kInstances;
         instance += 3) {
      const double members = phase % 3 == 2 ? 2 : 3;
      aFleet.AddLoad({ .m_account = kBig,
                       .m_instance = instance,
                       .m_tokensPerSecond = 0.8 * kRate / members,
                       .m_from = from,
                       .m_until = from + 20s });
    }
  }
}

void
AddThreefoldLoad(RateFleet& aFleet)
{
  AddSmallAccountLoads(aFleet);
  AddEvenLoad(aFleet, kBig, 3 * kRate);
}

void
AddEightfoldLoad(RateFleet& aFleet)
{
  AddSmallAccountLoads(aFleet);
  AddEvenLoad(aFleet, kBig, 8 * kRate);
}

void
AddThreefoldLoadAtOneInstance(RateFleet& aFleet)
{
  AddSmallAccountLoads(aFleet);
  aFleet.AddLoad({ .m_account = kBig,
                   .m_instance = 0,
                   .m_tokensPerSecond = 3 * kRate,
                   .m_from = kLoadFrom });
}

void
RestartEachInstance(RateFleet& aFleet)
{
  AddSmallAccountLoads(aFleet);
  AddEvenLoad(aFleet, kBig, 0.8 * kRate);
  for (std::size_t instance = 0; instance < kInstances; ++instance) {
    aFleet.At(30s + 12s * instance,
              [&aFleet, instance] { aFleet.Restart(instance); });
  }
}

// One region is partitioned from the others for 60 s, then all three regions
// are partitioned from each other for 30 s.
void
PartitionRegions(RateFleet& aFleet)
{
  AddEvenBigLoad(aFleet);
  aFleet.At(30s, [&aFleet] { aFleet.Partition({ 0, 1, 1, 0, 1, 1, 0, 1 }); });
  aFleet.At(90s, [&aFleet] { aFleet.Partition({ 0, 1, 2, 0, 1, 2, 0, 1 }); });
  aFleet.At(120s, [&aFleet] { aFleet.Heal(); });
}

void
PartitionWithLoadAtOneInstance(RateFleet& aFleet)
{
  AddLoadAtOneInstance(aFleet);
  aFleet.At(30s, [&aFleet] { aFleet.Partition({ 0, 1, 1, 0, 1, 1, 0, 1 }); });
  aFleet.At(90s, [&aFleet] { aFleet.Heal(); });
}

// One instance is frozen for 10 s at a time, longer than any lease term; its
// callers wait.
void
FreezeIdleLender(RateFleet& aFleet)
{
  AddLoadAtOneInstance(aFleet);
  for (int round = 0; round < 5; ++round) {
    aFleet.At(30s + 20s * round, [&aFleet] { aFleet.Freeze(3); });
    aFleet.At(40s + 20s * round, [&aFleet] { aFleet.Wake(3); });
  }
}

// Three times, an instance is frozen, is replaced, and resumes 10 s later with
// the backlog of its own callers. From then on the instance and its replacement
// run at the same time.
void
ReplaceFrozenInstances(RateFleet& aFleet)
{
  AddSmallAccountLoads(aFleet);
  AddEvenLoad(aFleet, kBig, 0.8 * kRate);
  for (std::size_t instance = 0; instance < 3; ++instance) {
    const nanoseconds at = 30s + 30s * instance;
    aFleet.At(at, [&aFleet, instance] {
      aFleet.Freeze(instance);
      aFleet.ReplaceInstance(instance);
    });
    aFleet.At(at + 10s, [&aFleet, instance] { aFleet.Wake(instance); });
  }
}

// In each wave, the big account sends requests that need more than one
// instance's share of the burst. After these requests stop, all instances
// receive a burst of small requests.
void
AddLargeRequestsThenBursts(RateFleet& aFleet)
{
  AddSmallAccountLoads(aFleet);
  for (int wave = 0; wave < 8; ++wave) {
    const nanoseconds from = kLoadFrom + wave * 15s;
    aFleet.AddLoad({ .m_account = kBig,
                     .m_instance = 0,
                     .m_tokensPerSecond = 20'000,
                     .m_minTokens = 15'000,
                     .m_maxTokens = 20'000,
                     .m_from = from,
                     .m_until = from + 3s });
    for (std::size_t instance = 0; instance < kInstances; ++instance) {
      aFleet.AddLoad({ .m_account = kBig,
                       .m_instance = instance,
                       .m_tokensPerSecond = 4'000,
                       .m_from = from + 11s,
                       .m_until = from + 13s });
    }
  }
}

const std::vector<Case> kCases{
  { "all at one, 95%", AddLoadAtOneInstance },
  { "even, 95%", AddEvenBigLoad },
  { "moving region, 80%", AddLoadOfMovingRegion },
  { "even, 3x", AddThreefoldLoad },
  { "even, 8x", AddEightfoldLoad },
  { "all at one, 3x", AddThreefoldLoadAtOneInstance },
  { "restart each, 80%", RestartEachInstance },
  { "cut 3/5 then 3/3/2, even", PartitionRegions },
  { "cut 3/5, all at one", PartitionWithLoadAtOneInstance },
  { "idle lender sleeps", FreezeIdleLender },
  { "replaced, old ones wake", ReplaceFrozenInstances, 11 },
  { "large, then bursts", AddLargeRequestsThenBursts },
};

struct Model
{
  std::string m_name;
  RateModel m_model;
};

const std::vector<Model> kModels{
  { "static 1/N", RateModel::StaticSplit },
  { "bare tokens", RateModel::TokenLeases },
  { "shares leased", RateModel::ShareLeases },
};

ClientAccountsSection
MakeSection(std::uint32_t aMaxInstances)
{
  ClientAccountsSection section{ .m_maximumInstances = aMaxInstances };
  section.m_clientAccounts.push_back(
    { .m_id = kBig, .m_rate = TokenRate(kRate), .m_burst = Tokens(kBurst) });
  for (int number = 0; number < 4; ++number) {
    section.m_clientAccounts.push_back(
      { .m_id = ClientAccountId("small-" + std::to_string(number)),
        .m_rate = TokenRate(kRate / 2),
        .m_burst = Tokens(kBurst / 2) });
  }
  return section;
}

struct Result
{
  double m_refused = 0;
  double m_refusedOfWorstServed = 0;
  double m_overAdmission = 0;
  double m_messages = 0;
  double m_bytes = 0;
  double m_requests = 0;
};

Result
RunCase(const Case& aCase, RateModel aModel, std::uint64_t aSeed)
{
  RateFleet fleet({ .m_seed = aSeed,
                    .m_model = aModel,
                    .m_section = MakeSection(aCase.m_maxInstances),
                    .m_lossProbability = 0.01 });
  aCase.m_prepare(fleet);
  fleet.Run(kEnd);
  Result result{ .m_refused =
                   fleet.Accounts().at(kBig).WronglyRefusedFraction(),
                 .m_overAdmission = fleet.OverAdmission(),
                 .m_messages = static_cast<double>(fleet.MessageCount()),
                 .m_bytes = static_cast<double>(fleet.MessageBytes()) };
  for (const auto& [id, account] : fleet.Accounts()) {
    result.m_refusedOfWorstServed =
      std::max(result.m_refusedOfWorstServed, account.WronglyRefusedFraction());
    result.m_requests += static_cast<double>(account.m_offered);
  }
  return result;
}

void
PrintRow(const Case& aCase, const Model& aModel, std::uint64_t aSeeds)
{
  Result sum;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    const Result result = RunCase(aCase, aModel.m_model, seed);
    sum.m_refused += result.m_refused;
    sum.m_refusedOfWorstServed += result.m_refusedOfWorstServed;
    sum.m_overAdmission = std::max(sum.m_overAdmission, result.m_overAdmission);
    sum.m_messages += result.m_messages;
    sum.m_bytes += result.m_bytes;
    sum.m_requests += result.m_requests;
  }
  const auto seeds = static_cast<double>(aSeeds);
  const double nodeSeconds =
    seeds * kInstances *
    std::chrono::duration<double>(kEnd - kLoadFrom).count();
  std::printf("| %-24s | %-13s | %6.2f | %6.2f | %6.0f | %6.2f | %6.0f | %5.2f "
              "|\n",
              aCase.m_name.c_str(),
              aModel.m_name.c_str(),
              100 * sum.m_refused / seeds,
              100 * sum.m_refusedOfWorstServed / seeds,
              sum.m_overAdmission,
              sum.m_messages / nodeSeconds,
              sum.m_bytes / nodeSeconds,
              sum.m_messages / sum.m_requests);
}

} // namespace
} // namespace rattanweir

int
main(int aCount, char** aArguments)
{
  using namespace rattanweir;
  const std::uint64_t seeds = aCount > 1 ? std::stoull(aArguments[1]) : 8;
  std::printf("seeds 1 to %llu; refused and worst-served in %% of what one "
              "central bucket would admit\n\n",
              static_cast<unsigned long long>(seeds));
  std::printf(
    "| load or fault | model | refused %% | worst-served %% | over-admission, "
    "tokens | messages/node/s | bytes/node/s | messages/request |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const Case& testCase : kCases) {
    for (const Model& model : kModels) {
      PrintRow(testCase, model, seeds);
    }
  }
  return 0;
}
