// Users' platform (settings with `fleet`): this instance's copy of the store's
// published items, grouped by topic.
//
//   PublishedItems items;
//   items.OnChange(topic, [](const ItemChange& aChange) { ... });
//   items.Replace(topic, snapshot, RemovalReason::Published);
//   items.Apply(topic, epoch, changes);
//
// Each instance reads the store itself; an instance that the store refuses to
// serve applies a peer's copy if that copy is newer. A topic's version says up
// to where the copy is complete: a snapshot from the store has the revision at
// which it was taken, since its items do not show what was removed before. The
// version never decreases. Copies with different versions may be equal, which
// their fingerprints show. This class does not interpret item values; the
// listeners do.
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
  TopicVersion m_version;
  std::map<std::string, std::string> m_items;
  // Revision of the latest change of each item. Empty in a copy that comes from
  // a peer of an earlier release.
  std::map<std::string, std::uint64_t> m_revisions;
};

class PublishedItems
{
public:
  // Sets the topic's listener, which is called for each item that changes.
  // Replaces an earlier listener.
  void OnChange(const TopicId& aTopic,
                std::function<void(const ItemChange&)> aListener);

  // Replaces all items of a topic. Ignores a snapshot that is older than the
  // topic's version, and returns whether it was applied. `aReason` is passed to
  // the listener for items that are not in the snapshot. Items that are not in
  // the first snapshot of an epoch have lapsed: their owners may not have
  // written them again yet.
  bool Replace(const TopicId& aTopic,
               TopicSnapshot aSnapshot,
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
  // retained any more, if they do not lead to the topic's version or if the
  // version is of another epoch.
  std::optional<std::vector<ItemChange>> ChangesSince(
    const TopicId& aTopic,
    const TopicVersion& aVersion) const;

  // Returns the version of each known topic.
  std::map<TopicId, TopicVersion> Versions() const;

  // Returns nullopt for a topic that is not known yet, or whose items have
  // unknown revisions.
  std::optional<TopicFingerprint> FingerprintOf(const TopicId& aTopic) const;

  // Returns whether a peer's copy is newer and has other items. If it is newer
  // and has the same items, raises the topic's version to the peer's.
  bool ShouldFetch(const TopicId& aTopic,
                   const TopicVersion& aPeerVersion,
                   const std::optional<TopicFingerprint>& aPeerFingerprint);

private:
  // The latest changes of a topic, oldest first.
  struct History
  {
    // m_changes holds every change after this revision.
    std::uint64_t m_baseRevision = 0;
    std::deque<ItemChange> m_changes;
  };

  void UpdateFingerprint(const TopicId& aTopic);
  void NotifyListener(const TopicId& aTopic, const ItemChange& aChange) const;

  std::map<TopicId, TopicSnapshot> m_topics;
  std::map<TopicId, History> m_histories;
  std::map<TopicId, TopicFingerprint> m_fingerprints;
  std::map<TopicId, std::function<void(const ItemChange&)>> m_listeners;
};

} // namespace rattanweir
