// Users' platform (settings with `fleet`): this instance's copy of the store's
// published items, grouped by topic.
//
//   PublishedItems items;
//   items.OnChange(topic, [](const ItemChange& aChange) { ... });
//   items.Replace(topic, snapshot, asOf, RemovalReason::Published);
//   items.Apply(topic, epoch, changes);
//
// Each instance reads the store itself; an instance that the store refuses to
// serve applies a peer's copy if that copy is newer. A topic's version never
// decreases. This class does not interpret item values; the listeners do.
//
// Not thread-safe.

#pragma once

#include "rattanweir/base/clock/clock.h"
#include "rattanweir/base/ids/ids.h"
#include "rattanweir/process/backend_registry/backend_registry.h"
#include "rattanweir/process/published/topic_version.h"

#include <cstddef>
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

// A change of one item.
struct ItemChange
{
  std::string m_key;
  // The new value, or nullopt if the item was removed.
  std::optional<std::string> m_value;
  // Why the item was removed; unused for an item with a value.
  RemovalReason m_removal = RemovalReason::Published;
  // 0 in a change that PublishedItems::Replace reports.
  std::uint64_t m_revision = 0;
  // The change was read in the first snapshot of an epoch: it may be older than
  // what was known before, or be undone as soon as the owner writes again.
  bool m_isRestored = false;
};

// All items of a topic.
struct TopicSnapshot
{
  // Version of the latest known change of an item of this topic.
  TopicVersion m_version;
  std::map<std::string, std::string> m_items;
};

class PublishedItems
{
public:
  // Sets the topic's listener, which is called for each item that changes.
  // Replaces an earlier listener.
  void OnChange(const TopicId& aTopic,
                std::function<void(const ItemChange&)> aListener);

  // Replaces all items of a topic by a snapshot taken at `aAsOf`. Ignores a
  // snapshot that is older than the latest known change, and returns whether it
  // was applied. `aReason` is passed to the listener for items that are not in
  // the snapshot. Items that are not in the first snapshot of an epoch have
  // lapsed: their owners may not have written them again yet.
  bool Replace(const TopicId& aTopic,
               TopicSnapshot aSnapshot,
               const TopicVersion& aAsOf,
               RemovalReason aReason);

  // Applies changes of an epoch in ascending order of revision. The changes
  // must follow the topic's revision without a gap. Skips changes that are
  // already known, since the store and a peer may deliver the same ones, and
  // changes of another epoch than the topic's. Returns the number of changes
  // that were applied.
  std::size_t Apply(const TopicId& aTopic,
                    StoreEpoch aEpoch,
                    const std::vector<ItemChange>& aChanges);

  // Returns the topic's version, or the lowest one for a topic that is not
  // known yet.
  TopicVersion VersionOf(const TopicId& aTopic) const;

  // Returns nullptr for a topic that is not known yet.
  const TopicSnapshot* Find(const TopicId& aTopic) const;

  // Returns the changes after that version, or nullopt if they are not all
  // retained any more or the version is of another epoch.
  std::optional<std::vector<ItemChange>> ChangesSince(
    const TopicId& aTopic,
    const TopicVersion& aVersion) const;

  // Returns the version of each known topic.
  std::map<TopicId, TopicVersion> Versions() const;

private:
  // The latest changes of a topic, oldest first.
  struct History
  {
    // m_changes holds every change after this revision.
    std::uint64_t m_baseRevision = 0;
    std::deque<ItemChange> m_changes;
  };

  void NotifyListener(const TopicId& aTopic, const ItemChange& aChange) const;

  std::map<TopicId, TopicSnapshot> m_topics;
  std::map<TopicId, History> m_histories;
  std::map<TopicId, std::function<void(const ItemChange&)>> m_listeners;
};

} // namespace rattanweir
