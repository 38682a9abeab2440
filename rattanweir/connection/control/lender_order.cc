#include "rattanweir/connection/control/lender_order.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

namespace rattanweir {
namespace {

enum class Distance : std::uint8_t
{
  LocalZone,
  LocalRegion,
  OtherRegion,
};

struct Candidate
{
  Distance m_distance = Distance::OtherRegion;
  std::uint64_t m_hash = 0;
  const InstanceId* m_id = nullptr;

  friend bool operator<(const Candidate& aLeft, const Candidate& aRight)
  {
    return std::pair(aLeft.m_distance, aLeft.m_hash) <
           std::pair(aRight.m_distance, aRight.m_hash);
  }
};

Distance
DistanceOf(const InstanceRecord& aSelf, const InstanceRecord& aPeer)
{
  if (aPeer.m_region != aSelf.m_region) {
    return Distance::OtherRegion;
  }
  return aPeer.m_zone == aSelf.m_zone ? Distance::LocalZone
                                      : Distance::LocalRegion;
}

} // namespace

std::vector<InstanceId>
LendersByDistance(const Membership& aMembership,
                  const LenderOrderOptions& aOptions)
{
  const std::optional<InstanceRecord> self = aMembership.Self();
  if (!self) {
    return {};
  }
  const std::string borrower =
    self->m_id.Value() + '\n' + aOptions.m_clientAccount.Value();
  const std::uint64_t seed = XXH64(borrower.data(), borrower.size(), 0);
  std::vector<Candidate> candidates;
  aMembership.ForEachUsablePeer([&](const InstanceRecord& aPeer) {
    const std::string& id = aPeer.m_id.Value();
    candidates.push_back({ .m_distance = DistanceOf(*self, aPeer),
                           .m_hash = XXH64(id.data(), id.size(), seed),
                           .m_id = &aPeer.m_id });
  });
  const std::size_t first = std::min(aOptions.m_skipped, candidates.size());
  const std::size_t last =
    first + std::min(aOptions.m_max, candidates.size() - first);
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(last),
                    candidates.end());
  std::vector<InstanceId> lenders;
  for (std::size_t index = first; index < last; ++index) {
    lenders.push_back(*candidates[index].m_id);
  }
  return lenders;
}

} // namespace rattanweir
