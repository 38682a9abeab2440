#include "rattanweir/process/published/published_items.h"

#include <xxhash.h>

#include <utility>

namespace rattanweir {
namespace {

// Number of changes retained per topic for peers that lag behind.
constexpr std::size_t kMaxChangesKept = 64;

} // namespace

void
PublishedItems::OnChange(const TopicId& aTopic,
                         std::function<void(const ItemChange&)> aListener)
{
  m_listeners[aTopic] = std::move(aListener);
}

bool
PublishedItems::Replace(const TopicId& aTopic,
                        TopicSnapshot aSnapshot,
                        RemovalReason aReason)
{
  TopicSnapshot& current = m_topics[aTopic];
  if (aSnapshot.m_version < current.m_version) {
    return false;
  }
  const bool isRestored =
    current.m_version != TopicVersion() &&
    aSnapshot.m_version.m_epoch != current.m_version.m_epoch;
  if (isRestored) {
    aReason = RemovalReason::Lapsed;
  }
  m_histories[aTopic] = { .m_baseRevision = aSnapshot.m_version.m_revision };
  const TopicSnapshot previous = std::exchange(current, std::move(aSnapshot));
  UpdateFingerprint(aTopic);
  for (const auto& [key, value] : previous.m_items) {
    if (!current.m_items.contains(key)) {
      NotifyListener(
        aTopic,
        { .m_key = key, .m_removal = aReason, .m_isRestored = isRestored });
    }
  }
  for (const auto& [key, value] : current.m_items) {
    const auto before = previous.m_items.find(key);
    if (before == previous.m_items.end() || before->second != value) {
      NotifyListener(
        aTopic, { .m_key = key, .m_value = value, .m_isRestored = isRestored });
    }
  }
  return true;
}

std::size_t
PublishedItems::Apply(const TopicId& aTopic,
                      StoreEpoch aEpoch,
                      const std::vector<ItemChange>& aChanges)
{
  const auto [found, isNew] = m_topics.try_emplace(aTopic);
  TopicSnapshot& current = found->second;
  if (isNew) {
    current.m_version.m_epoch = aEpoch;
  }
  if (current.m_version.m_epoch != aEpoch) {
    return 0;
  }
  History& history = m_histories[aTopic];
  std::size_t applied = 0;
  for (const ItemChange& change : aChanges) {
    if (change.m_revision <= current.m_version.m_revision) {
      continue;
    }
    ++applied;
    current.m_version.m_revision = change.m_revision;
    history.m_changes.push_back(change);
    if (change.m_value) {
      current.m_items[change.m_key] = *change.m_value;
      current.m_revisions[change.m_key] = change.m_revision;
    } else {
      current.m_items.erase(change.m_key);
      current.m_revisions.erase(change.m_key);
    }
    NotifyListener(aTopic, change);
  }
  while (history.m_changes.size() > kMaxChangesKept) {
    history.m_baseRevision = history.m_changes.front().m_revision;
    history.m_changes.pop_front();
  }
  if (applied > 0) {
    UpdateFingerprint(aTopic);
  }
  return applied;
}

std::optional<std::vector<ItemChange>>
PublishedItems::ChangesSince(const TopicId& aTopic,
                             const TopicVersion& aVersion) const
{
  const auto history = m_histories.find(aTopic);
  if (history == m_histories.end() ||
      aVersion.m_epoch != VersionOf(aTopic).m_epoch ||
      aVersion.m_revision < history->second.m_baseRevision) {
    return std::nullopt;
  }
  std::vector<ItemChange> changes;
  for (const ItemChange& change : history->second.m_changes) {
    if (change.m_revision > aVersion.m_revision) {
      changes.push_back(change);
    }
  }
  // A peer of an earlier release does not raise the version of an equal copy;
  // without a snapshot it would ask for these changes again and again.
  if (changes.empty() && aVersion < VersionOf(aTopic)) {
    return std::nullopt;
  }
  return changes;
}

TopicVersion
PublishedItems::VersionOf(const TopicId& aTopic) const
{
  const TopicSnapshot* snapshot = Find(aTopic);
  return snapshot == nullptr ? TopicVersion() : snapshot->m_version;
}

const TopicSnapshot*
PublishedItems::Find(const TopicId& aTopic) const
{
  const auto found = m_topics.find(aTopic);
  return found == m_topics.end() ? nullptr : &found->second;
}

std::map<TopicId, TopicVersion>
PublishedItems::Versions() const
{
  std::map<TopicId, TopicVersion> versions;
  for (const auto& [topic, snapshot] : m_topics) {
    versions.emplace(topic, snapshot.m_version);
  }
  return versions;
}

std::optional<TopicFingerprint>
PublishedItems::FingerprintOf(const TopicId& aTopic) const
{
  const auto found = m_fingerprints.find(aTopic);
  return found == m_fingerprints.end() ? std::nullopt
                                       : std::optional(found->second);
}

bool
PublishedItems::ShouldFetch(
  const TopicId& aTopic,
  const TopicVersion& aPeerVersion,
  const std::optional<TopicFingerprint>& aPeerFingerprint)
{
  const TopicVersion known = VersionOf(aTopic);
  if (aPeerVersion <= known) {
    return false;
  }
  const bool isEqual = aPeerFingerprint &&
                       aPeerFingerprint == FingerprintOf(aTopic) &&
                       aPeerVersion.m_epoch == known.m_epoch;
  if (isEqual) {
    m_topics[aTopic].m_version = aPeerVersion;
  }
  return !isEqual;
}

void
PublishedItems::UpdateFingerprint(const TopicId& aTopic)
{
  const TopicSnapshot& topic = m_topics[aTopic];
  if (topic.m_revisions.size() != topic.m_items.size()) {
    m_fingerprints.erase(aTopic);
    return;
  }
  std::uint64_t hash = topic.m_items.size();
  for (const auto& [key, revision] : topic.m_revisions) {
    hash = XXH64(key.data(), key.size(), hash);
    hash = XXH64(&revision, sizeof(revision), hash);
  }
  m_fingerprints[aTopic] = TopicFingerprint(hash);
}

void
PublishedItems::NotifyListener(const TopicId& aTopic,
                               const ItemChange& aChange) const
{
  const auto listener = m_listeners.find(aTopic);
  if (listener != m_listeners.end()) {
    listener->second(aChange);
  }
}

} // namespace rattanweir
