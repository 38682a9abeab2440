#include "rattanweir/process/idempotency/idempotency_ledger.h"

#include "rattanweir/base/random/random.h"

#include <algorithm>
#include <list>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <unordered_map>

namespace rattanweir {
namespace {

constexpr std::size_t kNonceBytes = 16;

struct Entry
{
  std::string m_nonce;
  KeyBinding m_binding;
  // Ignored while the key is in flight.
  SteadyTime m_expiresAt;
  std::uint64_t m_fingerprint = 0;
  bool m_isRunning = false;
  std::unique_ptr<StoredOutcome> m_outcome;
  std::vector<std::function<void(const StoredOutcome&)>> m_waiters;
};

using Entries = std::list<Entry>;

// Resources held by the keys of one client account.
struct Usage
{
  std::size_t m_keys = 0;
  std::uint64_t m_storedBytes = 0;
};

std::uint64_t
SizeOf(const StoredResponse& aResponse)
{
  std::uint64_t size = sizeof(StoredResponse) + aResponse.m_body.size();
  for (const auto& header : aResponse.m_headers) {
    size += sizeof(header) + header.first.size() + header.second.size();
  }
  return size;
}

std::uint64_t
StoredSizeOf(const StoredOutcome& aOutcome)
{
  const auto* response = std::get_if<StoredResponse>(&aOutcome);
  return response == nullptr ? 0 : SizeOf(*response);
}

// Returns whether the request of the key has run, as far as the ledger knows.
Ran
HasRun(const Entry& aEntry)
{
  if (aEntry.m_isRunning) {
    return Ran::Maybe;
  }
  if (!aEntry.m_outcome) {
    return Ran::No;
  }
  const auto* failure = std::get_if<StoredFailure>(aEntry.m_outcome.get());
  return failure == nullptr ? Ran::Yes : failure->m_ran;
}

} // namespace

struct IdempotencyLedger::State
{
  IdempotencyLedgerOptions m_options;
  // Keys not in flight, ordered by expiry: each is appended with the same time
  // to live.
  Entries m_idle;
  // Keys in flight; they do not expire.
  Entries m_running;
  // The keys are views of `m_nonce` in the entries.
  std::unordered_map<std::string_view, Entries::iterator> m_byNonce;
  std::unordered_map<ClientAccountId, Usage> m_usageByAccount;
  std::uint64_t m_storedBytes = 0;

  SteadyTime Now() const { return m_options.m_clock.SteadyNow(); }

  std::optional<ClaimRefused> CheckKey(const IdempotencyKey& aKey,
                                       const KeyUse& aUse) const;
  std::optional<ClaimRefused> CheckEntry(const Entry& aEntry,
                                         const KeyUse& aUse) const;
  void CheckCapacity(const ClientAccountId& aAccount) const;
  void RemoveIdle(Entries::iterator aEntry);
  Entry& EndRun(const IdempotencyKey& aKey);
  void StoreOutcome(Entry& aEntry, const StoredOutcome& aOutcome);
};

// Returns why the key cannot be used by this request, or nullopt. A key in
// flight or with a stored outcome counts as usable.
std::optional<ClaimRefused>
IdempotencyLedger::State::CheckKey(const IdempotencyKey& aKey,
                                   const KeyUse& aUse) const
{
  if (aKey.m_owner != m_options.m_self) {
    return ClaimRefused{ .m_code = ResultCode::IdempotencyOutcomeUnknown,
                         .m_ran = Ran::Maybe,
                         .m_detail = "the key was issued by another instance" };
  }
  if (aKey.m_incarnation != m_options.m_incarnation) {
    return ClaimRefused{
      .m_code = ResultCode::IdempotencyOutcomeUnknown,
      .m_ran = Ran::Maybe,
      .m_detail = "the instance that issued the key has restarted since"
    };
  }
  const auto found = m_byNonce.find(aKey.m_nonce);
  if (found == m_byNonce.end()) {
    return ClaimRefused{
      .m_code = ResultCode::IdempotencyKeyExpired,
      .m_ran = Ran::Maybe,
      .m_detail = "the key is unknown or was removed after its expiry"
    };
  }
  return CheckEntry(*found->second, aUse);
}

// The part of CheckKey for a key that the ledger holds.
std::optional<ClaimRefused>
IdempotencyLedger::State::CheckEntry(const Entry& aEntry,
                                     const KeyUse& aUse) const
{
  // Only the client account that the key is bound to may learn its state.
  if (aEntry.m_binding.m_clientAccount != aUse.m_binding.m_clientAccount ||
      aEntry.m_binding.m_route != aUse.m_binding.m_route) {
    return ClaimRefused{
      .m_code = ResultCode::IdempotencyKeyMismatch,
      .m_ran = Ran::No,
      .m_detail = "the key was issued for another route or client account"
    };
  }
  const bool isUsed = aEntry.m_isRunning || aEntry.m_outcome;
  if (!aEntry.m_isRunning && aEntry.m_expiresAt <= Now()) {
    return ClaimRefused{ .m_code = ResultCode::IdempotencyKeyExpired,
                         .m_ran = HasRun(aEntry),
                         .m_detail = "the key has expired" };
  }
  // A caller may have serialised the same request differently, so the request
  // with the other fingerprint may be this one: Maybe unless it never ran.
  if (isUsed && aEntry.m_fingerprint != aUse.m_fingerprint) {
    return ClaimRefused{ .m_code = ResultCode::IdempotencyKeyMismatch,
                         .m_ran =
                           HasRun(aEntry) == Ran::No ? Ran::No : Ran::Maybe,
                         .m_detail = "the key was used with another request" };
  }
  return std::nullopt;
}

// Throws RequestError if the account or the ledger may hold no further key.
void
IdempotencyLedger::State::CheckCapacity(const ClientAccountId& aAccount) const
{
  const auto usage = m_usageByAccount.find(aAccount);
  if (usage != m_usageByAccount.end() &&
      usage->second.m_keys >= m_options.m_maximumKeysPerClientAccount) {
    throw RequestError(
      ResultCode::TooManyRequests,
      "client account holds the maximum number of idempotency keys");
  }
  if (m_byNonce.size() >= m_options.m_maximumKeys) {
    throw RequestError(ResultCode::TooManyRequests,
                       "instance holds the maximum number of idempotency keys");
  }
}

// Removes an entry that is not in flight.
void
IdempotencyLedger::State::RemoveIdle(Entries::iterator aEntry)
{
  const std::uint64_t size =
    aEntry->m_outcome ? StoredSizeOf(*aEntry->m_outcome) : 0;
  const auto usage = m_usageByAccount.find(aEntry->m_binding.m_clientAccount);
  m_storedBytes -= size;
  usage->second.m_storedBytes -= size;
  if (--usage->second.m_keys == 0) {
    m_usageByAccount.erase(usage);
  }
  m_byNonce.erase(aEntry->m_nonce);
  m_idle.erase(aEntry);
}

// Marks a key as no longer in flight and restarts its time to live.
Entry&
IdempotencyLedger::State::EndRun(const IdempotencyKey& aKey)
{
  const auto found = m_byNonce.find(aKey.m_nonce);
  if (found == m_byNonce.end() || !found->second->m_isRunning) {
    throw std::logic_error("idempotency key is not in flight");
  }
  Entry& entry = *found->second;
  entry.m_isRunning = false;
  entry.m_expiresAt = Now() + m_options.m_timeToLive;
  m_idle.splice(m_idle.end(), m_running, found->second);
  return entry;
}

// Stores the outcome; replaces a response that exceeds a memory limit by a
// failure with Ran::Yes.
void
IdempotencyLedger::State::StoreOutcome(Entry& aEntry,
                                       const StoredOutcome& aOutcome)
{
  const std::uint64_t size = StoredSizeOf(aOutcome);
  Usage& usage = m_usageByAccount[aEntry.m_binding.m_clientAccount];
  if (size > m_options.m_maximumResponseBytes.Value() ||
      m_storedBytes + size > m_options.m_maximumStoredBytes.Value() ||
      usage.m_storedBytes + size >
        m_options.m_maximumStoredBytesPerClientAccount.Value()) {
    aEntry.m_outcome = std::make_unique<StoredOutcome>(StoredFailure{
      .m_code = ResultCode::IdempotencyOutcomeUnknown,
      .m_ran = Ran::Yes,
      .m_detail = "the request ran; its response exceeds the storage limits" });
    return;
  }
  m_storedBytes += size;
  usage.m_storedBytes += size;
  aEntry.m_outcome = std::make_unique<StoredOutcome>(aOutcome);
}

IdempotencyLedger::IdempotencyLedger(const IdempotencyLedgerOptions& aOptions)
  : m_state(new State{ .m_options = aOptions })
{
}

IdempotencyLedger::~IdempotencyLedger() = default;

IssuedKey
IdempotencyLedger::Issue(const KeyBinding& aBinding)
{
  Tick();
  m_state->CheckCapacity(aBinding.m_clientAccount);
  const IdempotencyLedgerOptions& options = m_state->m_options;
  Entries& idle = m_state->m_idle;
  const auto entry =
    idle.insert(idle.end(),
                Entry{ .m_nonce = RandomHex(kNonceBytes),
                       .m_binding = aBinding,
                       .m_expiresAt = m_state->Now() + options.m_timeToLive });
  m_state->m_byNonce.emplace(entry->m_nonce, entry);
  ++m_state->m_usageByAccount[aBinding.m_clientAccount].m_keys;
  return { .m_key = { .m_owner = options.m_self,
                      .m_incarnation = options.m_incarnation,
                      .m_nonce = entry->m_nonce },
           .m_expiresAfter = options.m_timeToLive };
}

ClaimResult
IdempotencyLedger::Claim(const IdempotencyKey& aKey, KeyUse aUse)
{
  if (const auto refusal = m_state->CheckKey(aKey, aUse)) {
    return *refusal;
  }
  const Entries::iterator entry = m_state->m_byNonce.find(aKey.m_nonce)->second;
  if (entry->m_outcome) {
    return ClaimCompleted{ .m_outcome = *entry->m_outcome };
  }
  if (entry->m_isRunning) {
    if (entry->m_waiters.size() >= m_state->m_options.m_maximumWaiters) {
      return ClaimRefused{ .m_code = ResultCode::IdempotencyOutcomeUnknown,
                           .m_ran = Ran::Maybe,
                           .m_detail =
                             "too many repeats are waiting for the response" };
    }
    entry->m_waiters.push_back(std::move(aUse.m_waiter));
    return ClaimInFlight{};
  }
  entry->m_isRunning = true;
  entry->m_fingerprint = aUse.m_fingerprint;
  m_state->m_running.splice(m_state->m_running.end(), m_state->m_idle, entry);
  return ClaimGranted{};
}

void
IdempotencyLedger::Complete(const IdempotencyKey& aKey,
                            const StoredOutcome& aOutcome)
{
  Entry& entry = m_state->EndRun(aKey);
  const auto waiters = std::move(entry.m_waiters);
  entry.m_waiters.clear();
  m_state->StoreOutcome(entry, aOutcome);
  for (const auto& waiter : waiters) {
    waiter(aOutcome);
  }
}

void
IdempotencyLedger::Release(const IdempotencyKey& aKey,
                           const StoredFailure& aFailure)
{
  Entry& entry = m_state->EndRun(aKey);
  const auto waiters = std::move(entry.m_waiters);
  entry.m_waiters.clear();
  const StoredOutcome outcome = aFailure;
  for (const auto& waiter : waiters) {
    waiter(outcome);
  }
}

void
IdempotencyLedger::Tick()
{
  const SteadyTime now = m_state->Now();
  Entries& idle = m_state->m_idle;
  while (!idle.empty() && idle.front().m_expiresAt <= now) {
    m_state->RemoveIdle(idle.begin());
  }
}

std::size_t
IdempotencyLedger::InFlightCount() const
{
  return m_state->m_running.size();
}

std::size_t
IdempotencyLedger::KeyCount() const
{
  return m_state->m_byNonce.size();
}

ByteCount
IdempotencyLedger::StoredBytes() const
{
  return ByteCount(m_state->m_storedBytes);
}

} // namespace rattanweir
