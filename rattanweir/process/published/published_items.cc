#include "rattanweir/process/published/published_items.h"

#include <algorithm>
#include <utility>

namespace rattanweir {

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
                      const std::vector<ItemChange>& aChanges,
                      std::uint64_t aRevision)
{
  TopicCopy& known = m_topics[aTopic];
  known.m_revision = std::max(known.m_revision, aRevision);
  for (const ItemChange& change : aChanges) {
    if (change.m_value) {
      known.m_items[change.m_key] = *change.m_value;
    } else {
      known.m_items.erase(change.m_key);
    }
    Tell(aTopic, change);
  }
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
