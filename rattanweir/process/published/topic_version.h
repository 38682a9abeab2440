// Users' platform (settings with `fleet`): positions in the history of what the
// platform's store publishes.
//
//   const TopicVersion before{ .m_epoch = StoreEpoch(1), .m_revision = 60 };
//   const TopicVersion after{ .m_epoch = StoreEpoch(2), .m_revision = 4 };
//   assert(before < after);

#pragma once

#include "rattanweir/base/ids/ids.h"

#include <compare>
#include <cstdint>

namespace rattanweir {

// Increases each time the store continues from an older copy of its contents.
// The store then assigns the lost revisions again, so that revisions of
// different epochs are not comparable.
using StoreEpoch = Number<struct StoreEpochTag>;

// Hash of the keys of a topic's items and of the revisions of their latest
// changes. Copies of one epoch with equal fingerprints have the same items.
using TopicFingerprint = Number<struct TopicFingerprintTag>;

// A position in the history of a topic; a higher one is newer.
struct TopicVersion
{
  StoreEpoch m_epoch;
  // Revision up to which every change of the topic is contained, removals
  // included. The store numbers the changes of all topics in one sequence.
  std::uint64_t m_revision = 0;

  friend auto operator<=>(const TopicVersion&, const TopicVersion&) = default;
};

} // namespace rattanweir
