// The history of one run, and the checker that judges it.
//
//   History history = ...;  // what callers, stand-ins and relays recorded
//   for (const Violation& violation : CheckHistory(history)) { ... }
//
// The checker only relies on what is seen from outside the instances. Each
// caller's request carries a `marker` of its own in its JSON body (repeats
// under one idempotency key share it), which joins the caller's record to
// those of the stand-ins. All times are wall-clock microseconds of one
// machine.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rattanweir::testing {

// What the caller asked for, and so what its whole answer is.
enum class CallKind
{
  // A streamed answer of a model engine.
  Stream,
  // A model engine's answer in one piece.
  Text,
  // A call of a plain service that must run at most once.
  Booking,
};

// One request as its caller saw it.
struct CallerRecord
{
  std::string m_marker;
  CallKind m_kind = CallKind::Stream;
  std::string m_clientAccount;
  std::string m_keyId;
  // The instance that it was sent to.
  std::string m_instance;
  std::string m_prompt;
  std::uint64_t m_maxTokens = 0;
  std::string m_body;
  // Tokens that its route reserves.
  std::int64_t m_cost = 0;
  // Where its data may be; empty for anywhere.
  std::set<std::string> m_permittedRegions;
  std::int64_t m_sentAt = 0;
  std::int64_t m_endedAt = 0;
  // 0 if the connection broke before the head.
  unsigned m_status = 0;
  // The `rattanweir-ran` header; empty without a refusal.
  std::string m_ran;
  std::string m_response;
  bool m_isComplete = false;
};

// One run at a backend server.
struct RunRecord
{
  std::string m_server;
  std::string m_region;
  std::string m_marker;
  std::string m_clientAccount;
  std::int64_t m_at = 0;
};

// One request that passed from an instance to a peer.
struct ForwardRecord
{
  std::string m_to;
  // The instances it had visited, the entry first.
  std::vector<std::string> m_visited;
};

// The version of a section that an instance said was in force.
struct VersionRecord
{
  std::string m_instance;
  std::string m_section;
  std::uint64_t m_version = 0;
  std::int64_t m_at = 0;
};

// Something operators published.
struct PublishedChange
{
  std::string m_id;
  std::int64_t m_at = 0;
};

struct AccountLimits
{
  double m_tokensPerSecond = 0;
  double m_burstTokens = 0;
};

struct History
{
  std::vector<CallerRecord> m_calls;
  std::vector<RunRecord> m_runs;
  std::vector<ForwardRecord> m_forwards;
  // In the order in which they were read.
  std::vector<VersionRecord> m_versions;
  // Every byte that backend servers recorded, to search for keys.
  std::vector<std::string> m_standInLines;
  // The texts of the callers' keys.
  std::set<std::string> m_keys;
  std::vector<PublishedChange> m_withdrawnKeys;
  std::vector<PublishedChange> m_drainingServers;
  // Instances that were told to shut down and not killed.
  std::set<std::string> m_drainedInstances;
  std::map<std::string, AccountLimits> m_accounts;
};

// How soon a published change must be in force everywhere.
inline constexpr std::chrono::microseconds kMaxChangeDelay{
  std::chrono::seconds(5)
};

enum class Invariant
{
  RunsAtMostOnce,
  NotRunIsTrue,
  OwnCompleteResponse,
  OwnClientAccountOnly,
  KeysStayInside,
  StaysInRegion,
  NeverLoops,
  WithdrawnKeyStops,
  RateAndBurst,
  DrainingGetsNoWork,
  VersionNeverReverts,
  ShutdownCutsNothing,
};

struct Violation
{
  Invariant m_invariant;
  std::string m_detail;
};

// Every violation that the history shows.
std::vector<Violation>
CheckHistory(const History& aHistory);

// The whole answer to a call, recomputed; for a stream without its framing.
// Says whether `aCall.m_response` is it.
bool
IsExpectedResponse(const CallerRecord& aCall);

// Takes one JSON line of a stand-in into the history. `aServer` is the
// backend server's id.
void
AddStandInLine(History& aHistory,
               const std::string& aServer,
               const std::string& aRegion,
               const std::string& aLine);

// Which promise, for messages.
std::string_view
InvariantName(Invariant aInvariant);

// A line for each violation; empty without any.
std::string
Describe(const std::vector<Violation>& aViolations);

} // namespace rattanweir::testing
