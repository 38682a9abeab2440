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
  // Only meaningful while the key is not in flight.
  SteadyTime m_expiresAt;
  std::uint64_t m_fingerprint = 0;
  bool m_isRunning = false;
  std::unique_ptr<KeptOutcome> m_outcome;
  std::vector<std::function<void(const KeptOutcome&)>> m_waiters;
};

using Entries = std::list<Entry>;

// What the keys of one client account take up.
struct Usage
{
  std::size_t m_keys = 0;
  std::uint64_t m_responseBytes = 0;
};

std::uint64_t
SizeOf(const KeptResponse& aResponse)
{
  std::uint64_t size = sizeof(KeptResponse) + aResponse.m_body.size();
  for (const auto& header : aResponse.m_headers) {
    size += sizeof(header) + header.first.size() + header.second.size();
  }
  return size;
}

std::uint64_t
ResponseSizeOf(const KeptOutcome& aOutcome)
{
  const auto* response = std::get_if<KeptResponse>(&aOutcome);
  return response == nullptr ? 0 : SizeOf(*response);
}

// Whether the request that the key stands for has run, as far as is known.
Ran
HasRun(const Entry& aEntry)
{
  if (aEntry.m_isRunning) {
    return Ran::Maybe;
  }
  if (!aEntry.m_outcome) {
    return Ran::No;
  }
  const auto* failure = std::get_if<KeptFailure>(aEntry.m_outcome.get());
  return failure == nullptr ? Ran::Yes : failure->m_ran;
}

} // namespace

struct IdempotencyLedger::State
{
  IdempotencyLedgerOptions m_options;
  // In the order of their expiry: each joins at the end with the same time
  // left.
  Entries m_idle;
  // These do not expire.
  Entries m_running;
  // The views are into the entries.
  std::unordered_map<std::string_view, Entries::iterator> m_byNonce;
  std::unordered_map<ClientAccountId, Usage> m_usageByAccount;
  std::uint64_t m_responseBytes = 0;

  SteadyTime Now() const { return m_options.m_clock.SteadyNow(); }

  std::optional<ClaimRefused> RefusalOf(const IdempotencyKey& aKey,
                                        const KeyUse& aUse) const;
  std::optional<ClaimRefused> RefusalOfEntry(const Entry& aEntry,
                                             const KeyUse& aUse) const;
  void CheckRoom(const ClientAccountId& aAccount) const;
  void Forget(Entries::iterator aEntry);
  Entry& Stop(const IdempotencyKey& aKey);
  void Keep(Entry& aEntry, const KeptOutcome& aOutcome);
};

// What makes a key unusable whatever became of it.
std::optional<ClaimRefused>
IdempotencyLedger::State::RefusalOf(const IdempotencyKey& aKey,
                                    const KeyUse& aUse) const
{
  if (aKey.m_owner != m_options.m_self) {
    return ClaimRefused{ .m_code = ResultCode::IdempotencyOutcomeUnknown,
                         .m_ran = Ran::Maybe,
                         .m_detail = "another instance issued the key" };
  }
  if (aKey.m_incarnation != m_options.m_incarnation) {
    return ClaimRefused{ .m_code = ResultCode::IdempotencyOutcomeUnknown,
                         .m_ran = Ran::Maybe,
                         .m_detail =
                           "the instance that issued the key was replaced" };
  }
  const auto found = m_byNonce.find(aKey.m_nonce);
  if (found == m_byNonce.end()) {
    return ClaimRefused{ .m_code = ResultCode::IdempotencyKeyExpired,
                         .m_ran = Ran::Maybe,
                         .m_detail = "the key is no longer known" };
  }
  return RefusalOfEntry(*found->second, aUse);
}

std::optional<ClaimRefused>
IdempotencyLedger::State::RefusalOfEntry(const Entry& aEntry,
                                         const KeyUse& aUse) const
{
  // The state of a key is told only to the client account that it is bound to.
  if (aEntry.m_binding.m_clientAccount != aUse.m_binding.m_clientAccount ||
      aEntry.m_binding.m_route != aUse.m_binding.m_route) {
    return ClaimRefused{ .m_code = ResultCode::IdempotencyKeyMismatch,
                         .m_ran = Ran::No,
                         .m_detail =
                           "issued for another route or client account" };
  }
  const bool isUsed = aEntry.m_isRunning || aEntry.m_outcome;
  if (!aEntry.m_isRunning && aEntry.m_expiresAt <= Now()) {
    return ClaimRefused{ .m_code = ResultCode::IdempotencyKeyExpired,
                         .m_ran = HasRun(aEntry),
                         .m_detail = "the key has expired" };
  }
  // A caller may have written the same booking in another way, so its request
  // may be the one that ran.
  if (isUsed && aEntry.m_fingerprint != aUse.m_fingerprint) {
    return ClaimRefused{ .m_code = ResultCode::IdempotencyKeyMismatch,
                         .m_ran =
                           HasRun(aEntry) == Ran::No ? Ran::No : Ran::Maybe,
                         .m_detail = "the key was used with another request" };
  }
  return std::nullopt;
}

void
IdempotencyLedger::State::CheckRoom(const ClientAccountId& aAccount) const
{
  const auto held = m_usageByAccount.find(aAccount);
  if (held != m_usageByAccount.end() &&
      held->second.m_keys >= m_options.m_maximumKeysPerClientAccount) {
    throw RequestError(ResultCode::TooManyRequests,
                       "the client account holds its most idempotency keys");
  }
  if (m_byNonce.size() >= m_options.m_maximumKeys) {
    throw RequestError(ResultCode::TooManyRequests,
                       "the instance holds its most idempotency keys");
  }
}

void
IdempotencyLedger::State::Forget(Entries::iterator aEntry)
{
  const std::uint64_t size =
    aEntry->m_outcome ? ResponseSizeOf(*aEntry->m_outcome) : 0;
  const auto usage = m_usageByAccount.find(aEntry->m_binding.m_clientAccount);
  m_responseBytes -= size;
  usage->second.m_responseBytes -= size;
  if (--usage->second.m_keys == 0) {
    m_usageByAccount.erase(usage);
  }
  m_byNonce.erase(aEntry->m_nonce);
  m_idle.erase(aEntry);
}

// Ends the flight of a key; its time begins anew.
Entry&
IdempotencyLedger::State::Stop(const IdempotencyKey& aKey)
{
  const auto found = m_byNonce.find(aKey.m_nonce);
  if (found == m_byNonce.end() || !found->second->m_isRunning) {
    throw std::logic_error("idempotency key not in flight");
  }
  Entry& entry = *found->second;
  entry.m_isRunning = false;
  entry.m_expiresAt = Now() + m_options.m_expiry;
  m_idle.splice(m_idle.end(), m_running, found->second);
  return entry;
}

// Keeps the outcome in the form in which there is room for it.
void
IdempotencyLedger::State::Keep(Entry& aEntry, const KeptOutcome& aOutcome)
{
  const std::uint64_t size = ResponseSizeOf(aOutcome);
  Usage& usage = m_usageByAccount[aEntry.m_binding.m_clientAccount];
  if (size > m_options.m_largestResponse.Value() ||
      m_responseBytes + size > m_options.m_responseBytes.Value() ||
      usage.m_responseBytes + size >
        m_options.m_responseBytesPerClientAccount.Value()) {
    aEntry.m_outcome = std::make_unique<KeptOutcome>(
      KeptFailure{ .m_code = ResultCode::IdempotencyOutcomeUnknown,
                   .m_ran = Ran::Yes,
                   .m_detail = "the request ran; its answer was not kept" });
    return;
  }
  m_responseBytes += size;
  usage.m_responseBytes += size;
  aEntry.m_outcome = std::make_unique<KeptOutcome>(aOutcome);
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
  m_state->CheckRoom(aBinding.m_clientAccount);
  const IdempotencyLedgerOptions& options = m_state->m_options;
  Entries& idle = m_state->m_idle;
  const auto entry =
    idle.insert(idle.end(),
                Entry{ .m_nonce = RandomHex(kNonceBytes),
                       .m_binding = aBinding,
                       .m_expiresAt = m_state->Now() + options.m_expiry });
  m_state->m_byNonce.emplace(entry->m_nonce, entry);
  ++m_state->m_usageByAccount[aBinding.m_clientAccount].m_keys;
  return { .m_key = { .m_owner = options.m_self,
                      .m_incarnation = options.m_incarnation,
                      .m_nonce = entry->m_nonce },
           .m_expiresAfter = options.m_expiry };
}

ClaimResult
IdempotencyLedger::Claim(const IdempotencyKey& aKey, KeyUse aUse)
{
  if (const auto refusal = m_state->RefusalOf(aKey, aUse)) {
    return *refusal;
  }
  const Entries::iterator entry = m_state->m_byNonce.find(aKey.m_nonce)->second;
  if (entry->m_outcome) {
    return Finished{ .m_outcome = *entry->m_outcome };
  }
  if (entry->m_isRunning) {
    if (entry->m_waiters.size() >= m_state->m_options.m_maximumWaiters) {
      return ClaimRefused{ .m_code = ResultCode::IdempotencyOutcomeUnknown,
                           .m_ran = Ran::Maybe,
                           .m_detail = "too many repeats wait for the answer" };
    }
    entry->m_waiters.push_back(std::move(aUse.m_waiter));
    return ClaimInFlight{};
  }
  entry->m_isRunning = true;
  entry->m_fingerprint = aUse.m_fingerprint;
  m_state->m_running.splice(m_state->m_running.end(), m_state->m_idle, entry);
  return FirstUse{};
}

void
IdempotencyLedger::Complete(const IdempotencyKey& aKey,
                            const KeptOutcome& aOutcome)
{
  Entry& entry = m_state->Stop(aKey);
  const auto waiters = std::move(entry.m_waiters);
  entry.m_waiters.clear();
  m_state->Keep(entry, aOutcome);
  for (const auto& waiter : waiters) {
    waiter(aOutcome);
  }
}

void
IdempotencyLedger::Release(const IdempotencyKey& aKey,
                           const KeptFailure& aFailure)
{
  Entry& entry = m_state->Stop(aKey);
  const auto waiters = std::move(entry.m_waiters);
  entry.m_waiters.clear();
  const KeptOutcome outcome = aFailure;
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
    m_state->Forget(idle.begin());
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
IdempotencyLedger::ResponseBytes() const
{
  return ByteCount(m_state->m_responseBytes);
}

} // namespace rattanweir
