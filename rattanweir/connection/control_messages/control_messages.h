// The messages of control between instances as JSON values.
//
//   Json::Value parameters = ToJson(heartbeat);
//   Heartbeat same = HeartbeatFromJson(parameters);
//
// The readers take every field or none: a missing field, one of the wrong type
// or one out of range throws RpcError that names it. Durations travel as whole
// milliseconds.

#pragma once

#include "rattanweir/process/membership/membership.h"
#include "rattanweir/process/rate/rate_ledger.h"
#include "rattanweir/version/catalog/catalog.h"

#include <json/value.h>

#include <map>

namespace rattanweir {

// The names of the methods.
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

// The parameters of a call for one section.
Json::Value
ToJson(SectionKind aKind);
SectionKind
SectionKindFromJson(const Json::Value& aValue);

} // namespace rattanweir
