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
  OwnZone,
  OwnRegion,
  OtherRegion,
};

struct Ranked
{
  Distance m_distance = Distance::OtherRegion;
  std::uint64_t m_rank = 0;
  const InstanceId* m_id = nullptr;

  friend bool operator<(const Ranked& aLeft, const Ranked& aRight)
  {
    return std::pair(aLeft.m_distance, aLeft.m_rank) <
           std::pair(aRight.m_distance, aRight.m_rank);
  }
};

Distance
DistanceOf(const InstanceRecord& aSelf, const InstanceRecord& aPeer)
{
  if (aPeer.m_region != aSelf.m_region) {
    return Distance::OtherRegion;
  }
  return aPeer.m_zone == aSelf.m_zone ? Distance::OwnZone : Distance::OwnRegion;
}

} // namespace

std::vector<InstanceId>
LendersInOrder(const Membership& aMembership,
               const LenderOrderOptions& aOptions)
{
  const std::optional<InstanceRecord> self = aMembership.Self();
  if (!self) {
    return {};
  }
  const std::string borrower =
    self->m_id.Value() + '\n' + aOptions.m_clientAccount.Value();
  const std::uint64_t seed = XXH64(borrower.data(), borrower.size(), 0);
  std::vector<Ranked> ranked;
  aMembership.ForEachUsablePeer([&](const InstanceRecord& aPeer) {
    const std::string& id = aPeer.m_id.Value();
    ranked.push_back({ .m_distance = DistanceOf(*self, aPeer),
                       .m_rank = XXH64(id.data(), id.size(), seed),
                       .m_id = &aPeer.m_id });
  });
  const std::size_t first = std::min(aOptions.m_skipped, ranked.size());
  const std::size_t last =
    first + std::min(aOptions.m_max, ranked.size() - first);
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(last),
                    ranked.end());
  std::vector<InstanceId> lenders;
  for (std::size_t place = first; place < last; ++place) {
    lenders.push_back(*ranked[place].m_id);
  }
  return lenders;
}

} // namespace rattanweir
