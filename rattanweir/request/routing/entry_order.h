// The order in which a caller should use the instances.
//
//   for (const InstanceRecord& entry : OrderEntries(question)) ...
//
// Instances of the own region go first. Within a region the order is by
// rendezvous hash of the client account: all callers of one account meet at
// the same few instances, where the account's idle rate shares then gather.

#pragma once

#include "rattanweir/base/ids/ids.h"
#include "rattanweir/process/membership/membership.h"

#include <string>
#include <vector>

namespace rattanweir {

// The weight of an instance for one client account; the highest goes first.
std::uint64_t
RendezvousWeight(const InstanceId& aInstance, const std::string& aAccount);

// Orders usable instances. `aAccount` is the client account's id, or any text
// that spreads callers who show no key.
std::vector<InstanceRecord>
OrderEntries(std::vector<InstanceRecord> aInstances,
             const RegionId& aOwnRegion,
             const std::string& aAccount);

} // namespace rattanweir
