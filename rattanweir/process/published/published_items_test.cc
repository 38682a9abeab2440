#include "rattanweir/process/published/published_items.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

const TopicId kTopic("servers");
constexpr StoreEpoch kEpoch(1);

TopicVersion
Version(std::uint64_t aRevision)
{
  return { .m_epoch = kEpoch, .m_revision = aRevision };
}

struct Fixture
{
  Fixture()
  {
    m_items.OnChange(kTopic, [this](const ItemChange& aChange) {
      const std::string removed =
        aChange.m_removal == RemovalReason::Lapsed ? "lapsed" : "removed";
      m_changes.push_back(aChange.m_key + "=" +
                          aChange.m_value.value_or(removed));
    });
  }

  std::vector<std::string> Seen() { return std::exchange(m_changes, {}); }

  PublishedItems m_items;
  std::vector<std::string> m_changes;
};

using Seen = std::vector<std::string>;

TEST_CASE("a snapshot notifies the listener only of items that differ")
{
  Fixture fixture;
  fixture.m_items.Replace(
    kTopic,
    { .m_version = Version(5), .m_items = { { "a", "1" }, { "b", "1" } } },
    RemovalReason::Published);
  CHECK(fixture.Seen() == Seen{ "a=1", "b=1" });
  fixture.m_items.Replace(
    kTopic,
    { .m_version = Version(8), .m_items = { { "a", "2" }, { "c", "1" } } },
    RemovalReason::Lapsed);
  CHECK(fixture.Seen() == Seen{ "b=lapsed", "a=2", "c=1" });
  CHECK(fixture.m_items.VersionOf(kTopic) == Version(8));
}

TEST_CASE("an older snapshot is ignored")
{
  Fixture fixture;
  fixture.m_items.Apply(
    kTopic, kEpoch, { { .m_key = "a", .m_value = "1", .m_revision = 9 } });
  fixture.Seen();
  fixture.m_items.Replace(
    kTopic, { .m_version = Version(8) }, RemovalReason::Published);
  CHECK(fixture.Seen().empty());
  CHECK(fixture.m_items.Find(kTopic)->m_items.size() == 1);
}

TEST_CASE(
  "a snapshot has the revision at which it was taken, not that of its items")
{
  Fixture fixture;
  fixture.m_items.Apply(
    kTopic, kEpoch, { { .m_key = "a", .m_value = "1", .m_revision = 4 } });
  fixture.m_items.Apply(
    kTopic, kEpoch, { { .m_key = "b", .m_value = "1", .m_revision = 9 } });
  fixture.m_items.Replace(kTopic,
                          { .m_version = Version(20),
                            .m_items = { { "a", "1" } },
                            .m_revisions = { { "a", 4 } } },
                          RemovalReason::Published);
  CHECK(fixture.Seen() == Seen{ "a=1", "b=1", "b=removed" });
  CHECK(fixture.m_items.VersionOf(kTopic) == Version(20));
}

TEST_CASE("ChangesSince returns the changes after a recent revision")
{
  Fixture fixture;
  fixture.m_items.Apply(
    kTopic, kEpoch, { { .m_key = "a", .m_value = "1", .m_revision = 3 } });
  fixture.m_items.Apply(
    kTopic, kEpoch, { { .m_key = "b", .m_value = "1", .m_revision = 5 } });
  fixture.m_items.Apply(kTopic, kEpoch, { { .m_key = "a", .m_revision = 8 } });
  const auto changes = fixture.m_items.ChangesSince(kTopic, Version(3));
  REQUIRE(changes);
  REQUIRE(changes->size() == 2);
  CHECK(changes->at(0).m_key == "b");
  CHECK_FALSE(changes->at(1).m_value);
  // No changes are retained from before the latest snapshot.
  fixture.m_items.Replace(
    kTopic, { .m_version = Version(20) }, RemovalReason::Published);
  CHECK_FALSE(fixture.m_items.ChangesSince(kTopic, Version(5)));
  CHECK_FALSE(fixture.m_items.ChangesSince(kTopic, Version(8)));
  CHECK(fixture.m_items.ChangesSince(kTopic, Version(20)));
}

TEST_CASE("old changes are not retained")
{
  Fixture fixture;
  for (std::uint64_t revision = 1; revision <= 500; ++revision) {
    fixture.m_items.Apply(
      kTopic,
      kEpoch,
      { { .m_key = "a", .m_value = "1", .m_revision = revision } });
  }
  CHECK_FALSE(fixture.m_items.ChangesSince(kTopic, Version(1)));
  const auto changes = fixture.m_items.ChangesSince(kTopic, Version(490));
  REQUIRE(changes);
  CHECK(changes->size() == 10);
}

TEST_CASE("a change already received from a peer is skipped")
{
  Fixture fixture;
  fixture.m_items.Apply(kTopic,
                        kEpoch,
                        { { .m_key = "a", .m_value = "1", .m_revision = 4 },
                          { .m_key = "a", .m_revision = 6 } });
  fixture.Seen();
  fixture.m_items.Apply(
    kTopic, kEpoch, { { .m_key = "a", .m_value = "1", .m_revision = 4 } });
  CHECK(fixture.Seen().empty());
  CHECK(fixture.m_items.Find(kTopic)->m_items.empty());
}

TEST_CASE("the listener receives changes in order")
{
  Fixture fixture;
  fixture.m_items.Apply(kTopic,
                        kEpoch,
                        { { .m_key = "a", .m_value = "1", .m_revision = 2 },
                          { .m_key = "a", .m_revision = 3 } });
  CHECK(fixture.Seen() == Seen{ "a=1", "a=removed" });
  CHECK(fixture.m_items.VersionOf(kTopic) == Version(3));
  CHECK(fixture.m_items.Find(kTopic)->m_items.empty());
}

TEST_CASE("a snapshot of a later epoch replaces a higher revision")
{
  Fixture fixture;
  fixture.m_items.Apply(kTopic,
                        kEpoch,
                        { { .m_key = "a", .m_value = "1", .m_revision = 60 },
                          { .m_key = "b", .m_value = "1", .m_revision = 61 } });
  fixture.Seen();
  const TopicVersion restored{ .m_epoch = StoreEpoch(2), .m_revision = 4 };
  CHECK(fixture.m_items.Replace(
    kTopic,
    { .m_version = restored, .m_items = { { "a", "2" } } },
    RemovalReason::Published));
  CHECK(fixture.Seen() == Seen{ "b=lapsed", "a=2" });
  CHECK(fixture.m_items.VersionOf(kTopic) == restored);
  CHECK_FALSE(fixture.m_items.ChangesSince(kTopic, Version(61)));
  CHECK(fixture.m_items.Apply(
          kTopic,
          kEpoch,
          { { .m_key = "a", .m_value = "1", .m_revision = 70 } }) == 0);
  CHECK_FALSE(fixture.m_items.Replace(
    kTopic, { .m_version = Version(80) }, RemovalReason::Published));
  CHECK(fixture.Seen().empty());
}

TEST_CASE("a newer copy with the same items raises the version")
{
  Fixture first;
  Fixture second;
  const ItemChange change{ .m_key = "a", .m_value = "1", .m_revision = 4 };
  first.m_items.Apply(kTopic, kEpoch, { change });
  second.m_items.Replace(kTopic,
                         { .m_version = Version(20),
                           .m_items = { { "a", "1" } },
                           .m_revisions = { { "a", 4 } } },
                         RemovalReason::Published);
  const auto fingerprint = second.m_items.FingerprintOf(kTopic);
  REQUIRE(fingerprint);
  // A peer of an earlier release has no fingerprint.
  CHECK(first.m_items.ShouldFetch(kTopic, Version(20), std::nullopt));
  CHECK_FALSE(first.m_items.ShouldFetch(kTopic, Version(20), fingerprint));
  CHECK(first.m_items.VersionOf(kTopic) == Version(20));
  CHECK_FALSE(first.m_items.ShouldFetch(kTopic, Version(19), std::nullopt));
  // The peer that has not raised its version gets a snapshot with the version.
  CHECK_FALSE(first.m_items.ChangesSince(kTopic, Version(4)));
  CHECK(first.m_items.ChangesSince(kTopic, Version(20)));
}

TEST_CASE("fingerprints of copies with other items or epochs differ")
{
  Fixture fixture;
  fixture.m_items.Apply(kTopic,
                        kEpoch,
                        { { .m_key = "a", .m_value = "1", .m_revision = 4 },
                          { .m_key = "b", .m_value = "1", .m_revision = 5 } });
  const auto before = fixture.m_items.FingerprintOf(kTopic);
  CHECK_FALSE(fixture.m_items.ShouldFetch(kTopic, Version(5), before));
  const TopicVersion restored{ .m_epoch = StoreEpoch(2), .m_revision = 9 };
  CHECK(fixture.m_items.ShouldFetch(kTopic, restored, before));
  fixture.m_items.Apply(kTopic, kEpoch, { { .m_key = "a", .m_revision = 6 } });
  CHECK(fixture.m_items.FingerprintOf(kTopic) != before);
  // The revisions of the items are unknown.
  fixture.m_items.Replace(
    kTopic,
    { .m_version = Version(8), .m_items = { { "b", "1" } } },
    RemovalReason::Published);
  CHECK_FALSE(fixture.m_items.FingerprintOf(kTopic));
}

} // namespace
} // namespace rattanweir
