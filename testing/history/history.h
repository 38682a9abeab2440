// The recorded history of one test run, and a checker of the invariants that it
// must satisfy.
//
//   History history = ...;  // recorded by callers, stand-ins and relays
//   for (const Violation& violation : CheckHistory(history)) { ... }
//
// The checker uses only what is observable from outside the instances. Each
// request carries a unique `marker` in its JSON body (repeats under one
// idempotency key share it), which joins the caller's record to those of the
// stand-ins (simulated backend servers). All times are wall-clock microseconds
// of one machine.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rattanweir::testing {

// Kind of call, which determines the expected complete response.
enum class CallKind
{
  // A streamed response of a model engine.
  Stream,
  // A model engine's response in one piece.
  Text,
  // A call of a plain service that must run at most once.
  Booking,
};

// One request as observed by its caller.
struct CallerRecord
{
  std::string m_marker;
  CallKind m_kind = CallKind::Stream;
  std::string m_clientAccount;
  std::string m_keyId;
  // The instance to which the request was sent.
  std::string m_instance;
  std::string m_prompt;
  std::uint64_t m_maxTokens = 0;
  std::string m_body;
  // Tokens that its route reserves.
  std::int64_t m_cost = 0;
  // Regions in which its data may be processed; empty permits all.
  std::set<std::string> m_permittedRegions;
  std::int64_t m_sentAt = 0;
  std::int64_t m_endedAt = 0;
  // 0 if the connection failed before the response head.
  unsigned m_status = 0;
  // The `rattanweir-ran` header; empty unless the request was refused.
  std::string m_ran;
  std::string m_response;
  bool m_isComplete = false;
};

// One execution of a request at a backend server.
struct RunRecord
{
  std::string m_server;
  std::string m_region;
  std::string m_marker;
  std::string m_clientAccount;
  std::int64_t m_at = 0;
};

// One request forwarded from an instance to a peer.
struct ForwardRecord
{
  std::string m_to;
  // The instances visited before, starting with the entry instance.
  std::vector<std::string> m_visited;
};

// The version of a section that an instance reported as in force.
struct VersionRecord
{
  std::string m_instance;
  std::string m_section;
  std::uint64_t m_version = 0;
  std::int64_t m_at = 0;
};

// A change published by operators.
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
  // In the order of observation.
  std::vector<VersionRecord> m_versions;
  // Everything that backend servers recorded, to search for leaked keys.
  std::vector<std::string> m_standInLines;
  // The texts of the callers' keys.
  std::set<std::string> m_keys;
  std::vector<PublishedChange> m_withdrawnKeys;
  std::vector<PublishedChange> m_drainingServers;
  // Instances that were shut down gracefully.
  std::set<std::string> m_drainedInstances;
  std::map<std::string, AccountLimits> m_accounts;
};

// Maximum time until a published change must be in force on all instances.
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

// Returns all violations that the history shows.
std::vector<Violation>
CheckHistory(const History& aHistory);

// Returns whether `aCall.m_response` equals the complete response to the call,
// recomputed from its inputs.
bool
IsExpectedResponse(const CallerRecord& aCall);

// Adds one JSON line recorded by a stand-in to the history. `aServer` is the
// backend server's id.
void
AddStandInLine(History& aHistory,
               const std::string& aServer,
               const std::string& aRegion,
               const std::string& aLine);

// Returns the name of the invariant for messages.
std::string_view
InvariantName(Invariant aInvariant);

// Returns one line for each violation; empty if there are none.
std::string
Describe(const std::vector<Violation>& aViolations);

} // namespace rattanweir::testing
