// The idempotency keys that this incarnation issued, and what became of them.
//
// Only this ledger ever lets a key of its own be dispatched, and at most once.
// A repeat while the request runs waits for the same answer, one after it gets
// the kept answer, and a key past its expiry is refused and never run, also
// once the ledger has forgotten it.
//
//   const IssuedKey issued = ledger.Issue({ .m_route = route, ... });
//   ClaimResult claim = ledger.Claim(key, use);
//   if (std::holds_alternative<FirstUse>(claim)) {
//     ... dispatch ...
//     ledger.Complete(key, outcome);
//   }
//
// Memory is bounded: at most `m_maximumKeys` keys and `m_responseBytes` bytes
// of kept answers; beyond that no new key is issued, and an answer too large is
// kept as "ran, answer gone". One client account gets only a part of either, so
// that it cannot take the place of the others. Nothing is evicted before its
// expiry, and a key in flight has none. For one thread. Ways weighed:
// docs/design/at-most-once.md.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/base/result/result_code.h"
#include "rattanweir/base/units/units.h"
#include "rattanweir/process/idempotency/idempotency_key.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace rattanweir {

// What a key may be used for; fixed when it is issued, and checked at each
// use.
struct KeyBinding
{
  RouteId m_route;
  // Empty on a route open to all.
  ClientAccountId m_clientAccount;
};

struct IssuedKey
{
  IdempotencyKey m_key;
  // The first use must come before this has passed.
  std::chrono::nanoseconds m_expiresAfter{};
};

// A whole answer, kept for repeats.
struct KeptResponse
{
  unsigned m_status = 0;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;
};

// The request ended without an answer.
struct KeptFailure
{
  ResultCode m_code = ResultCode::InternalError;
  Ran m_ran = Ran::Maybe;
  std::string m_detail;
};

using KeptOutcome = std::variant<KeptResponse, KeptFailure>;

// The caller of Claim dispatches the request, and calls Complete or Release.
struct FirstUse
{};

// The request runs; the waiter is called once with the outcome, never inside
// Claim.
struct ClaimInFlight
{};

// It ended; this is its outcome.
struct Finished
{
  KeptOutcome m_outcome;
};

// The key cannot be used (mismatch, expired, outcome unknown, too many
// waiters).
struct ClaimRefused
{
  ResultCode m_code = ResultCode::IdempotencyKeyMismatch;
  // What is known of the request that the key stands for: No only where this
  // ledger knows that it was never sent.
  Ran m_ran = Ran::No;
  std::string m_detail;
};

using ClaimResult =
  std::variant<FirstUse, ClaimInFlight, Finished, ClaimRefused>;

// One use of a key.
struct KeyUse
{
  KeyBinding m_binding;
  // A hash over method, target and body; a repeat must bring the same.
  std::uint64_t m_fingerprint = 0;
  // Called with the outcome if the claim is ClaimInFlight; not called
  // otherwise. Must not throw; may call the ledger.
  std::function<void(const KeptOutcome&)> m_waiter;
};

struct IdempotencyLedgerOptions
{
  const Clock& m_clock;
  InstanceId m_self;
  Incarnation m_incarnation;
  // For how long a key may be used first, and how long its outcome is kept
  // from its end.
  std::chrono::nanoseconds m_expiry{ std::chrono::minutes(10) };
  std::size_t m_maximumKeys = 100'000;
  // Of one client account; the callers of open routes count as one.
  std::size_t m_maximumKeysPerClientAccount = 25'000;
  // Repeats that wait for one key.
  std::size_t m_maximumWaiters = 64;
  // Of all kept answers together, and of those of one client account.
  ByteCount m_responseBytes{ 32ULL << 20U };
  ByteCount m_responseBytesPerClientAccount{ 8ULL << 20U };
  ByteCount m_largestResponse{ 256ULL << 10U };
};

class IdempotencyLedger
{
public:
  explicit IdempotencyLedger(const IdempotencyLedgerOptions& aOptions);
  ~IdempotencyLedger();
  IdempotencyLedger(const IdempotencyLedger&) = delete;
  IdempotencyLedger& operator=(const IdempotencyLedger&) = delete;

  // Throws RequestError with TooManyRequests when the ledger or the client
  // account's part of it is full.
  IssuedKey Issue(const KeyBinding& aBinding);

  // Decides over one use. A key of another instance, or of another incarnation
  // of this one, is refused with IdempotencyOutcomeUnknown and Ran::Maybe.
  ClaimResult Claim(const IdempotencyKey& aKey, KeyUse aUse);

  // The first use ended; waiters get the outcome, whole also where it is too
  // large to be kept. Throws std::logic_error if the key is not in flight.
  void Complete(const IdempotencyKey& aKey, const KeptOutcome& aOutcome);

  // The first use ended with nothing sent to a backend server: the key may be
  // used again. Waiters get the failure. Throws std::logic_error if the key is
  // not in flight.
  void Release(const IdempotencyKey& aKey, const KeptFailure& aFailure);

  // Forgets what is past its expiry and not in flight.
  void Tick();

  std::size_t InFlightCount() const;
  // Held in memory, in flight included.
  std::size_t KeyCount() const;
  // Of all kept answers.
  ByteCount ResponseBytes() const;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

} // namespace rattanweir
