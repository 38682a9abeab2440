// Computes the order in which a caller should try the instances. Used by the
// product's own interface (`request/pipeline`).
//
//   for (const InstanceRecord& entry : OrderEntries(instances, region,
//   account))
//     ...
//
// Instances of the local region come first. Within a region, instances are
// ordered by rendezvous hashing of the client account, so that all callers of
// an account use the same few instances and the account's unused rate shares
// accumulate there.

#pragma once

#include "rattanweir/base/ids/ids.h"
#include "rattanweir/process/membership/membership.h"

#include <string>
#include <vector>

namespace rattanweir {

// Returns the weight of an instance for a client account. Instances are ordered
// by descending weight.
std::uint64_t
RendezvousWeight(const InstanceId& aInstance, const std::string& aAccount);

// Returns the usable instances in the order of preference. `aAccount` is the id
// of the client account, or any text that distributes callers without a key.
std::vector<InstanceRecord>
OrderEntries(std::vector<InstanceRecord> aInstances,
             const RegionId& aLocalRegion,
             const std::string& aAccount);

} // namespace rattanweir
