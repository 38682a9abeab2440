// Users' platform (settings with `fleet`): writes and reads the gossip messages
// between instances in MessagePack. `gossip_messages` has the JSON form for
// peers of earlier releases.
//
//   WriteRecords(fleet.ChooseRecords(random), writer);
//   std::vector<FleetMember> records = ReadRecords(value, fleet);
//
// The Read functions throw RpcError, which names the field, for an invalid
// value.

#pragma once

#include "rattanweir/connection/packed_rpc/packed_value.h"
#include "rattanweir/process/crash_quarantine/crash_quarantine.h"
#include "rattanweir/process/fleet/fleet_view.h"
#include "rattanweir/process/published/published_items.h"

#include <variant>
#include <vector>

namespace rattanweir {

// The first record is the sender's own.
void
WriteRecords(const std::vector<OutgoingRecord>& aRecords,
             PackedWriter& aWriter);

// Reads the records for `aFleet`. Of those that it knows already, all but the
// first have only their id, incarnation and sequence number, which saves the
// time to read the rest.
std::vector<FleetMember>
ReadRecords(const PackedValue& aValue, const FleetView& aFleet);

void
WriteSuspects(const std::vector<SuspectReport>& aReports,
              PackedWriter& aWriter);
std::vector<SuspectReport>
ReadSuspects(const PackedValue& aValue);

// The changes of a topic, or all of its items.
using TopicUpdate = std::variant<std::vector<ItemChange>, TopicSnapshot>;

void
WriteTopicUpdate(const TopicUpdate& aUpdate, PackedWriter& aWriter);
TopicUpdate
ReadTopicUpdate(const PackedValue& aValue);

} // namespace rattanweir
