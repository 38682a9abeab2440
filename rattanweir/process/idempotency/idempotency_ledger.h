// The idempotency keys that this incarnation issued, and the outcomes of their
// requests.
//
// Only the ledger that issued a key lets a request with this key be dispatched,
// and at most once. A repeat while the request is in flight waits for the same
// outcome; a repeat after its end gets the stored outcome. An expired key is
// refused and its request never runs, even after the ledger has removed the
// key.
//
//   const IssuedKey issued = ledger.Issue({ .m_route = route, ... });
//   ClaimResult claim = ledger.Claim(key, use);
//   if (std::holds_alternative<ClaimGranted>(claim)) {
//     ... dispatch ...
//     ledger.Complete(key, outcome);
//   }
//
// Memory is bounded by `m_maximumKeys` keys and `m_maximumStoredBytes` bytes of
// stored responses. At the first limit no new key is issued; a response that
// exceeds the second is replaced by a StoredFailure with Ran::Yes. Both limits
// also exist per client account, so that one account cannot use up the capacity
// of the others. Nothing is evicted before its expiry, and a key in flight does
// not expire. Not thread-safe. Alternatives are discussed in
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

// The route and client account that a key may be used for. Set when the key is
// issued, checked at each use.
struct KeyBinding
{
  RouteId m_route;
  // Empty on a route that needs no client account.
  ClientAccountId m_clientAccount;
};

struct IssuedKey
{
  IdempotencyKey m_key;
  // Time after its issue within which the key must be used first.
  std::chrono::nanoseconds m_expiresAfter{};
};

// A complete response, stored for repeats.
struct StoredResponse
{
  unsigned m_status = 0;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;
};

// The outcome of a request that ended without a response that can be repeated.
struct StoredFailure
{
  ResultCode m_code = ResultCode::InternalError;
  Ran m_ran = Ran::Maybe;
  std::string m_detail;
};

using StoredOutcome = std::variant<StoredResponse, StoredFailure>;

// The key is unused or released: the caller of Claim must dispatch the request
// and then call Complete or Release.
struct ClaimGranted
{};

// The request is in flight. The waiter is called once with its outcome, never
// from within Claim.
struct ClaimInFlight
{};

// The request has ended with this outcome.
struct ClaimCompleted
{
  StoredOutcome m_outcome;
};

// The key cannot be used: it is bound to another request, has expired, its
// outcome is unknown, or too many repeats wait for it.
struct ClaimRefused
{
  ResultCode m_code = ResultCode::IdempotencyKeyMismatch;
  // Whether the request identified by the key has run. No only if this ledger
  // knows that the request was never sent.
  Ran m_ran = Ran::No;
  std::string m_detail;
};

using ClaimResult =
  std::variant<ClaimGranted, ClaimInFlight, ClaimCompleted, ClaimRefused>;

// One use of a key by a request.
struct KeyUse
{
  KeyBinding m_binding;
  // Hash of method, target and body; must be the same in each repeat.
  std::uint64_t m_fingerprint = 0;
  // Called with the outcome if Claim returns ClaimInFlight, never otherwise.
  // Must not throw; may call the ledger.
  std::function<void(const StoredOutcome&)> m_waiter;
};

struct IdempotencyLedgerOptions
{
  const Clock& m_clock;
  InstanceId m_self;
  Incarnation m_incarnation;
  // How long after its issue a key may be used first, and how long its outcome
  // is stored after the end of the request.
  std::chrono::nanoseconds m_timeToLive{ std::chrono::minutes(10) };
  std::size_t m_maximumKeys = 100'000;
  // All callers without a client account count as one account.
  std::size_t m_maximumKeysPerClientAccount = 25'000;
  // Repeats that may wait for one key at a time.
  std::size_t m_maximumWaiters = 64;
  // Limits on the stored responses: of all accounts together, of one client
  // account, and of a single response.
  ByteCount m_maximumStoredBytes{ 32ULL << 20U };
  ByteCount m_maximumStoredBytesPerClientAccount{ 8ULL << 20U };
  ByteCount m_maximumResponseBytes{ 256ULL << 10U };
};

// Issues keys and ensures that the request of each key runs at most once.
class IdempotencyLedger
{
public:
  explicit IdempotencyLedger(const IdempotencyLedgerOptions& aOptions);
  ~IdempotencyLedger();
  IdempotencyLedger(const IdempotencyLedger&) = delete;
  IdempotencyLedger& operator=(const IdempotencyLedger&) = delete;

  // Issues a new key. Throws RequestError with TooManyRequests if the ledger or
  // the client account holds its maximum number of keys.
  IssuedKey Issue(const KeyBinding& aBinding);

  // Decides whether a request with the key may run. Refuses a key of another
  // instance, or of another incarnation of this instance, with
  // IdempotencyOutcomeUnknown and Ran::Maybe.
  ClaimResult Claim(const IdempotencyKey& aKey, KeyUse aUse);

  // Ends a granted claim with an outcome and passes it to the waiters, in full
  // even if it is too large to be stored. Throws std::logic_error if the key is
  // not in flight.
  void Complete(const IdempotencyKey& aKey, const StoredOutcome& aOutcome);

  // Ends a granted claim whose request was not sent to any backend server: the
  // key may be claimed again. Passes the failure to the waiters. Throws
  // std::logic_error if the key is not in flight.
  void Release(const IdempotencyKey& aKey, const StoredFailure& aFailure);

  // Removes all keys that have expired and are not in flight.
  void Tick();

  std::size_t InFlightCount() const;
  // Returns the number of keys in memory, including those in flight.
  std::size_t KeyCount() const;
  // Returns the memory used by all stored responses.
  ByteCount StoredBytes() const;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

} // namespace rattanweir
