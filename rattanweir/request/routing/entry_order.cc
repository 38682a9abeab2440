#include "rattanweir/request/routing/entry_order.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace rattanweir {

std::uint64_t
RendezvousWeight(const InstanceId& aInstance, const std::string& aAccount)
{
  const std::string text = aInstance.Value() + '\0' + aAccount;
  return XXH64(text.data(), text.size(), 0);
}

std::vector<InstanceRecord>
OrderEntries(std::vector<InstanceRecord> aInstances,
             const RegionId& aOwnRegion,
             const std::string& aAccount)
{
  const auto rank = [&](const InstanceRecord& aRecord) {
    const bool isElsewhere = aRecord.m_region != aOwnRegion;
    // Regions other than the own one keep together, in their own order.
    const std::string& region = aRecord.m_region.Value();
    return std::make_tuple(
      isElsewhere, region, ~RendezvousWeight(aRecord.m_id, aAccount));
  };
  std::sort(aInstances.begin(),
            aInstances.end(),
            [&](const InstanceRecord& aLeft, const InstanceRecord& aRight) {
              return rank(aLeft) < rank(aRight);
            });
  return aInstances;
}

} // namespace rattanweir
