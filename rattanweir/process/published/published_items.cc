#include "rattanweir/process/published/published_items.h"

#include <algorithm>
#include <utility>

namespace rattanweir {
namespace {

// Changes that are kept of one topic, for peers that are behind.
constexpr std::size_t kMaxChangesKept = 64;

} // namespace

void
PublishedItems::OnChange(const TopicId& aTopic,
                         std::function<void(const ItemChange&)> aFunction)
{
  m_listeners[aTopic] = std::move(aFunction);
}

void
PublishedItems::Replace(const TopicId& aTopic,
                        TopicCopy aCopy,
                        std::uint64_t aAsOf,
                        Removal aRemoval)
{
  TopicCopy& known = m_topics[aTopic];
  if (aAsOf < known.m_revision) {
    return;
  }
  aCopy.m_revision = std::max(aCopy.m_revision, known.m_revision);
  m_histories[aTopic] = { .m_beginsAfter = aCopy.m_revision };
  const TopicCopy former = std::exchange(known, std::move(aCopy));
  for (const auto& [key, value] : former.m_items) {
    if (!known.m_items.contains(key)) {
      Tell(aTopic, { .m_key = key, .m_removal = aRemoval });
    }
  }
  for (const auto& [key, value] : known.m_items) {
    const auto before = former.m_items.find(key);
    if (before == former.m_items.end() || before->second != value) {
      Tell(aTopic, { .m_key = key, .m_value = value });
    }
  }
}

void
PublishedItems::Apply(const TopicId& aTopic,
                      const std::vector<ItemChange>& aChanges)
{
  TopicCopy& known = m_topics[aTopic];
  History& history = m_histories[aTopic];
  for (const ItemChange& change : aChanges) {
    if (change.m_revision <= known.m_revision) {
      continue;
    }
    known.m_revision = change.m_revision;
    history.m_changes.push_back(change);
    if (change.m_value) {
      known.m_items[change.m_key] = *change.m_value;
    } else {
      known.m_items.erase(change.m_key);
    }
    Tell(aTopic, change);
  }
  while (history.m_changes.size() > kMaxChangesKept) {
    history.m_beginsAfter = history.m_changes.front().m_revision;
    history.m_changes.pop_front();
  }
}

std::optional<std::vector<ItemChange>>
PublishedItems::ChangesSince(const TopicId& aTopic,
                             std::uint64_t aRevision) const
{
  const auto history = m_histories.find(aTopic);
  if (history == m_histories.end() ||
      aRevision < history->second.m_beginsAfter) {
    return std::nullopt;
  }
  std::vector<ItemChange> changes;
  for (const ItemChange& change : history->second.m_changes) {
    if (change.m_revision > aRevision) {
      changes.push_back(change);
    }
  }
  return changes;
}

std::uint64_t
PublishedItems::RevisionOf(const TopicId& aTopic) const
{
  const TopicCopy* topic = Find(aTopic);
  return topic == nullptr ? 0 : topic->m_revision;
}

const TopicCopy*
PublishedItems::Find(const TopicId& aTopic) const
{
  const auto found = m_topics.find(aTopic);
  return found == m_topics.end() ? nullptr : &found->second;
}

std::map<TopicId, std::uint64_t>
PublishedItems::Revisions() const
{
  std::map<TopicId, std::uint64_t> revisions;
  for (const auto& [topic, copy] : m_topics) {
    revisions.emplace(topic, copy.m_revision);
  }
  return revisions;
}

void
PublishedItems::Tell(const TopicId& aTopic, const ItemChange& aChange) const
{
  const auto listener = m_listeners.find(aTopic);
  if (listener != m_listeners.end()) {
    listener->second(aChange);
  }
}

} // namespace rattanweir
