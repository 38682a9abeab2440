#include "rattanweir/process/published/published_items.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

const TopicId kTopic("servers");

struct Fixture
{
  Fixture()
  {
    m_items.OnChange(kTopic, [this](const ItemChange& aChange) {
      const std::string removed =
        aChange.m_removal == Removal::Lapsed ? "lapsed" : "removed";
      m_seen.push_back(aChange.m_key + "=" + aChange.m_value.value_or(removed));
    });
  }

  std::vector<std::string> Seen() { return std::exchange(m_seen, {}); }

  PublishedItems m_items;
  std::vector<std::string> m_seen;
};

using Seen = std::vector<std::string>;

TEST_CASE("a copy that is taken over tells only what differs")
{
  Fixture fixture;
  fixture.m_items.Replace(
    kTopic,
    { .m_revision = 5, .m_items = { { "a", "1" }, { "b", "1" } } },
    5,
    Removal::Published);
  CHECK(fixture.Seen() == Seen{ "a=1", "b=1" });
  fixture.m_items.Replace(
    kTopic,
    { .m_revision = 7, .m_items = { { "a", "2" }, { "c", "1" } } },
    8,
    Removal::Lapsed);
  CHECK(fixture.Seen() == Seen{ "b=lapsed", "a=2", "c=1" });
  CHECK(fixture.m_items.RevisionOf(kTopic) == 7);
}

TEST_CASE("an older copy changes nothing")
{
  Fixture fixture;
  fixture.m_items.Apply(kTopic,
                        { { .m_key = "a", .m_value = "1", .m_revision = 9 } });
  fixture.Seen();
  fixture.m_items.Replace(kTopic, { .m_revision = 8 }, 8, Removal::Published);
  CHECK(fixture.Seen().empty());
  CHECK(fixture.m_items.Find(kTopic)->m_items.size() == 1);
}

TEST_CASE("a newer read without the removed items keeps the revision")
{
  Fixture fixture;
  fixture.m_items.Apply(kTopic,
                        { { .m_key = "a", .m_value = "1", .m_revision = 4 } });
  fixture.m_items.Apply(kTopic,
                        { { .m_key = "b", .m_value = "1", .m_revision = 9 } });
  fixture.m_items.Replace(kTopic,
                          { .m_revision = 4, .m_items = { { "a", "1" } } },
                          20,
                          Removal::Published);
  CHECK(fixture.Seen() == Seen{ "a=1", "b=1", "b=removed" });
  CHECK(fixture.m_items.RevisionOf(kTopic) == 9);
}

TEST_CASE("a peer that is behind a little gets the changes alone")
{
  Fixture fixture;
  fixture.m_items.Apply(kTopic,
                        { { .m_key = "a", .m_value = "1", .m_revision = 3 } });
  fixture.m_items.Apply(kTopic,
                        { { .m_key = "b", .m_value = "1", .m_revision = 5 } });
  fixture.m_items.Apply(kTopic, { { .m_key = "a", .m_revision = 8 } });
  const auto changes = fixture.m_items.ChangesSince(kTopic, 3);
  REQUIRE(changes);
  REQUIRE(changes->size() == 2);
  CHECK(changes->at(0).m_key == "b");
  CHECK_FALSE(changes->at(1).m_value);
  // A copy that was taken over has no changes before it.
  fixture.m_items.Replace(kTopic, { .m_revision = 8 }, 20, Removal::Published);
  CHECK_FALSE(fixture.m_items.ChangesSince(kTopic, 5));
  CHECK(fixture.m_items.ChangesSince(kTopic, 8));
}

TEST_CASE("changes that are too long ago are not kept")
{
  Fixture fixture;
  for (std::uint64_t revision = 1; revision <= 500; ++revision) {
    fixture.m_items.Apply(
      kTopic, { { .m_key = "a", .m_value = "1", .m_revision = revision } });
  }
  CHECK_FALSE(fixture.m_items.ChangesSince(kTopic, 1));
  const auto changes = fixture.m_items.ChangesSince(kTopic, 490);
  REQUIRE(changes);
  CHECK(changes->size() == 10);
}

TEST_CASE("what a peer told first does not come back from the platform")
{
  Fixture fixture;
  fixture.m_items.Apply(kTopic,
                        { { .m_key = "a", .m_value = "1", .m_revision = 4 },
                          { .m_key = "a", .m_revision = 6 } });
  fixture.Seen();
  fixture.m_items.Apply(kTopic,
                        { { .m_key = "a", .m_value = "1", .m_revision = 4 } });
  CHECK(fixture.Seen().empty());
  CHECK(fixture.m_items.Find(kTopic)->m_items.empty());
}

TEST_CASE("changes are told in their order")
{
  Fixture fixture;
  fixture.m_items.Apply(kTopic,
                        { { .m_key = "a", .m_value = "1", .m_revision = 2 },
                          { .m_key = "a", .m_revision = 3 } });
  CHECK(fixture.Seen() == Seen{ "a=1", "a=removed" });
  CHECK(fixture.m_items.RevisionOf(kTopic) == 3);
  CHECK(fixture.m_items.Find(kTopic)->m_items.empty());
}

} // namespace
} // namespace rattanweir
