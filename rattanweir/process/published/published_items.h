// This instance's copy of what the platform publishes, topic by topic.
//
//   PublishedItems items({ .m_clock = clock });
//   items.OnChange(topic, [](const ItemChange& aChange) { ... });
//   items.Replace(topic, all, asOf, Removal::Published);
//   items.Apply(topic, changes);
//
// Each instance reads the platform itself, and one that the platform turns away
// takes over a peer's copy if that is newer: revisions only go forward. What
// the values mean is decided by whoever listens. For one thread.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/process/backend_registry/backend_registry.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rattanweir {

using TopicId = Id<struct TopicTag>;

// One item as it is published now; without a value it was removed.
struct ItemChange
{
  std::string m_key;
  std::optional<std::string> m_value;
  // How far a removal can be trusted.
  RemovalReason m_removal = RemovalReason::Published;
  std::uint64_t m_revision = 0;
};

// A whole topic.
struct TopicSnapshot
{
  // The newest change of one of its items that is known. The platform counts
  // all changes of all topics in one number.
  std::uint64_t m_revision = 0;
  std::map<std::string, std::string> m_items;
};

class PublishedItems
{
public:
  // Runs for each item of the topic that changes.
  void OnChange(const TopicId& aTopic,
                std::function<void(const ItemChange&)> aFunction);

  // Takes a whole topic over as it stood at the revision `aAsOf`. One that is
  // older than the newest known change changes nothing.
  void Replace(const TopicId& aTopic,
               TopicSnapshot aCopy,
               std::uint64_t aAsOf,
               RemovalReason aRemoval);

  // Takes changes over, in the order of their revisions, without a gap after
  // what is known. Those that are known already are passed over: the platform
  // and a peer may tell the same.
  void Apply(const TopicId& aTopic, const std::vector<ItemChange>& aChanges);

  // The topic's revision, or 0 before the first copy.
  std::uint64_t RevisionOf(const TopicId& aTopic) const;

  const TopicSnapshot* Find(const TopicId& aTopic) const;

  // What changed since that revision, or nothing if it is too long ago.
  std::optional<std::vector<ItemChange>> ChangesSince(
    const TopicId& aTopic,
    std::uint64_t aRevision) const;

  std::map<TopicId, std::uint64_t> Revisions() const;

private:
  // The newest changes of a topic, oldest first, and the revision that they
  // begin after.
  struct History
  {
    std::uint64_t m_beginsAfter = 0;
    std::deque<ItemChange> m_changes;
  };

  void Tell(const TopicId& aTopic, const ItemChange& aChange) const;

  std::map<TopicId, TopicSnapshot> m_topics;
  std::map<TopicId, History> m_histories;
  std::map<TopicId, std::function<void(const ItemChange&)>> m_listeners;
};

} // namespace rattanweir
