#include "rattanweir/process/prompt_quarantine/prompt_quarantine.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const PartKey kFirst = PartKeyOf("first");
const PartKey kBad = PartKeyOf("bad");
const PartKey kOther = PartKeyOf("other");

struct Fixture
{
  // Lets one engine more break off a request with these parts.
  void Break(const PartKeys& aParts, milliseconds aAfter = milliseconds(300))
  {
    m_clock.Advance(aAfter);
    m_quarantine.RecordBreak(aParts, NextEngine());
  }

  EngineProcess NextEngine()
  {
    return { .m_incarnation =
               BackendServerId("e" + std::to_string(++m_engines) + "@1"),
             .m_software = "engines v1" };
  }

  void Answer(const PartKeys& aParts)
  {
    m_clock.Advance(milliseconds(10));
    m_quarantine.RecordAnswer(aParts, m_clock.SteadyNow());
  }

  QuarantineDecision Check(const PartKeys& aParts, std::size_t aRank = 0)
  {
    return m_quarantine.Check(aParts,
                              [&](const QuarantinedGroup&) { return aRank; });
  }

  void Tick(bool aIsRunning = true)
  {
    m_quarantine.Tick([&](const std::string&) { return aIsRunning; });
  }

  std::size_t m_engines = 0;
  ManualClock m_clock;
  PromptQuarantine m_quarantine{ { .m_clock = m_clock } };
};

TEST_CASE("three breaks one after the other without an answer are evidence")
{
  Fixture fixture;
  fixture.Break({ kFirst, kBad });
  fixture.Answer({ kFirst });
  fixture.Break({ kFirst, kBad });
  CHECK_FALSE(fixture.m_quarantine.IsQuarantined({ kFirst, kBad }));
  fixture.Answer({ kFirst });
  fixture.Break({ kBad, kOther });
  CHECK(fixture.m_quarantine.IsQuarantined({ kOther, kBad }));
  CHECK_FALSE(fixture.m_quarantine.IsQuarantined({ kFirst, kOther }));
  CHECK(fixture.Check({ kFirst, kOther }) == QuarantineDecision::Admit);
  CHECK(fixture.Check({ kFirst, kBad }) == QuarantineDecision::Refuse);
}

TEST_CASE("engines that die at the same time count once")
{
  Fixture fixture;
  for (int engine = 0; engine < 10; ++engine) {
    fixture.Break({ kBad }, milliseconds(10));
  }
  CHECK_FALSE(fixture.m_quarantine.IsQuarantined({ kBad }));
}

TEST_CASE("an engine that responds again has not crashed")
{
  Fixture fixture;
  for (int engine = 0; engine < 5; ++engine) {
    const EngineProcess process = fixture.NextEngine();
    fixture.m_clock.Advance(milliseconds(300));
    fixture.m_quarantine.RecordBreak({ kBad }, process);
    fixture.m_clock.Advance(milliseconds(50));
    fixture.m_quarantine.RecordResponse(process.m_incarnation,
                                        fixture.m_clock.SteadyNow());
  }
  CHECK_FALSE(fixture.m_quarantine.IsQuarantined({ kBad }));
}

TEST_CASE("an answer to a request from before the break proves nothing")
{
  Fixture fixture;
  const SteadyTime before = fixture.m_clock.SteadyNow();
  for (int engine = 0; engine < 6; ++engine) {
    fixture.Break({ kBad });
    fixture.m_quarantine.RecordAnswer({ kBad }, before);
  }
  CHECK(fixture.m_quarantine.IsQuarantined({ kBad }));
}

TEST_CASE("parts that crashed the same engines are refused together only")
{
  Fixture fixture;
  for (int engine = 0; engine < 3; ++engine) {
    fixture.Break({ kBad, kOther });
  }
  CHECK(fixture.m_quarantine.IsQuarantined({ kBad, kOther }));
  CHECK_FALSE(fixture.m_quarantine.IsQuarantined({ kOther }));
  CHECK_FALSE(fixture.m_quarantine.IsQuarantined({ kBad }));
  fixture.Answer({ kOther });
  CHECK(fixture.m_quarantine.IsQuarantined({ kBad }));
}

TEST_CASE("a quarantined part explains the crashes of the parts beside it")
{
  Fixture fixture;
  for (int engine = 0; engine < 3; ++engine) {
    fixture.Break({ kBad, kOther });
  }
  fixture.Break({ kBad, kFirst });
  CHECK(fixture.m_quarantine.IsQuarantined({ kBad }));
  CHECK_FALSE(fixture.m_quarantine.IsQuarantined({ kOther, kFirst }));
}

TEST_CASE("evidence of several instances is merged, in any order")
{
  Fixture one;
  Fixture two;
  two.m_engines = 10;
  one.Break({ kBad });
  one.Break({ kBad });
  two.Break({ kBad });
  CHECK(one.m_quarantine.TakeNews());
  CHECK_FALSE(one.m_quarantine.TakeNews());
  // A first break is kept back for a moment.
  CHECK_FALSE(two.m_quarantine.TakeNews());
  two.m_clock.Advance(milliseconds(500));
  CHECK(two.m_quarantine.TakeNews());
  const auto reports = one.m_quarantine.ToAdvertise();
  two.m_clock.Advance(milliseconds(500));
  two.m_quarantine.Merge(reports);
  two.m_quarantine.Merge(reports);
  CHECK(two.m_quarantine.IsQuarantined({ kBad }));
  two.Answer({ kBad });
  CHECK_FALSE(two.m_quarantine.IsQuarantined({ kBad }));
  one.m_quarantine.Merge(two.m_quarantine.ToAdvertise());
  one.Break({ kBad });
  CHECK_FALSE(one.m_quarantine.IsQuarantined({ kBad }));
}

TEST_CASE("one instance after the other may try a quarantined part, more and "
          "more rarely")
{
  Fixture fixture;
  for (int engine = 0; engine < 3; ++engine) {
    fixture.Break({ kBad });
  }
  fixture.m_clock.Advance(seconds(9));
  CHECK(fixture.Check({ kBad }) == QuarantineDecision::Refuse);
  fixture.m_clock.Advance(seconds(2));
  CHECK(fixture.Check({ kBad }, 1) == QuarantineDecision::Refuse);
  CHECK(fixture.Check({ kBad }) == QuarantineDecision::Trial);
  CHECK(fixture.Check({ kBad }) == QuarantineDecision::Refuse);
  fixture.Break({ kBad });
  std::size_t trials = 0;
  for (int second = 0; second < 4 * 3'600; ++second) {
    fixture.m_clock.Advance(seconds(1));
    fixture.Tick();
    if (fixture.Check({ kBad }) == QuarantineDecision::Trial) {
      ++trials;
      fixture.Break({ kBad });
    }
  }
  CHECK(trials == 3);
  CHECK(fixture.Check({ kBad }) == QuarantineDecision::Refuse);
}

TEST_CASE("a part is tried once its engines run other software, and released "
          "if it is answered")
{
  Fixture fixture;
  for (int engine = 0; engine < 5; ++engine) {
    fixture.Break({ kBad });
  }
  fixture.Tick(false);
  CHECK(fixture.Check({ kBad }) == QuarantineDecision::Trial);
  CHECK(fixture.Check({ kBad }) == QuarantineDecision::Refuse);
  fixture.Answer({ kBad });
  CHECK(fixture.Check({ kBad }) == QuarantineDecision::Admit);
}

TEST_CASE("a quarantine lasts while its requests come, and is forgotten later")
{
  Fixture fixture;
  for (int engine = 0; engine < 5; ++engine) {
    fixture.Break({ kBad });
  }
  for (int minute = 0; minute < 60; ++minute) {
    fixture.m_clock.Advance(seconds(50));
    fixture.Check({ kBad }, 1'000'000);
    fixture.Tick();
    REQUIRE(fixture.m_quarantine.IsQuarantined({ kBad }));
  }
  fixture.m_clock.Advance(minutes(11));
  fixture.Tick();
  CHECK_FALSE(fixture.m_quarantine.IsQuarantined({ kBad }));
  CHECK(fixture.m_quarantine.PartsWithEvidence() == 0);
}

TEST_CASE("the memory is bounded, and evidence against a part is not displaced")
{
  Fixture fixture;
  fixture.Break({ kBad });
  fixture.Break({ kBad });
  for (int part = 0; part < 10'000; ++part) {
    fixture.Break({ PartKeyOf(std::to_string(part)) }, milliseconds(1));
    fixture.m_quarantine.RecordAnswer({ PartKeyOf("a" + std::to_string(part)) },
                                      fixture.m_clock.SteadyNow());
  }
  CHECK(fixture.m_quarantine.PartsWithEvidence() <= 512);
  fixture.Break({ kBad });
  CHECK(fixture.m_quarantine.IsQuarantined({ kBad }));
}

} // namespace
} // namespace rattanweir
