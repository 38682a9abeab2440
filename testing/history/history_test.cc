#include "testing/history/history.h"

#include "testing/stand_in/stand_in.h"

#include <catch2/catch.hpp>

#include <functional>

namespace rattanweir::testing {

namespace {

constexpr std::int64_t kSecond = 1'000'000;

std::string
StreamOf(const std::string& aPrompt, int aCount)
{
  std::string text;
  for (int i = 0; i < aCount; ++i) {
    text += "id: " + std::to_string(i) +
            "\ndata: {\"offset\":" + std::to_string(i) + ",\"token\":\"" +
            TokenOf(aPrompt, i) + "\"}\n\n";
  }
  return text + "data: [DONE]\n\n";
}

// A history without violations: a stream, and a booking repeated once.
History
ValidHistory()
{
  const CallerRecord stream{ .m_marker = "s1",
                             .m_kind = CallKind::Stream,
                             .m_clientAccount = "parents",
                             .m_keyId = "k1",
                             .m_instance = "ostland-1",
                             .m_prompt = "guide",
                             .m_maxTokens = 3,
                             .m_cost = 5,
                             .m_permittedRegions = { "ostland" },
                             .m_sentAt = kSecond,
                             .m_endedAt = 2 * kSecond,
                             .m_status = 200,
                             .m_response = StreamOf("guide", 3),
                             .m_isComplete = true };
  const CallerRecord booking{ .m_marker = "b1",
                              .m_kind = CallKind::Booking,
                              .m_clientAccount = "parents",
                              .m_keyId = "k1",
                              .m_instance = "ostland-1",
                              .m_body = "{}",
                              .m_cost = 5,
                              .m_sentAt = kSecond,
                              .m_endedAt = 2 * kSecond,
                              .m_status = 200,
                              .m_response = R"({"echo":"{}","run":1})",
                              .m_isComplete = true };
  const RunRecord run{ .m_server = "engine-1",
                       .m_region = "ostland",
                       .m_marker = "s1",
                       .m_clientAccount = "parents",
                       .m_at = kSecond + 1 };
  RunRecord bookingRun = run;
  bookingRun.m_marker = "b1";
  return { .m_calls = { stream, booking, booking },
           .m_runs = { run, bookingRun },
           .m_forwards = { { .m_to = "vestland-1",
                             .m_visited = { "ostland-1" } } },
           .m_versions = { { .m_instance = "ostland-1",
                             .m_section = "keys",
                             .m_version = 2 } },
           .m_standInLines = { "{\"event\":\"received\"}" },
           .m_keys = { "secret-key" },
           .m_drainedInstances = { "ostland-1" },
           .m_accounts = {
             { "parents", { .m_tokensPerSecond = 1, .m_burstTokens = 10 } } } };
}

struct ViolationCase
{
  Invariant m_invariant;
  std::string m_name;
  std::function<void(History&)> m_violate;
};

const std::vector<ViolationCase> kViolationCases = {
  { Invariant::RunsAtMostOnce,
    "a booking ran twice",
    [](History& aHistory) { aHistory.m_runs.push_back(aHistory.m_runs[1]); } },
  { Invariant::NotRunIsTrue,
    "a refused stream ran",
    [](History& aHistory) {
      aHistory.m_calls[0].m_status = 503;
      aHistory.m_calls[0].m_ran = "no";
    } },
  { Invariant::OwnCompleteResponse,
    "a token is missing",
    [](History& aHistory) {
      aHistory.m_calls[0].m_response = StreamOf("guide", 2);
    } },
  { Invariant::OwnCompleteResponse,
    "the end is missing",
    [](History& aHistory) {
      auto& response = aHistory.m_calls[0].m_response;
      response.resize(response.find("data: [DONE]"));
    } },
  { Invariant::OwnCompleteResponse,
    "the response to another prompt",
    [](History& aHistory) {
      aHistory.m_calls[0].m_response = StreamOf("other", 3);
    } },
  { Invariant::OwnCompleteResponse,
    "another booking's response",
    [](History& aHistory) {
      aHistory.m_calls[1].m_response = R"({"echo":"{1}"})";
    } },
  { Invariant::OwnCompleteResponse,
    "a truncated response to a booking",
    [](History& aHistory) { aHistory.m_calls[1].m_response = R"({"echo":)"; } },
  { Invariant::OwnClientAccountOnly,
    "ran for another account",
    [](History& aHistory) {
      aHistory.m_runs[0].m_clientAccount = "teachers";
    } },
  { Invariant::KeysStayInside,
    "a key in a header",
    [](History& aHistory) {
      aHistory.m_standInLines.push_back("[\"x\",\"secret-key\"]");
    } },
  { Invariant::StaysInRegion,
    "ran in another region",
    [](History& aHistory) { aHistory.m_runs[0].m_region = "vestland"; } },
  { Invariant::NeverLoops,
    "back to its entry",
    [](History& aHistory) { aHistory.m_forwards[0].m_to = "ostland-1"; } },
  { Invariant::NeverLoops,
    "a second hop",
    [](History& aHistory) {
      aHistory.m_forwards[0].m_visited.push_back("nordland-1");
    } },
  { Invariant::WithdrawnKeyStops,
    "a stream continues",
    [](History& aHistory) {
      aHistory.m_withdrawnKeys = { { .m_id = "k1", .m_at = kSecond } };
      aHistory.m_calls[0].m_endedAt = 7 * kSecond;
    } },
  { Invariant::WithdrawnKeyStops,
    "a booking is accepted",
    [](History& aHistory) {
      aHistory.m_withdrawnKeys = { { .m_id = "k1", .m_at = -6 * kSecond } };
    } },
  { Invariant::RateAndBurst,
    "one token over the burst",
    [](History& aHistory) { aHistory.m_calls[0].m_cost = 6; } },
  { Invariant::DrainingGetsNoWork,
    "a run after the bound",
    [](History& aHistory) {
      aHistory.m_drainingServers = { { .m_id = "engine-1",
                                       .m_at = -6 * kSecond } };
    } },
  { Invariant::VersionNeverReverts,
    "an older version after a newer one",
    [](History& aHistory) {
      aHistory.m_versions.push_back(aHistory.m_versions[0]);
      aHistory.m_versions.back().m_version = 1;
    } },
  { Invariant::ShutdownCutsNothing,
    "a stream ended before it was complete",
    [](History& aHistory) { aHistory.m_calls[0].m_isComplete = false; } },
  { Invariant::ShutdownCutsNothing,
    "a connection was reset",
    [](History& aHistory) { aHistory.m_calls[0].m_status = 0; } },
};

} // namespace

TEST_CASE("A valid history has no violations")
{
  CHECK(CheckHistory(ValidHistory()).empty());
}

TEST_CASE("Each violated invariant is reported")
{
  for (const ViolationCase& each : kViolationCases) {
    CAPTURE(each.m_name);
    History history = ValidHistory();
    each.m_violate(history);
    const std::vector<Violation> violations = CheckHistory(history);
    REQUIRE_FALSE(violations.empty());
    for (const Violation& violation : violations) {
      CHECK(InvariantName(violation.m_invariant) ==
            InvariantName(each.m_invariant));
    }
  }
}

TEST_CASE("Runs are read from a stand-in's lines")
{
  History history;
  AddStandInLine(history, "e1", "ostland", R"({"event":"received"})");
  AddStandInLine(history,
                 "e1",
                 "ostland",
                 R"({"event":"run","at_us":7,"request":"r",)"
                 R"("client_account":"a","body":"{\"marker\":\"m\"}"})");
  CHECK(history.m_standInLines.size() == 2);
  REQUIRE(history.m_runs.size() == 1);
  CHECK(history.m_runs[0].m_marker == "m");
  CHECK(history.m_runs[0].m_clientAccount == "a");
  CHECK(history.m_runs[0].m_at == 7);
}

} // namespace rattanweir::testing
