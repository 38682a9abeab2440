// The messages of gossip between instances as JSON values.
//
//   Json::Value parameters = ToJson(rows);
//   std::vector<FleetMember> same = FleetMembersFromJson(parameters);
//
// The readers take every field or none: a missing field or one of the wrong
// type throws RpcError that names it.

#pragma once

#include "rattanweir/process/fleet/fleet_view.h"
#include "rattanweir/process/published/published_items.h"

#include <json/value.h>

#include <vector>

namespace rattanweir {

// The names of the methods.
inline constexpr char kGossipMethod[] = "gossip";
// The sender's row alone, answered by nothing.
inline constexpr char kAnnounceMethod[] = "news";
inline constexpr char kFetchTopicMethod[] = "fetch_topic";

// The first row is the sender's own.
Json::Value
ToJson(const std::vector<FleetMember>& aRecords);
std::vector<FleetMember>
FleetMembersFromJson(const Json::Value& aValue);

Json::Value
ToJson(const TopicSnapshot& aSnapshot);
TopicSnapshot
TopicSnapshotFromJson(const Json::Value& aValue);

Json::Value
ToJson(const std::vector<ItemChange>& aChanges);
std::vector<ItemChange>
ChangesFromJson(const Json::Value& aValue);

} // namespace rattanweir
