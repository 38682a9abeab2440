#include "rattanweir/process/idempotency/idempotency_ledger.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

#include <stdexcept>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;

const KeyBinding kBinding{ .m_route = RouteId("bookings"),
                           .m_clientAccount = ClientAccountId("parents") };
constexpr std::uint64_t kFingerprint = 17;

struct Fixture
{
  ManualClock m_clock;
  IdempotencyLedger m_ledger{ { .m_clock = m_clock,
                                .m_self = InstanceId("ostland-1"),
                                .m_incarnation = Incarnation(7),
                                .m_timeToLive = 10min,
                                .m_maximumKeys = 4,
                                .m_maximumKeysPerClientAccount = 3,
                                .m_maximumWaiters = 2,
                                .m_maximumStoredBytes = ByteCount(700),
                                .m_maximumStoredBytesPerClientAccount =
                                  ByteCount(600),
                                .m_maximumResponseBytes = ByteCount(600) } };
  std::vector<std::string> m_waiterOutcomes;

  IdempotencyKey Issue() { return m_ledger.Issue(kBinding).m_key; }

  KeyUse Use(std::uint64_t aFingerprint = kFingerprint)
  {
    return { .m_binding = kBinding,
             .m_fingerprint = aFingerprint,
             .m_waiter = [this](const StoredOutcome& aOutcome) {
               const auto* response = std::get_if<StoredResponse>(&aOutcome);
               m_waiterOutcomes.push_back(
                 response != nullptr
                   ? response->m_body
                   : std::get<StoredFailure>(aOutcome).m_detail);
             } };
  }

  // Returns the result of a claim as a short text, for the table below.
  std::string Claim(const IdempotencyKey& aKey, const KeyUse& aUse)
  {
    const ClaimResult result = m_ledger.Claim(aKey, aUse);
    if (std::holds_alternative<ClaimGranted>(result)) {
      return "granted";
    }
    if (std::holds_alternative<ClaimInFlight>(result)) {
      return "in flight";
    }
    if (const auto* finished = std::get_if<ClaimCompleted>(&result)) {
      const auto* response = std::get_if<StoredResponse>(&finished->m_outcome);
      return response != nullptr
               ? "response " + response->m_body
               : "failure " +
                   std::string(RanText(
                     std::get<StoredFailure>(finished->m_outcome).m_ran));
    }
    const auto& refused = std::get<ClaimRefused>(result);
    return std::string(InfoOf(refused.m_code).m_name) + " " +
           std::string(RanText(refused.m_ran));
  }
  std::string Claim(const IdempotencyKey& aKey) { return Claim(aKey, Use()); }

  // Drives a key into one of the states of the table below.
  void DriveTo(const IdempotencyKey& aKey, const std::string& aState)
  {
    if (aState == "issued") {
      return;
    }
    REQUIRE(Claim(aKey) == "granted");
    if (aState == "completed") {
      m_ledger.Complete(aKey,
                        StoredResponse{ .m_status = 200, .m_body = "yes" });
    } else if (aState == "failed unsent") {
      m_ledger.Complete(aKey, StoredFailure{ .m_ran = Ran::No });
    } else if (aState == "failed") {
      m_ledger.Complete(aKey, StoredFailure{ .m_ran = Ran::Maybe });
    } else if (aState == "released") {
      m_ledger.Release(aKey, { .m_detail = "no backend server" });
    } else {
      REQUIRE(aState == "running");
    }
  }
};

struct Case
{
  std::string m_state;
  std::string m_repeat;
  std::string m_otherRequest;
  std::string m_expired;
};

// One row per state of a key: the results of a claim by the same request, by a
// request with another fingerprint, and by the same request after the expiry.
const std::vector<Case> kCases{
  { "issued", "granted", "granted", "idempotency_key_expired no" },
  { "running", "in flight", "idempotency_key_mismatch maybe", "in flight" },
  { "completed",
    "response yes",
    "idempotency_key_mismatch maybe",
    "idempotency_key_expired yes" },
  { "failed",
    "failure maybe",
    "idempotency_key_mismatch maybe",
    "idempotency_key_expired maybe" },
  { "failed unsent",
    "failure no",
    "idempotency_key_mismatch no",
    "idempotency_key_expired no" },
  { "released", "granted", "granted", "idempotency_key_expired no" },
};

TEST_CASE_METHOD(Fixture,
                 "the result of a claim depends on the state of its key")
{
  const Case& row = GENERATE(from_range(kCases));
  CAPTURE(row.m_state);
  const IdempotencyKey key = Issue();
  DriveTo(key, row.m_state);
  SECTION("the same request")
  {
    REQUIRE(Claim(key) == row.m_repeat);
  }
  SECTION("another request")
  {
    REQUIRE(Claim(key, Use(kFingerprint + 1)) == row.m_otherRequest);
  }
  SECTION("after the expiry")
  {
    m_clock.Advance(10min);
    REQUIRE(Claim(key) == row.m_expired);
  }
  SECTION("just before the expiry")
  {
    m_clock.Advance(10min - 1ns);
    REQUIRE(Claim(key) == row.m_repeat);
  }
  SECTION("after the ledger has removed the key")
  {
    m_clock.Advance(10min);
    m_ledger.Tick();
    REQUIRE(m_ledger.KeyCount() == (row.m_state == "running" ? 1 : 0));
    REQUIRE(Claim(key) == (row.m_state == "running"
                             ? "in flight"
                             : "idempotency_key_expired maybe"));
  }
}

TEST_CASE_METHOD(Fixture,
                 "a key that this incarnation did not issue is refused")
{
  const IdempotencyKey key = Issue();
  IdempotencyKey other = key;
  SECTION("another instance")
  {
    other.m_owner = InstanceId("ostland-2");
    REQUIRE(Claim(other) == "idempotency_outcome_unknown maybe");
  }
  SECTION("another incarnation")
  {
    other.m_incarnation = Incarnation(8);
    REQUIRE(Claim(other) == "idempotency_outcome_unknown maybe");
  }
  SECTION("a nonce never issued")
  {
    other.m_nonce = std::string(32, '0');
    REQUIRE(Claim(other) == "idempotency_key_expired maybe");
  }
  REQUIRE(Claim(key) == "granted");
}

TEST_CASE_METHOD(
  Fixture,
  "another route or client account does not learn the state of a key")
{
  const std::string state = GENERATE("issued", "running", "completed");
  const bool isOtherRoute = GENERATE(true, false);
  const IdempotencyKey key = Issue();
  DriveTo(key, state);
  KeyUse use = Use();
  if (isOtherRoute) {
    use.m_binding.m_route = RouteId("cancellations");
  } else {
    use.m_binding.m_clientAccount = ClientAccountId("teachers");
  }
  REQUIRE(Claim(key, use) == "idempotency_key_mismatch no");
}

TEST_CASE_METHOD(Fixture, "each waiting repeat gets the complete outcome once")
{
  const IdempotencyKey key = Issue();
  DriveTo(key, "running");
  REQUIRE(Claim(key) == "in flight");
  REQUIRE(Claim(key) == "in flight");
  REQUIRE(Claim(key) == "idempotency_outcome_unknown maybe");
  REQUIRE(m_waiterOutcomes.empty());
  SECTION("a response too large to store")
  {
    const std::string body(601, 'x');
    m_ledger.Complete(key, StoredResponse{ .m_status = 200, .m_body = body });
    REQUIRE(m_waiterOutcomes == std::vector<std::string>{ body, body });
    REQUIRE(Claim(key) == "failure yes");
  }
  SECTION("the claim is released and the key is claimed again")
  {
    m_ledger.Release(key, { .m_detail = "no backend server" });
    REQUIRE(m_waiterOutcomes == std::vector<std::string>{
                                  "no backend server", "no backend server" });
    REQUIRE(Claim(key) == "granted");
    m_ledger.Complete(key, StoredResponse{ .m_body = "yes" });
    REQUIRE(m_waiterOutcomes.size() == 2);
  }
}

TEST_CASE_METHOD(Fixture, "a waiter may call the ledger")
{
  const IdempotencyKey key = Issue();
  DriveTo(key, "running");
  std::string seen;
  KeyUse use = Use();
  use.m_waiter = [&](const StoredOutcome&) { seen = Claim(key); };
  REQUIRE(Claim(key, use) == "in flight");
  m_ledger.Release(key, {});
  REQUIRE(seen == "granted");
  REQUIRE(m_ledger.InFlightCount() == 1);
}

TEST_CASE_METHOD(Fixture, "Complete and Release require a key in flight")
{
  const std::string state = GENERATE("issued", "completed", "released");
  const IdempotencyKey key = Issue();
  DriveTo(key, state);
  REQUIRE_THROWS_AS(m_ledger.Complete(key, StoredFailure{}), std::logic_error);
  REQUIRE_THROWS_AS(m_ledger.Release(key, {}), std::logic_error);
}

TEST_CASE_METHOD(Fixture, "a full ledger issues no key and removes none")
{
  const IdempotencyKey running = Issue();
  DriveTo(running, "running");
  const IdempotencyKey completed = Issue();
  DriveTo(completed, "completed");
  Issue();
  REQUIRE_THROWS_AS(Issue(), RequestError);
  const KeyBinding other{ .m_route = RouteId("bookings"),
                          .m_clientAccount = ClientAccountId("teachers") };
  m_ledger.Issue(other);
  REQUIRE_THROWS_AS(m_ledger.Issue(other), RequestError);
  REQUIRE(Claim(running) == "in flight");
  REQUIRE(Claim(completed) == "response yes");

  m_clock.Advance(10min);
  Issue();
  REQUIRE(m_ledger.KeyCount() == 2);
  REQUIRE(m_ledger.InFlightCount() == 1);
  REQUIRE(m_ledger.StoredBytes() == ByteCount(0));
}

TEST_CASE_METHOD(Fixture, "stored responses stay within the memory limits")
{
  const StoredResponse response{ .m_status = 200,
                                 .m_body = std::string(250, 'x') };
  const auto run = [&](const KeyBinding& aBinding) {
    const IdempotencyKey key = m_ledger.Issue(aBinding).m_key;
    KeyUse use = Use();
    use.m_binding = aBinding;
    REQUIRE(Claim(key, use) == "granted");
    m_ledger.Complete(key, response);
    return Claim(key, use);
  };
  KeyBinding other = kBinding;
  other.m_clientAccount = ClientAccountId("teachers");
  const std::string stored = "response " + response.m_body;
  // The limits allow one response per account and two in total.
  REQUIRE(run(kBinding) == stored);
  REQUIRE(run(kBinding) == "failure yes");
  REQUIRE(run(other) == stored);
  other.m_clientAccount = ClientAccountId("workshops");
  REQUIRE(run(other) == "failure yes");
  REQUIRE(m_ledger.StoredBytes() <= ByteCount(700));

  m_clock.Advance(10min);
  m_ledger.Tick();
  REQUIRE(m_ledger.StoredBytes() == ByteCount(0));
  REQUIRE(run(kBinding) == stored);
}

} // namespace
} // namespace rattanweir
