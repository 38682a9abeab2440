// Users' platform (settings with `fleet`): converts the gossip messages between
// instances to and from JSON.
//
//   Json::Value parameters = ToJson(records);
//   std::vector<FleetMember> decoded = FleetMembersFromJson(parameters);
//
// The ...FromJson functions throw RpcError, which names the field, if a
// required field is missing or a field has the wrong type.

#pragma once

#include "rattanweir/process/crash_quarantine/crash_quarantine.h"
#include "rattanweir/process/fleet/fleet_view.h"
#include "rattanweir/process/published/published_items.h"

#include <json/value.h>

#include <vector>

namespace rattanweir {

// RPC method names.
inline constexpr char kGossipMethod[] = "gossip";
// Carries the sender's record only; the result is an empty object.
inline constexpr char kAnnounceMethod[] = "news";
// Carries the sender's quarantine only; the result is an empty object.
inline constexpr char kQuarantineMethod[] = "quarantine";
inline constexpr char kFetchTopicMethod[] = "fetch_topic";

// The first record is the sender's own.
Json::Value
ToJson(const std::vector<FleetMember>& aRecords);
std::vector<FleetMember>
FleetMembersFromJson(const Json::Value& aValue);

// Adds the fields `quarantine`, for prompt parts, and `quarantined_requests` to
// a message, unless there is nothing to tell, and reads them. Earlier releases
// know only the first.
void
AddQuarantine(const std::vector<SuspectReport>& aReports,
              Json::Value& aMessage);
std::vector<SuspectReport>
QuarantineFromJson(const Json::Value& aMessage);

// Reads the field `epoch`, 0 if it is missing as in messages of earlier
// releases, and the given field for the revision.
TopicVersion
VersionFromJson(const Json::Value& aValue, const char* aRevisionName);

Json::Value
ToJson(const TopicSnapshot& aSnapshot);
TopicSnapshot
TopicSnapshotFromJson(const Json::Value& aValue);

Json::Value
ToJson(const std::vector<ItemChange>& aChanges);
std::vector<ItemChange>
ChangesFromJson(const Json::Value& aValue);

} // namespace rattanweir
