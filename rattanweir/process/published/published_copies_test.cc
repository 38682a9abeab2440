#include "rattanweir/base/random/random.h"
#include "rattanweir/process/published/published_items.h"

#include <catch2/catch.hpp>

#include <array>
#include <cstdlib>
#include <memory>

namespace rattanweir {
namespace {

const TopicId kTopic("servers/");
constexpr StoreEpoch kEpoch(1);
constexpr std::size_t kCopies = 5;
constexpr int kSteps = 400;
constexpr unsigned kKeys = 6;

struct Item
{
  std::string m_value;
  std::uint64_t m_revision = 0;
};
using Items = std::map<std::string, Item>;

std::map<std::string, std::string>
ValuesOf(const Items& aItems)
{
  std::map<std::string, std::string> values;
  for (const auto& [key, item] : aItems) {
    values.emplace(key, item.m_value);
  }
  return values;
}

// The contents of a store after each revision.
class ModelStore
{
public:
  void Put(const std::string& aKey)
  {
    const std::uint64_t revision = Revision() + 1;
    const std::string value = std::to_string(revision);
    Items next = m_states.back();
    next[aKey] = { .m_value = value, .m_revision = revision };
    m_changes.push_back(
      { .m_key = aKey, .m_value = value, .m_revision = revision });
    m_states.push_back(std::move(next));
  }

  void Remove(const std::string& aKey)
  {
    Items next = m_states.back();
    if (next.erase(aKey) > 0) {
      m_changes.push_back({ .m_key = aKey, .m_revision = Revision() + 1 });
    }
    m_states.push_back(std::move(next));
  }

  // Changes an item of another topic.
  void ChangeOther() { m_states.push_back(Items(m_states.back())); }

  std::uint64_t Revision() const { return m_states.size(); }
  const Items& StateAt(std::uint64_t aRevision) const
  {
    return m_states.at(aRevision - 1);
  }
  std::vector<ItemChange> ChangesAfter(std::uint64_t aRevision) const
  {
    std::vector<ItemChange> changes;
    for (const ItemChange& change : m_changes) {
      if (change.m_revision > aRevision) {
        changes.push_back(change);
      }
    }
    return changes;
  }

  // Watches from an earlier revision need a snapshot.
  std::uint64_t m_oldestRevision = 0;

private:
  std::vector<Items> m_states{ Items() };
  std::vector<ItemChange> m_changes;
};

// What one process knows.
struct Copy
{
  PublishedItems m_items;
  // Up to where the process has read the store.
  std::optional<std::uint64_t> m_position;
  TopicVersion m_highestVersion;
};

class Copies
{
public:
  explicit Copies(std::uint64_t aSeed, bool aHasPages)
    : m_random(aSeed)
    , m_hasPages(aHasPages)
  {
    for (auto& copy : m_copies) {
      copy = std::make_unique<Copy>();
    }
  }

  void Step()
  {
    const std::string key(1, static_cast<char>('a' + Draw(kKeys)));
    std::unique_ptr<Copy>& copy = m_copies[Draw(kCopies)];
    switch (Draw(10)) {
      case 0:
        m_store.Put(key);
        break;
      case 1:
      case 2:
        m_store.Remove(key);
        break;
      case 3:
        m_store.ChangeOther();
        break;
      case 4:
        m_store.m_oldestRevision = m_store.Revision();
        break;
      case 5:
        copy = std::make_unique<Copy>();
        break;
      case 6:
        ReadStore(*copy);
        break;
      default:
        Exchange(*m_copies[Draw(kCopies)], *copy, Draw(4) == 0);
        break;
    }
  }

  void ReadStore(Copy& aCopy)
  {
    if (!aCopy.m_position || *aCopy.m_position < m_store.m_oldestRevision) {
      ReadSnapshot(aCopy);
      return;
    }
    aCopy.m_items.Apply(
      kTopic, kEpoch, m_store.ChangesAfter(*aCopy.m_position));
    aCopy.m_position = m_store.Revision();
  }

  // Gives `aTo` what it lacks of the copy `aFrom`. Peers of earlier releases
  // have no fingerprint.
  static void Exchange(const Copy& aFrom, Copy& aTo, bool aIsEarlierRelease)
  {
    const TopicVersion known = aTo.m_items.VersionOf(kTopic);
    const auto fingerprint =
      aIsEarlierRelease ? std::nullopt : aFrom.m_items.FingerprintOf(kTopic);
    if (!aTo.m_items.ShouldFetch(
          kTopic, aFrom.m_items.VersionOf(kTopic), fingerprint)) {
      return;
    }
    if (const auto changes = aFrom.m_items.ChangesSince(kTopic, known)) {
      aTo.m_items.Apply(kTopic, known.m_epoch, *changes);
      return;
    }
    TopicSnapshot snapshot = *aFrom.m_items.Find(kTopic);
    if (aIsEarlierRelease) {
      snapshot.m_revisions.clear();
    }
    aTo.m_items.Replace(kTopic, std::move(snapshot), RemovalReason::Published);
  }

  // One copy reads the store, and all exchange what they know.
  void Settle()
  {
    ReadStore(*m_copies[0]);
    for (const auto& copy : m_copies) {
      Exchange(*m_copies[0], *copy, false);
    }
  }

  void CheckVersions()
  {
    for (const auto& copy : m_copies) {
      const TopicVersion version = copy->m_items.VersionOf(kTopic);
      REQUIRE(version >= copy->m_highestVersion);
      copy->m_highestVersion = version;
      if (m_hasPages || version == TopicVersion()) {
        continue;
      }
      REQUIRE(copy->m_items.Find(kTopic)->m_items ==
              ValuesOf(m_store.StateAt(version.m_revision)));
    }
  }

  void CheckSettled() const
  {
    for (const auto& copy : m_copies) {
      REQUIRE(copy->m_items.Find(kTopic) != nullptr);
      CHECK(copy->m_items.Find(kTopic)->m_items ==
            ValuesOf(m_store.StateAt(m_store.Revision())));
    }
  }

private:
  std::size_t Draw(std::size_t aCount)
  {
    return UniformIndex(m_random, aCount);
  }

  void ReadSnapshot(Copy& aCopy)
  {
    const std::uint64_t asOf = m_store.Revision();
    const std::string secondPage(
      1, static_cast<char>('a' + (m_hasPages ? Draw(kKeys) : kKeys)));
    TopicSnapshot snapshot{ .m_version = { .m_epoch = kEpoch,
                                           .m_revision = asOf } };
    const auto add = [&](bool aIsSecond) {
      for (const auto& [key, item] : m_store.StateAt(m_store.Revision())) {
        if ((key >= secondPage) == aIsSecond) {
          snapshot.m_items.emplace(key, item.m_value);
          snapshot.m_revisions.emplace(key, item.m_revision);
        }
      }
    };
    add(false);
    if (m_hasPages) {
      m_store.Put("a");
      m_store.Remove(secondPage);
    }
    add(true);
    aCopy.m_items.Replace(
      kTopic, std::move(snapshot), RemovalReason::Published);
    aCopy.m_position = asOf;
    if (m_hasPages) {
      ReadStore(aCopy);
    }
  }

  RandomEngine m_random;
  bool m_hasPages;
  ModelStore m_store;
  std::array<std::unique_ptr<Copy>, kCopies> m_copies;
};

std::uint64_t
Seeds()
{
  const char* text = std::getenv("RATTANWEIR_SOAK_SEEDS");
  return text == nullptr ? 40 : std::strtoull(text, nullptr, 10);
}

// Guards against a copy that vouched for removals which it had not seen.
TEST_CASE("after any order of reads, restarts and exchanges each copy equals "
          "the store's contents at its version")
{
  for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
    for (const bool hasPages : { false, true }) {
      INFO("seed " << seed << (hasPages ? ", snapshots of two pages" : ""));
      Copies copies(seed, hasPages);
      for (int step = 0; step < kSteps; ++step) {
        copies.Step();
        copies.CheckVersions();
      }
      copies.Settle();
      copies.CheckSettled();
    }
  }
}

} // namespace
} // namespace rattanweir
