// Measures the cost of one configuration section in an instance by the number
// of rows: the time to parse the section and put it in force, the memory
// retained, the peak memory during loading, and the time of one look-up. Prints
// a table and, for each kind of section, the cost per row.

#include "bench/section_load/allocation_count.h"
#include "rattanweir/version/catalog/catalog.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

namespace rattanweir {
namespace {

constexpr std::size_t kRowCounts[] = { 10, 100, 1'000, 5'000, 10'000 };
constexpr int kRepeats = 5;
constexpr std::size_t kLookUps = 20'000;
constexpr double kMicrosecondsPerSecond = 1e6;

std::string
NumberedName(const char* aPrefix, std::size_t aIndex)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%s%05zu", aPrefix, aIndex);
  return text;
}

std::string
RowsText(const char* aField,
         std::size_t aCount,
         const std::function<std::string(std::size_t)>& aRow)
{
  std::string text = std::string(aField) + ":\n";
  for (std::size_t index = 0; index < aCount; ++index) {
    text += "- {" + aRow(index) + "}\n";
  }
  return text;
}

std::string
ClientAccountsText(std::size_t aCount)
{
  return "maximum_instances: 400\n" +
         RowsText("client_accounts", aCount, [](std::size_t aIndex) {
           return "id: " + NumberedName("account-", aIndex) +
                  ", rate_tokens_per_second: 2000, burst_tokens: 20000" +
                  (aIndex % 7 == 0 ? ", home_region: region-1" : "");
         });
}

// The digests match no key, so that each look-up measures an unknown key.
std::string
KeysText(std::size_t aCount)
{
  return RowsText("keys", aCount, [](std::size_t aIndex) {
    char digits[65];
    std::snprintf(
      digits, sizeof(digits), "%064zx", aIndex * 0x9e3779b97f4a7c15);
    std::string hash = digits;
    std::reverse(hash.begin(), hash.end());
    return "id: " + NumberedName("key-", aIndex) +
           ", client_account: " + NumberedName("account-", aIndex / 3) +
           ", sha256: " + hash;
  });
}

std::string
RoutesText(std::size_t aCount)
{
  return RowsText("routes", aCount, [](std::size_t aIndex) {
    return "id: " + NumberedName("route-", aIndex) + ", path: /v1/" +
           NumberedName("path-", aIndex / 35) +
           ", model: " + NumberedName("model-", aIndex % 35) +
           ", idempotent: true, residency: any, cost: {default_max_tokens: "
           "512}, deadline: 30s, pool: " +
           NumberedName("pool-", aIndex % 35);
  });
}

std::string
BackendServersText(std::size_t aCount)
{
  return RowsText("backend_servers", aCount, [](std::size_t aIndex) {
    return "id: " + NumberedName("server-", aIndex) +
           ", pool: " + NumberedName("pool-", aIndex % 35) +
           ", kind: model_engine, region: " +
           NumberedName("region-", aIndex % 11) +
           ", availability_zone: " + NumberedName("zone-", aIndex % 28) +
           ", address: 10." + std::to_string(aIndex / 250) + ".0." +
           std::to_string(aIndex % 250) +
           ":9000, echoes_attempt_id: true, resumes_streams: true";
  });
}

bool
LookUp(const Catalog& aCatalog, SectionKind aKind, std::size_t aIndex)
{
  switch (aKind) {
    case SectionKind::ClientAccounts:
      return aCatalog.FindClientAccount(
               ClientAccountId(NumberedName("account-", aIndex))) != nullptr;
    case SectionKind::Keys:
      return aCatalog.FindKey(NumberedName("presented-", aIndex)) == nullptr;
    case SectionKind::Routes:
      return aCatalog.FindRoute(
               "/v1/" + NumberedName("path-", aIndex / 35) + "/completions",
               ModelId(NumberedName("model-", aIndex % 35))) != nullptr;
    case SectionKind::BackendServers:
      return !aCatalog
                .BackendServersOf(
                  PoolId(NumberedName("pool-", aIndex % 35)),
                  RegionId(NumberedName("region-", aIndex % 11)))
                .empty();
  }
  return false;
}

struct Measurement
{
  std::size_t m_textBytes = 0;
  bool m_isAccepted = false;
  double m_offerSeconds = 0;
  double m_lookUpSeconds = 0;
  std::size_t m_retainedBytes = 0;
  std::size_t m_peakBytes = 0;
};

template<class Function>
double
SecondsOf(Function aFunction)
{
  const auto start = std::chrono::steady_clock::now();
  aFunction();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
    .count();
}

double
SecondsPerLookUp(const Catalog& aCatalog, SectionKind aKind, std::size_t aRows)
{
  std::size_t expectedResults = 0;
  const double seconds = SecondsOf([&] {
    for (std::size_t index = 0; index < kLookUps; ++index) {
      expectedResults += LookUp(aCatalog, aKind, index % aRows) ? 1 : 0;
    }
  });
  if (expectedResults != kLookUps) {
    std::printf("only %zu of %zu look-ups gave the expected result\n",
                expectedResults,
                kLookUps);
  }
  return seconds / static_cast<double>(kLookUps);
}

// Returns the shortest load time of several runs, each on a new catalog, and
// the other measurements of the last run.
Measurement
Measure(SectionKind aKind, const std::string& aText, std::size_t aRows)
{
  Measurement best{ .m_textBytes = aText.size() };
  const SectionOffer offer{ .m_kind = aKind,
                            .m_version = SectionVersion(1),
                            .m_text = { .m_file = "bench", .m_text = aText } };
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    Catalog catalog;
    const std::size_t before = BytesInUse();
    ResetPeak();
    const double seconds = SecondsOf([&] {
      best.m_isAccepted = catalog.Offer(offer) == OfferOutcome::Accepted;
    });
    if (!best.m_isAccepted) {
      return best;
    }
    best.m_retainedBytes = BytesInUse() - before;
    best.m_peakBytes = PeakBytes() - before;
    best.m_offerSeconds =
      repeat == 0 ? seconds : std::min(best.m_offerSeconds, seconds);
    best.m_lookUpSeconds = SecondsPerLookUp(catalog, aKind, aRows);
  }
  return best;
}

void
PrintRow(SectionKind aKind, std::size_t aRows, const Measurement& aMeasured)
{
  std::printf("%-16s %6zu %9zu ",
              SectionName(aKind).c_str(),
              aRows,
              aMeasured.m_textBytes);
  if (!aMeasured.m_isAccepted) {
    std::printf("refused\n");
    return;
  }
  std::printf("%9.2f %9zu %9zu %8.2f\n",
              aMeasured.m_offerSeconds * 1e3,
              aMeasured.m_retainedBytes / 1024,
              aMeasured.m_peakBytes / 1024,
              aMeasured.m_lookUpSeconds * kMicrosecondsPerSecond);
}

// Prints the cost per additional row between the smallest and the largest size.
void
PrintSlope(SectionKind aKind,
           std::size_t aRows,
           const Measurement& aSmall,
           const Measurement& aLarge)
{
  const auto perRow = [&](double aDifference) {
    return aDifference / static_cast<double>(aRows);
  };
  const auto bytes = [](std::size_t aLargeBytes, std::size_t aSmallBytes) {
    return static_cast<double>(aLargeBytes) - static_cast<double>(aSmallBytes);
  };
  std::printf(
    "%-16s a row: %6.1f us to put in force, %6.0f bytes kept, %6.0f at the "
    "peak, %4.0f of text\n",
    SectionName(aKind).c_str(),
    perRow(aLarge.m_offerSeconds - aSmall.m_offerSeconds) *
      kMicrosecondsPerSecond,
    perRow(bytes(aLarge.m_retainedBytes, aSmall.m_retainedBytes)),
    perRow(bytes(aLarge.m_peakBytes, aSmall.m_peakBytes)),
    perRow(bytes(aLarge.m_textBytes, aSmall.m_textBytes)));
}

std::string
TextOf(SectionKind aKind, std::size_t aRows)
{
  switch (aKind) {
    case SectionKind::ClientAccounts:
      return ClientAccountsText(aRows);
    case SectionKind::Keys:
      return KeysText(aRows);
    case SectionKind::Routes:
      return RoutesText(aRows);
    case SectionKind::BackendServers:
      return BackendServersText(aRows);
  }
  return "";
}

void
MeasureKind(SectionKind aKind)
{
  std::size_t firstRows = 0;
  std::size_t lastRows = 0;
  Measurement first;
  Measurement last;
  for (const std::size_t rows : kRowCounts) {
    const Measurement measured = Measure(aKind, TextOf(aKind, rows), rows);
    PrintRow(aKind, rows, measured);
    if (!measured.m_isAccepted) {
      continue;
    }
    if (firstRows == 0) {
      firstRows = rows;
      first = measured;
    }
    lastRows = rows;
    last = measured;
  }
  PrintSlope(aKind, lastRows - firstRows, first, last);
}

} // namespace
} // namespace rattanweir

int
main()
{
  std::printf("%-16s %6s %9s %9s %9s %9s %8s\n",
              "section",
              "rows",
              "bytes",
              "ms",
              "kept KiB",
              "peak KiB",
              "us/find");
  for (const rattanweir::SectionKind kind : rattanweir::kAllSectionKinds) {
    rattanweir::MeasureKind(kind);
  }
  return 0;
}
