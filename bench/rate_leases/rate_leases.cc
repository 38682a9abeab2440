// Compares ways to split a client account's rate over a fleet.
//
// Eight instances in three regions, one big account and four small ones, 1% of
// the messages lost. One table row a case and model, over several seeds: how
// many requests within the rate were refused, the same for the worst-served
// account (its mean), the worst over-admission of any interval, messages, and
// the bytes of their content as JSON.
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
  // The most processes that run at once.
  std::uint32_t m_places = kInstances;
};

void
Even(RateFleet& aFleet, const ClientAccountId& aAccount, double aRate)
{
  for (std::size_t instance = 0; instance < kInstances; ++instance) {
    aFleet.AddLoad({ .m_account = aAccount,
                     .m_instance = instance,
                     .m_tokensPerSecond = aRate / kInstances,
                     .m_from = kLoadFrom });
  }
}

// The small accounts send half their rate, each at two instances.
void
SmallAccounts(RateFleet& aFleet)
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
AtOne(RateFleet& aFleet)
{
  SmallAccounts(aFleet);
  aFleet.AddLoad({ .m_account = kBig,
                   .m_instance = 0,
                   .m_tokensPerSecond = 0.95 * kRate,
                   .m_from = kLoadFrom });
}

void
EvenLoad(RateFleet& aFleet)
{
  SmallAccounts(aFleet);
  Even(aFleet, kBig, 0.95 * kRate);
}

// All demand is in one region, and in the next one after 20 s.
void
Moving(RateFleet& aFleet)
{
  SmallAccounts(aFleet);
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
Threefold(RateFleet& aFleet)
{
  SmallAccounts(aFleet);
  Even(aFleet, kBig, 3 * kRate);
}

void
Eightfold(RateFleet& aFleet)
{
  SmallAccounts(aFleet);
  Even(aFleet, kBig, 8 * kRate);
}

void
ThreefoldAtOne(RateFleet& aFleet)
{
  SmallAccounts(aFleet);
  aFleet.AddLoad({ .m_account = kBig,
                   .m_instance = 0,
                   .m_tokensPerSecond = 3 * kRate,
                   .m_from = kLoadFrom });
}

void
Restarts(RateFleet& aFleet)
{
  SmallAccounts(aFleet);
  Even(aFleet, kBig, 0.8 * kRate);
  for (std::size_t instance = 0; instance < kInstances; ++instance) {
    aFleet.At(30s + 12s * instance,
              [&aFleet, instance] { aFleet.Restart(instance); });
  }
}

// One region is cut off for 60 s, then each is for itself for 30 s.
void
Cut(RateFleet& aFleet)
{
  EvenLoad(aFleet);
  aFleet.At(30s, [&aFleet] { aFleet.Partition({ 0, 1, 1, 0, 1, 1, 0, 1 }); });
  aFleet.At(90s, [&aFleet] { aFleet.Partition({ 0, 1, 2, 0, 1, 2, 0, 1 }); });
  aFleet.At(120s, [&aFleet] { aFleet.Heal(); });
}

void
CutSkewed(RateFleet& aFleet)
{
  AtOne(aFleet);
  aFleet.At(30s, [&aFleet] { aFleet.Partition({ 0, 1, 1, 0, 1, 1, 0, 1 }); });
  aFleet.At(90s, [&aFleet] { aFleet.Heal(); });
}

// One instance sleeps 10 s at a time, past every term; its callers wait.
void
Sleeper(RateFleet& aFleet)
{
  AtOne(aFleet);
  for (int round = 0; round < 5; ++round) {
    aFleet.At(30s + 20s * round, [&aFleet] { aFleet.Freeze(3); });
    aFleet.At(40s + 20s * round, [&aFleet] { aFleet.Wake(3); });
  }
}

// Three times, an instance sleeps, is replaced, and wakes 10 s later with its
// own callers' backlog; from then on it runs beside its replacement.
void
Replaced(RateFleet& aFleet)
{
  SmallAccounts(aFleet);
  Even(aFleet, kBig, 0.8 * kRate);
  for (std::size_t instance = 0; instance < 3; ++instance) {
    const nanoseconds at = 30s + 30s * instance;
    aFleet.At(at, [&aFleet, instance] {
      aFleet.Freeze(instance);
      aFleet.ReplaceInstance(instance);
    });
    aFleet.At(at + 10s, [&aFleet, instance] { aFleet.Wake(instance); });
  }
}

// Requests of the big account that need more than one instance's burst, which
// then stop, while all instances have a burst of small ones.
void
Gathered(RateFleet& aFleet)
{
  SmallAccounts(aFleet);
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
  { "all at one, 95%", AtOne },
  { "even, 95%", EvenLoad },
  { "moving region, 80%", Moving },
  { "even, 3x", Threefold },
  { "even, 8x", Eightfold },
  { "all at one, 3x", ThreefoldAtOne },
  { "restart each, 80%", Restarts },
  { "cut 3/5 then 3/3/2, even", Cut },
  { "cut 3/5, all at one", CutSkewed },
  { "idle lender sleeps", Sleeper },
  { "replaced, old ones wake", Replaced, 11 },
  { "large, then bursts", Gathered },
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
Section(std::uint32_t aPlaces)
{
  ClientAccountsSection section{ .m_maximumInstances = aPlaces };
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
  double m_worst = 0;
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
                    .m_section = Section(aCase.m_places),
                    .m_lossProbability = 0.01 });
  aCase.m_prepare(fleet);
  fleet.Run(kEnd);
  Result result{ .m_refused =
                   fleet.Accounts().at(kBig).WronglyRefusedFraction(),
                 .m_overAdmission = fleet.OverAdmission(),
                 .m_messages = static_cast<double>(fleet.MessageCount()),
                 .m_bytes = static_cast<double>(fleet.MessageBytes()) };
  for (const auto& [id, account] : fleet.Accounts()) {
    result.m_worst = std::max(result.m_worst, account.WronglyRefusedFraction());
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
    sum.m_worst += result.m_worst;
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
              100 * sum.m_worst / seeds,
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
  for (const Case& each : kCases) {
    for (const Model& model : kModels) {
      PrintRow(each, model, seeds);
    }
  }
  return 0;
}
