// Converts the control messages between instances to and from JSON. Used by the
// product's own interface (settings without `fleet`).
//
//   Json::Value parameters = ToJson(heartbeat);
//   Heartbeat same = HeartbeatFromJson(parameters);
//
// All fields are required. The ...FromJson functions throw RpcError with the
// name of the field if it is missing, has the wrong type or is out of range.
// Durations are encoded as integer milliseconds.

#pragma once

#include "rattanweir/process/membership/membership.h"
#include "rattanweir/process/rate/rate_ledger.h"
#include "rattanweir/version/catalog/catalog.h"

#include <json/value.h>

#include <map>

namespace rattanweir {

// JSON-RPC method names.
inline constexpr char kHeartbeatMethod[] = "heartbeat";
inline constexpr char kFetchSectionMethod[] = "fetch_section";
inline constexpr char kBorrowShareMethod[] = "borrow_share";
inline constexpr char kReturnShareMethod[] = "return_share";

Json::Value
ToJson(const Heartbeat& aHeartbeat);
Heartbeat
HeartbeatFromJson(const Json::Value& aValue);

Json::Value
ToJson(const SectionOffer& aOffer);
SectionOffer
SectionOfferFromJson(const Json::Value& aValue);

Json::Value
ToJson(const LeaseRequest& aRequest);
LeaseRequest
LeaseRequestFromJson(const Json::Value& aValue);

Json::Value
ToJson(const LeaseGrant& aGrant);
LeaseGrant
LeaseGrantFromJson(const Json::Value& aValue);

Json::Value
ToJson(const LeaseReturn& aReturn);
LeaseReturn
LeaseReturnFromJson(const Json::Value& aValue);

// Converts the parameters of kFetchSectionMethod.
Json::Value
ToJson(SectionKind aKind);
SectionKind
SectionKindFromJson(const Json::Value& aValue);

} // namespace rattanweir
