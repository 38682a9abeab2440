#include "rattanweir/connection/control_messages/control_messages.h"

#include "rattanweir/connection/rpc/rpc.h"

#include <chrono>
#include <cmath>
#include <limits>
#include <string>

namespace rattanweir {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Exceeds every lease term and heartbeat interval, and prevents overflow in
// arithmetic on durations.
constexpr milliseconds kMaxDuration = std::chrono::hours(24);

[[noreturn]] void
ThrowInvalidField(const char* aName, const char* aExpected)
{
  throw RpcError(std::string(aName) + ": expected " + aExpected);
}

const Json::Value&
RequireMember(const Json::Value& aValue, const char* aName)
{
  if (!aValue.isObject() || !aValue.isMember(aName)) {
    ThrowInvalidField(aName, "a value");
  }
  return aValue[aName];
}

std::string
ReadString(const Json::Value& aValue, const char* aName)
{
  const Json::Value& member = RequireMember(aValue, aName);
  if (!member.isString()) {
    ThrowInvalidField(aName, "a string");
  }
  return member.asString();
}

std::string
ReadNonEmptyString(const Json::Value& aValue, const char* aName)
{
  std::string text = ReadString(aValue, aName);
  if (text.empty()) {
    ThrowInvalidField(aName, "a non-empty string");
  }
  return text;
}

std::uint64_t
ReadUInt64(const Json::Value& aValue, const char* aName)
{
  const Json::Value& member = RequireMember(aValue, aName);
  if (!member.isUInt64()) {
    ThrowInvalidField(aName, "a non-negative integer");
  }
  return member.asUInt64();
}

std::uint32_t
ReadUInt32(const Json::Value& aValue, const char* aName)
{
  const std::uint64_t number = ReadUInt64(aValue, aName);
  if (number > std::numeric_limits<std::uint32_t>::max()) {
    ThrowInvalidField(aName, "an integer below 2^32");
  }
  return static_cast<std::uint32_t>(number);
}

double
ReadNonNegativeDouble(const Json::Value& aValue, const char* aName)
{
  const Json::Value& member = RequireMember(aValue, aName);
  if (!member.isNumeric() || !std::isfinite(member.asDouble()) ||
      member.asDouble() < 0) {
    ThrowInvalidField(aName, "a finite non-negative number");
  }
  return member.asDouble();
}

bool
ReadBool(const Json::Value& aValue, const char* aName)
{
  const Json::Value& member = RequireMember(aValue, aName);
  if (!member.isBool()) {
    ThrowInvalidField(aName, "a boolean");
  }
  return member.asBool();
}

nanoseconds
ReadDuration(const Json::Value& aValue, const char* aName)
{
  const std::uint64_t count = ReadUInt64(aValue, aName);
  if (count > static_cast<std::uint64_t>(kMaxDuration.count())) {
    ThrowInvalidField(aName, "at most 86400000 ms (24 hours)");
  }
  return milliseconds(count);
}

Json::Value
DurationToJson(nanoseconds aDuration)
{
  const auto count = duration_cast<milliseconds>(aDuration).count();
  return Json::Value(static_cast<Json::Int64>(count));
}

Json::Value
NumberToJson(std::uint64_t aNumber)
{
  return Json::Value(static_cast<Json::UInt64>(aNumber));
}

Json::Value
VersionsToJson(const std::map<SectionKind, SectionVersion>& aVersions)
{
  Json::Value value(Json::objectValue);
  for (const auto& [kind, version] : aVersions) {
    value[SectionName(kind)] = NumberToJson(version.Value());
  }
  return value;
}

std::map<SectionKind, SectionVersion>
ReadVersions(const Json::Value& aValue)
{
  const Json::Value& member = RequireMember(aValue, "versions");
  if (!member.isObject()) {
    ThrowInvalidField("versions", "an object");
  }
  std::map<SectionKind, SectionVersion> versions;
  for (const SectionKind kind : kAllSectionKinds) {
    const std::string name = SectionName(kind);
    if (!member.isMember(name)) {
      continue;
    }
    versions[kind] = SectionVersion(ReadUInt64(member, name.c_str()));
  }
  return versions;
}

std::vector<BackendServerId>
ReadDraining(const Json::Value& aValue)
{
  const Json::Value& member = RequireMember(aValue, "leaving");
  if (!member.isArray()) {
    ThrowInvalidField("leaving", "an array");
  }
  std::vector<BackendServerId> draining;
  for (const Json::Value& id : member) {
    if (!id.isString()) {
      ThrowInvalidField("leaving", "an array of strings");
    }
    draining.emplace_back(id.asString());
  }
  return draining;
}

} // namespace

Json::Value
ToJson(const Heartbeat& aHeartbeat)
{
  Json::Value value(Json::objectValue);
  value["from"] = aHeartbeat.m_from.Value();
  value["incarnation"] = NumberToJson(aHeartbeat.m_incarnation.Value());
  value["sequence"] = NumberToJson(aHeartbeat.m_sequence);
  value["draining"] = aHeartbeat.m_isDraining;
  value["ready"] = aHeartbeat.m_isReady;
  value["interval_ms"] = DurationToJson(aHeartbeat.m_interval);
  value["in_flight"] = aHeartbeat.m_requestsInFlight;
  value["versions"] = VersionsToJson(aHeartbeat.m_versions);
  value["leaving"] = Json::Value(Json::arrayValue);
  for (const BackendServerId& id : aHeartbeat.m_drainingBackendServers) {
    value["leaving"].append(id.Value());
  }
  return value;
}

Heartbeat
HeartbeatFromJson(const Json::Value& aValue)
{
  return { .m_from = InstanceId(ReadNonEmptyString(aValue, "from")),
           .m_incarnation = Incarnation(ReadUInt64(aValue, "incarnation")),
           .m_sequence = ReadUInt64(aValue, "sequence"),
           .m_isDraining = ReadBool(aValue, "draining"),
           .m_isReady = ReadBool(aValue, "ready"),
           .m_interval = ReadDuration(aValue, "interval_ms"),
           .m_requestsInFlight = ReadUInt32(aValue, "in_flight"),
           .m_versions = ReadVersions(aValue),
           .m_drainingBackendServers = ReadDraining(aValue) };
}

Json::Value
ToJson(const SectionOffer& aOffer)
{
  Json::Value value = ToJson(aOffer.m_kind);
  value["version"] = NumberToJson(aOffer.m_version.Value());
  value["file"] = aOffer.m_text.m_file;
  value["text"] = aOffer.m_text.m_text;
  return value;
}

SectionOffer
SectionOfferFromJson(const Json::Value& aValue)
{
  return { .m_kind = SectionKindFromJson(aValue),
           .m_version = SectionVersion(ReadUInt64(aValue, "version")),
           .m_text = { .m_file = ReadString(aValue, "file"),
                       .m_text = ReadString(aValue, "text") } };
}

Json::Value
ToJson(const LeaseRequest& aRequest)
{
  Json::Value value(Json::objectValue);
  value["id"] = aRequest.m_id.Value();
  value["borrower"] = aRequest.m_borrower.Value();
  value["incarnation"] = NumberToJson(aRequest.m_borrowerIncarnation.Value());
  value["account"] = aRequest.m_clientAccount.Value();
  value["fraction"] = aRequest.m_fraction;
  value["tokens"] =
    NumberToJson(static_cast<std::uint64_t>(aRequest.m_tokens.Value()));
  value["term_ms"] = DurationToJson(aRequest.m_term);
  return value;
}

LeaseRequest
LeaseRequestFromJson(const Json::Value& aValue)
{
  const std::uint64_t tokens = ReadUInt64(aValue, "tokens");
  if (tokens > std::numeric_limits<std::int64_t>::max()) {
    ThrowInvalidField("tokens", "an integer below 2^63");
  }
  return { .m_id = LeaseId(ReadNonEmptyString(aValue, "id")),
           .m_borrower = InstanceId(ReadNonEmptyString(aValue, "borrower")),
           .m_borrowerIncarnation =
             Incarnation(ReadUInt64(aValue, "incarnation")),
           .m_clientAccount =
             ClientAccountId(ReadNonEmptyString(aValue, "account")),
           .m_fraction = ReadNonNegativeDouble(aValue, "fraction"),
           .m_tokens = Tokens(static_cast<std::int64_t>(tokens)),
           .m_term = ReadDuration(aValue, "term_ms") };
}

Json::Value
ToJson(const LeaseGrant& aGrant)
{
  Json::Value value(Json::objectValue);
  value["id"] = aGrant.m_id.Value();
  value["account"] = aGrant.m_clientAccount.Value();
  value["fraction"] = aGrant.m_fraction;
  value["tokens"] = aGrant.m_tokens;
  value["term_ms"] = DurationToJson(aGrant.m_term);
  value["ask_again_after_ms"] = DurationToJson(aGrant.m_retryAfter);
  return value;
}

LeaseGrant
LeaseGrantFromJson(const Json::Value& aValue)
{
  const double fraction = ReadNonNegativeDouble(aValue, "fraction");
  if (fraction > 1) {
    ThrowInvalidField("fraction", "at most 1");
  }
  return { .m_id = LeaseId(ReadNonEmptyString(aValue, "id")),
           .m_clientAccount =
             ClientAccountId(ReadNonEmptyString(aValue, "account")),
           .m_fraction = fraction,
           .m_tokens = ReadNonNegativeDouble(aValue, "tokens"),
           .m_term = ReadDuration(aValue, "term_ms"),
           .m_retryAfter = ReadDuration(aValue, "ask_again_after_ms") };
}

Json::Value
ToJson(const LeaseReturn& aReturn)
{
  Json::Value value(Json::objectValue);
  value["id"] = aReturn.m_id.Value();
  value["borrower"] = aReturn.m_borrower.Value();
  value["account"] = aReturn.m_clientAccount.Value();
  value["tokens"] = aReturn.m_tokens;
  return value;
}

LeaseReturn
LeaseReturnFromJson(const Json::Value& aValue)
{
  return { .m_id = LeaseId(ReadNonEmptyString(aValue, "id")),
           .m_borrower = InstanceId(ReadNonEmptyString(aValue, "borrower")),
           .m_clientAccount =
             ClientAccountId(ReadNonEmptyString(aValue, "account")),
           .m_tokens = ReadNonNegativeDouble(aValue, "tokens") };
}

Json::Value
ToJson(SectionKind aKind)
{
  Json::Value value(Json::objectValue);
  value["section"] = SectionName(aKind);
  return value;
}

SectionKind
SectionKindFromJson(const Json::Value& aValue)
{
  const auto kind = SectionKindFromName(ReadString(aValue, "section"));
  if (!kind) {
    ThrowInvalidField("section", "a section name");
  }
  return *kind;
}

} // namespace rattanweir
