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
             const RegionId& aLocalRegion,
             const std::string& aAccount)
{
  const auto key = [&](const InstanceRecord& aRecord) {
    const bool isRemote = aRecord.m_region != aLocalRegion;
    // Instances of the same remote region stay together; remote regions are
    // ordered by name.
    const std::string& region = aRecord.m_region.Value();
    return std::make_tuple(
      isRemote, region, ~RendezvousWeight(aRecord.m_id, aAccount));
  };
  std::sort(aInstances.begin(),
            aInstances.end(),
            [&](const InstanceRecord& aLeft, const InstanceRecord& aRight) {
              return key(aLeft) < key(aRight);
            });
  return aInstances;
}

} // namespace rattanweir
