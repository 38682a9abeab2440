// Measures how memory and processor time of one process's ledgers grow with
// the number of entries, and what the control messages cost.
//
// The product's ledgers are filled with 10 to 100,000 accounts, leases or
// keys. Memory is the number of bytes that the allocator has handed out; time
// is the processor time of one call, the median of several rounds. A line is
// fitted through the points of each row.

#include "bench/control_slopes/measure.h"
#include "bench/control_slopes/message_costs.h"
#include "bench/control_slopes/slope_table.h"
#include "bench/control_slopes/view_costs.h"
#include "rattanweir/base/clock/manual_clock.h"
#include "rattanweir/base/random/random.h"
#include "rattanweir/process/idempotency/idempotency_ledger.h"
#include "rattanweir/process/rate/rate_ledger.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;

const std::vector<std::size_t> kCounts{ 10, 100, 1'000, 10'000, 100'000 };
constexpr std::size_t kCalls = 20'000;
constexpr std::uint32_t kInstances = 400;
const std::vector<InstanceId> kPeers{ InstanceId("ostland-0002"),
                                      InstanceId("ostland-0003") };

ClientAccountId
AccountId(std::size_t aNumber)
{
  return ClientAccountId("client-account-" + std::to_string(aNumber));
}

ClientAccountsSection
MakeSection(std::size_t aAccounts)
{
  ClientAccountsSection section{ .m_maximumInstances = kInstances };
  for (std::size_t number = 0; number < aAccounts; ++number) {
    section.m_clientAccounts.push_back({ .m_id = AccountId(number),
                                         .m_rate = TokenRate(4e6),
                                         .m_burst = Tokens(40'000'000) });
  }
  return section;
}

struct RateFixture
{
  explicit RateFixture(std::size_t aAccounts)
    : m_section(MakeSection(aAccounts))
    , m_bytesBefore(BytesInUse())
    , m_ledger(std::make_unique<RateLedger>(
        RateLedgerOptions{ .m_clock = m_clock,
                           .m_self = InstanceId("ostland-0001"),
                           .m_incarnation = Incarnation(0x1234567890abcdef) }))
  {
    m_ledger->Configure(m_section);
    // 16 s: past the startup phase, so that the buckets are full.
    for (int step = 0; step < 32; ++step) {
      m_clock.Advance(500ms);
      m_ledger->Tick();
    }
  }

  double Bytes() const { return BytesInUse() - m_bytesBefore; }

  const ClientAccountId& Account(std::size_t aNumber) const
  {
    const auto& accounts = m_section.m_clientAccounts;
    return accounts[aNumber * 7 % accounts.size()].m_id;
  }

  LeaseRequest MakeLeaseRequest(std::size_t aBorrower,
                                std::size_t aNumber) const
  {
    return { .m_id = LeaseId("ostland-" + std::to_string(1'000 + aBorrower) +
                             "/1311768467294899695/" + std::to_string(aNumber)),
             .m_borrower =
               InstanceId("ostland-" + std::to_string(1'000 + aBorrower)),
             .m_clientAccount = Account(aNumber),
             .m_fraction = 0.02,
             .m_tokens = Tokens(1),
             .m_term = 5s };
  }

  // Prepares a lease request for the account and accepts a matching grant.
  void Borrow(std::size_t aAccount)
  {
    const auto request =
      m_ledger->PrepareLeaseRequest(Account(aAccount), Tokens(150'000), kPeers);
    m_ledger->Accept({ .m_id = request->m_id,
                       .m_clientAccount = request->m_clientAccount,
                       .m_fraction = 1,
                       .m_tokens = 1,
                       .m_term = 5s });
  }

  ManualClock m_clock;
  ClientAccountsSection m_section;
  double m_bytesBefore;
  std::unique_ptr<RateLedger> m_ledger;
};

double
AccountBytes(std::size_t aCount)
{
  return RateFixture(aCount).Bytes();
}

// Returns the memory of one lent lease per account.
double
LentBytes(std::size_t aCount)
{
  RateFixture fixture(aCount);
  const double before = BytesInUse();
  for (std::size_t number = 0; number < aCount; ++number) {
    fixture.m_ledger->Lend(fixture.MakeLeaseRequest(1, number));
  }
  return BytesInUse() - before;
}

// Returns the memory of one borrowed lease per account.
double
BorrowedBytes(std::size_t aCount)
{
  RateFixture fixture(aCount);
  const double before = BytesInUse();
  for (std::size_t number = 0; number < aCount; ++number) {
    fixture.Borrow(number);
  }
  return BytesInUse() - before;
}

double
ReserveTime(std::size_t aCount)
{
  RateFixture fixture(aCount);
  return CpuNanosecondsPerCall(kCalls, [&] {
    for (std::size_t number = 0; number < kCalls; ++number) {
      const auto result =
        fixture.m_ledger->Reserve(fixture.Account(number), Tokens(1));
      fixture.m_ledger->Settle(std::get<Reservation>(result), Tokens(1));
    }
  });
}

double
LendTime(std::size_t aCount)
{
  RateFixture fixture(aCount);
  const std::size_t calls = std::min<std::size_t>(aCount, 1'000);
  std::size_t borrower = 0;
  return CpuNanosecondsPerCall(calls, [&] {
    ++borrower;
    for (std::size_t number = 0; number < calls; ++number) {
      fixture.m_ledger->Lend(fixture.MakeLeaseRequest(borrower, number));
    }
  });
}

double
BorrowTime(std::size_t aCount)
{
  const std::size_t calls = std::min<std::size_t>(aCount, 1'000);
  std::vector<std::unique_ptr<RateFixture>> fixtures;
  fixtures.reserve(kMeasuredRounds);
  for (int round = 0; round < kMeasuredRounds; ++round) {
    fixtures.push_back(std::make_unique<RateFixture>(aCount));
  }
  std::size_t round = 0;
  return CpuNanosecondsPerCall(calls, [&] {
    RateFixture& fixture = *fixtures[round++];
    for (std::size_t number = 0; number < calls; ++number) {
      fixture.Borrow(number);
    }
  });
}

double
TickTime(std::size_t aCount, bool aIsLent)
{
  RateFixture fixture(aCount);
  for (std::size_t number = 0; aIsLent && number < aCount; ++number) {
    fixture.m_ledger->Lend(fixture.MakeLeaseRequest(1, number));
  }
  return CpuNanosecondsPerCall(1, [&] { fixture.m_ledger->Tick(); });
}

const KeyBinding kBinding{ .m_route = RouteId("lathe-reservations"),
                           .m_clientAccount =
                             ClientAccountId("client-account-17") };

struct KeyFixture
{
  explicit KeyFixture(std::size_t aCount)
    : m_ledger(
        { .m_clock = m_clock,
          .m_self = InstanceId("ostland-0001"),
          .m_incarnation = Incarnation(0x1234567890abcdef),
          .m_maximumKeys = aCount,
          .m_maximumKeysPerClientAccount = aCount,
          .m_maximumStoredBytes = ByteCount(1ULL << 32U),
          .m_maximumStoredBytesPerClientAccount = ByteCount(1ULL << 32U) })
  {
    m_keys.reserve(aCount);
  }

  void Issue(std::size_t aCount)
  {
    for (std::size_t number = 0; number < aCount; ++number) {
      m_keys.push_back(m_ledger.Issue(kBinding).m_key);
    }
  }

  ManualClock m_clock;
  IdempotencyLedger m_ledger;
  std::vector<IdempotencyKey> m_keys;
};

// Returns the memory of the ledger alone: the key texts that the fixture keeps
// are subtracted.
double
KeyBytes(std::size_t aCount, bool aHasResponse)
{
  KeyFixture fixture(aCount);
  const double before = BytesInUse();
  fixture.Issue(aCount);
  const double issuedBytes = BytesInUse() - before;
  const double beforeCopy = BytesInUse();
  const std::vector<IdempotencyKey> copy = fixture.m_keys;
  const double keyTextBytes =
    BytesInUse() - beforeCopy -
    static_cast<double>(aCount * sizeof(IdempotencyKey));
  const double beforeResponses = BytesInUse();
  for (const IdempotencyKey& key : copy) {
    if (!aHasResponse) {
      break;
    }
    fixture.m_ledger.Claim(key, { .m_binding = kBinding, .m_fingerprint = 1 });
    fixture.m_ledger.Complete(
      key,
      StoredResponse{ .m_status = 200,
                      .m_headers = { { "content-type", "application/json" } },
                      .m_body = std::string(512, 'x') });
  }
  return issuedBytes - keyTextBytes + BytesInUse() - beforeResponses;
}

double
ClaimTime(std::size_t aCount)
{
  KeyFixture fixture(aCount);
  fixture.Issue(aCount);
  return CpuNanosecondsPerCall(kCalls, [&] {
    for (std::size_t call = 0; call < kCalls; ++call) {
      const IdempotencyKey& key = fixture.m_keys[call * 7 % aCount];
      fixture.m_ledger.Claim(key,
                             { .m_binding = kBinding, .m_fingerprint = 1 });
      fixture.m_ledger.Release(key, {});
    }
  });
}

double
IssueTime(std::size_t aCount)
{
  KeyFixture fixture(aCount + std::size_t{ kMeasuredRounds } * 1'000);
  fixture.Issue(aCount);
  return CpuNanosecondsPerCall(1'000, [&] { fixture.Issue(1'000); });
}

void
PrintRow(const std::string& aTitle,
         const std::function<double(std::size_t)>& aMeasure)
{
  SlopeTable table(aTitle);
  for (const std::size_t count : kCounts) {
    table.Add(static_cast<double>(count), aMeasure(count));
  }
  table.Print();
}

void
PrintAll()
{
  // Makes the random source do its one-time allocations before any measurement.
  RandomHex(1);
  std::printf("| for a number of items |");
  for (const std::size_t count : kCounts) {
    std::printf(" %zu |", count);
  }
  std::printf(" slope, an item | at none | spread |\n| --- |");
  for (std::size_t column = 0; column < kCounts.size() + 3; ++column) {
    std::printf(" --- |");
  }
  std::printf("\n");
  PrintRow("client accounts, bytes", AccountBytes);
  PrintRow("leases lent, bytes", LentBytes);
  PrintRow("leases borrowed, bytes", BorrowedBytes);
  PrintRow("keys issued, bytes",
           [](std::size_t aCount) { return KeyBytes(aCount, false); });
  PrintRow("keys with a 512 B answer, bytes",
           [](std::size_t aCount) { return KeyBytes(aCount, true); });
  PrintRow("Reserve and Settle, accounts, ns", ReserveTime);
  PrintRow("Lend, accounts, ns", LendTime);
  PrintRow("Prepare and Accept, accounts, ns", BorrowTime);
  PrintRow("Tick, accounts without leases, ns",
           [](std::size_t aCount) { return TickTime(aCount, false); });
  PrintRow("Tick, accounts lent once, ns",
           [](std::size_t aCount) { return TickTime(aCount, true); });
  PrintRow("Issue, keys, ns", IssueTime);
  PrintRow("Claim and Release, keys, ns", ClaimTime);
}

} // namespace
} // namespace rattanweir

int
main()
{
  rattanweir::PrintAll();
  rattanweir::PrintMessageCosts();
  rattanweir::PrintViewCosts();
  return 0;
}
