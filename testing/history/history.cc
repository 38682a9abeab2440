#include "testing/history/history.h"

#include "testing/stand_in/stand_in.h"

#include <algorithm>
#include <array>
#include <optional>
#include <sstream>

namespace rattanweir::testing {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr unsigned kOkStatus = 200;
// The entry instance may forward a request to one other instance.
constexpr std::size_t kMaxHops = 1;
// Tolerance for rounding of token counts.
constexpr double kTokenTolerance = 1e-6;

using Violations = std::vector<Violation>;

void
Add(Violations& aOut, Invariant aInvariant, const std::string& aDetail)
{
  aOut.push_back({ .m_invariant = aInvariant, .m_detail = aDetail });
}

// The first run of each marker.
std::map<std::string, const RunRecord*>
FirstRuns(const History& aHistory)
{
  std::map<std::string, const RunRecord*> first;
  for (const RunRecord& run : aHistory.m_runs) {
    const RunRecord*& entry = first[run.m_marker];
    if (entry == nullptr || run.m_at < entry->m_at) {
      entry = &run;
    }
  }
  return first;
}

void
CheckRunsAtMostOnce(const History& aHistory, Violations& aOut)
{
  std::set<std::string> bookings;
  for (const CallerRecord& call : aHistory.m_calls) {
    if (call.m_kind == CallKind::Booking) {
      bookings.insert(call.m_marker);
    }
  }
  std::map<std::string, int> runs;
  for (const RunRecord& run : aHistory.m_runs) {
    if (bookings.contains(run.m_marker) && ++runs[run.m_marker] == 2) {
      Add(aOut, Invariant::RunsAtMostOnce, run.m_marker + " ran twice");
    }
  }
}

void
CheckNotRunIsTrue(const History& aHistory, Violations& aOut)
{
  std::map<std::string, bool> isReportedNotRun;
  for (const CallerRecord& call : aHistory.m_calls) {
    const bool isNo = call.m_ran == "no";
    const auto [entry, isNew] = isReportedNotRun.emplace(call.m_marker, isNo);
    entry->second = entry->second && isNo;
  }
  for (const RunRecord& run : aHistory.m_runs) {
    const auto found = isReportedNotRun.find(run.m_marker);
    if (found != isReportedNotRun.end() && found->second) {
      Add(aOut,
          Invariant::NotRunIsTrue,
          run.m_marker + " was refused as not run and ran at " + run.m_server);
    }
  }
}

void
CheckResponses(const History& aHistory, Violations& aOut)
{
  for (const CallerRecord& call : aHistory.m_calls) {
    if (call.m_status == kOkStatus && call.m_isComplete &&
        !IsExpectedResponse(call)) {
      Add(aOut,
          Invariant::OwnCompleteResponse,
          call.m_marker + " received as complete: " + call.m_response);
    }
  }
}

// Checks that each run was for the caller's account and in a permitted region.
void
CheckRegionAndAccount(const History& aHistory, Violations& aOut)
{
  std::map<std::string, const CallerRecord*> calls;
  for (const CallerRecord& call : aHistory.m_calls) {
    calls[call.m_marker] = &call;
  }
  for (const RunRecord& run : aHistory.m_runs) {
    const auto found = calls.find(run.m_marker);
    if (found == calls.end()) {
      continue;
    }
    const CallerRecord& call = *found->second;
    if (run.m_clientAccount != call.m_clientAccount) {
      Add(aOut,
          Invariant::OwnClientAccountOnly,
          run.m_marker + " ran for " + run.m_clientAccount);
    }
    const auto& regions = call.m_permittedRegions;
    if (!regions.empty() && !regions.contains(run.m_region)) {
      Add(aOut,
          Invariant::StaysInRegion,
          run.m_marker + " ran in " + run.m_region);
    }
  }
}

void
CheckKeysStayInside(const History& aHistory, Violations& aOut)
{
  for (const std::string& line : aHistory.m_standInLines) {
    for (const std::string& key : aHistory.m_keys) {
      if (line.find(key) != std::string::npos) {
        Add(aOut, Invariant::KeysStayInside, line);
      }
    }
  }
}

void
CheckNeverLoops(const History& aHistory, Violations& aOut)
{
  for (const ForwardRecord& forward : aHistory.m_forwards) {
    const auto& visited = forward.m_visited;
    const bool isBack =
      std::find(visited.begin(), visited.end(), forward.m_to) != visited.end();
    if (visited.empty() || visited.size() > kMaxHops || isBack) {
      Add(aOut,
          Invariant::NeverLoops,
          "a request went to " + forward.m_to + " after " +
            std::to_string(visited.size()) + " instances");
    }
  }
}

std::optional<std::int64_t>
ChangeDeadline(const std::vector<PublishedChange>& aChanges,
               const std::string& aId)
{
  for (const PublishedChange& change : aChanges) {
    if (change.m_id == aId) {
      return change.m_at + kMaxChangeDelay.count();
    }
  }
  return std::nullopt;
}

// A booking sent before the bound may be answered after it, since the booking
// may have run already. A stream must have been cancelled by the bound.
void
CheckWithdrawnKeys(const History& aHistory, Violations& aOut)
{
  for (const CallerRecord& call : aHistory.m_calls) {
    const auto end = ChangeDeadline(aHistory.m_withdrawnKeys, call.m_keyId);
    if (!end || call.m_status != kOkStatus) {
      continue;
    }
    const bool isBooking = call.m_kind == CallKind::Booking;
    if ((isBooking ? call.m_sentAt : call.m_endedAt) > *end) {
      Add(aOut,
          Invariant::WithdrawnKeyStops,
          call.m_marker + " was served under " + call.m_keyId);
    }
  }
}

void
CheckDrainingServers(const History& aHistory, Violations& aOut)
{
  for (const RunRecord& run : aHistory.m_runs) {
    const auto end = ChangeDeadline(aHistory.m_drainingServers, run.m_server);
    if (end && run.m_at > *end) {
      Add(aOut,
          Invariant::DrainingGetsNoWork,
          run.m_marker + " ran at " + run.m_server);
    }
  }
}

// One admitted request. Its admission time lies between m_from and m_until.
struct Admitted
{
  std::int64_t m_from = 0;
  std::int64_t m_until = 0;
  std::int64_t m_cost = 0;
};

// Checks each interval that starts when a request was sent and ends when one
// ran: sums the requests that must have been admitted within the interval.
void
CheckAccount(const std::string& aAccount,
             const AccountLimits& aLimits,
             std::vector<Admitted> aAdmitted,
             Violations& aOut)
{
  std::sort(aAdmitted.begin(),
            aAdmitted.end(),
            [](const Admitted& aLeft, const Admitted& aRight) {
              return aLeft.m_until < aRight.m_until;
            });
  for (const Admitted& first : aAdmitted) {
    double sum = 0;
    for (const Admitted& each : aAdmitted) {
      if (each.m_from < first.m_from) {
        continue;
      }
      sum += static_cast<double>(each.m_cost);
      const double seconds = static_cast<double>(each.m_until - first.m_from) /
                             kMicrosecondsPerSecond;
      const double maxTokens =
        aLimits.m_tokensPerSecond * seconds + aLimits.m_burstTokens;
      if (sum > maxTokens + kTokenTolerance) {
        Add(aOut,
            Invariant::RateAndBurst,
            aAccount + " got " + std::to_string(sum) + " tokens in " +
              std::to_string(seconds) + " s");
        return;
      }
    }
  }
}

void
CheckRateAndBurst(const History& aHistory, Violations& aOut)
{
  const auto runs = FirstRuns(aHistory);
  std::map<std::string, std::map<std::string, Admitted>> admitted;
  for (const CallerRecord& call : aHistory.m_calls) {
    const auto run = runs.find(call.m_marker);
    if (run == runs.end()) {
      continue;
    }
    const Admitted entry{ .m_from = call.m_sentAt,
                          .m_until = run->second->m_at,
                          .m_cost = call.m_cost };
    const auto [position, isNew] =
      admitted[call.m_clientAccount].emplace(call.m_marker, entry);
    position->second.m_from = std::min(position->second.m_from, call.m_sentAt);
  }
  for (const auto& [account, limits] : aHistory.m_accounts) {
    std::vector<Admitted> list;
    for (const auto& [marker, entry] : admitted[account]) {
      list.push_back(entry);
    }
    CheckAccount(account, limits, std::move(list), aOut);
  }
}

void
CheckVersions(const History& aHistory, Violations& aOut)
{
  std::map<std::string, std::uint64_t> newest;
  for (const VersionRecord& record : aHistory.m_versions) {
    std::uint64_t& version = newest[record.m_instance + " " + record.m_section];
    if (record.m_version < version) {
      Add(aOut,
          Invariant::VersionNeverReverts,
          record.m_instance + " " + record.m_section + " went back to " +
            std::to_string(record.m_version));
    }
    version = std::max(version, record.m_version);
  }
}

void
CheckShutdowns(const History& aHistory, Violations& aOut)
{
  for (const CallerRecord& call : aHistory.m_calls) {
    const bool isCut =
      call.m_status == 0 || (call.m_status == kOkStatus && !call.m_isComplete);
    if (isCut && aHistory.m_drainedInstances.contains(call.m_instance)) {
      Add(aOut,
          Invariant::ShutdownCutsNothing,
          call.m_marker + " was cut at " + call.m_instance);
    }
  }
}

bool
IsExpectedStream(const CallerRecord& aCall)
{
  std::string expected;
  for (std::uint64_t i = 0; i < aCall.m_maxTokens; ++i) {
    Json::Value data;
    data["offset"] = Json::UInt64(i);
    data["token"] = TokenOf(aCall.m_prompt, i);
    expected +=
      "id: " + std::to_string(i) + "\ndata: " + WriteJson(data) + "\n\n";
  }
  return aCall.m_response == expected + "data: [DONE]\n\n";
}

} // namespace

bool
IsExpectedResponse(const CallerRecord& aCall)
{
  if (aCall.m_kind == CallKind::Stream) {
    return IsExpectedStream(aCall);
  }
  try {
    const Json::Value response = ParseJson(aCall.m_response);
    return aCall.m_kind == CallKind::Text
             ? response["text"].asString() ==
                 TokensOf(aCall.m_prompt, aCall.m_maxTokens)
             : response["echo"].asString() == aCall.m_body;
  } catch (const HttpError&) {
    return false;
  }
}

std::vector<Violation>
CheckHistory(const History& aHistory)
{
  Violations violations;
  for (const auto check : { CheckRunsAtMostOnce,
                            CheckNotRunIsTrue,
                            CheckResponses,
                            CheckRegionAndAccount,
                            CheckKeysStayInside,
                            CheckNeverLoops,
                            CheckWithdrawnKeys,
                            CheckDrainingServers,
                            CheckRateAndBurst,
                            CheckVersions,
                            CheckShutdowns }) {
    check(aHistory, violations);
  }
  return violations;
}

void
AddStandInLine(History& aHistory,
               const std::string& aServer,
               const std::string& aRegion,
               const std::string& aLine)
{
  aHistory.m_standInLines.push_back(aLine);
  const Json::Value record = ParseJson(aLine);
  if (record["event"] != "run") {
    return;
  }
  const std::string text = record["body"].asString();
  const Json::Value body = text.empty() ? Json::Value() : ParseJson(text);
  aHistory.m_runs.push_back(
    { .m_server = aServer,
      .m_region = aRegion,
      .m_marker = body["marker"].asString(),
      .m_clientAccount = record["client_account"].asString(),
      .m_at = record["at_us"].asInt64() });
}

std::string_view
InvariantName(Invariant aInvariant)
{
  // In the order of the enumeration.
  constexpr std::array<std::string_view, 12> kNames = {
    "runs_at_most_once",     "not_run_is_true",
    "own_whole_answer",      "own_client_account_only",
    "keys_stay_inside",      "stays_in_region",
    "never_loops",           "withdrawn_key_stops",
    "rate_and_burst",        "leaving_gets_no_work",
    "version_never_reverts", "shutdown_cuts_nothing",
  };
  return kNames.at(static_cast<std::size_t>(aInvariant));
}

std::string
Describe(const std::vector<Violation>& aViolations)
{
  std::string text;
  for (const Violation& violation : aViolations) {
    text += std::string(InvariantName(violation.m_invariant)) + ": " +
            violation.m_detail + "\n";
  }
  return text;
}

} // namespace rattanweir::testing
