// Users' platform (settings with `fleet`): decides whether what some instances
// know of the streams with a common key is all that any instance can have
// known.
//
//   std::vector<OriginHolder> holders = ...;
//   if (IsConclusive(holders)) ...
//
// Each stream is known to the instance that began it and to its partners
// (`PartnersOf`), of which one is in another region if there is one. An
// instance that does not answer, or whose memory does not reach back as far as
// a stream may live, may have known another origin. The others know all of them
// unless all holders of a stream can be among such instances.
//
// An instance that is silent may still run and begin streams that it cannot
// make known here: in a small fleet, those that answer may all be on this side
// of a cut. Plain values in and out; no I/O.

#pragma once

#include "rattanweir/base/ids/ids.h"

#include <cstddef>
#include <span>

namespace rattanweir {

// Number of instances that know each stream, if the fleet has as many.
inline constexpr std::size_t kOriginHolders = 3;

// An instance that may have begun a stream or was told of it.
struct OriginHolder
{
  RegionId m_region;
  // It has answered, and its memory reaches back far enough.
  bool m_isCovered = false;
  // It has not answered, and is not known to have ended.
  bool m_isSilent = false;
};

// In a fleet of several regions, true if the holders that are not covered are
// in one region and not all of that region. In a fleet of one region, true if
// they are fewer than know each stream, and those that are silent fewer than
// know a stream of an instance on the other side of a cut.
bool
IsConclusive(std::span<const OriginHolder> aHolders);

} // namespace rattanweir
