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

// Longer than any term or interval; keeps arithmetic on durations in range.
constexpr milliseconds kLongestDuration = std::chrono::hours(24);

[[noreturn]] void
ThrowField(const char* aName, const char* aExpected)
{
  throw RpcError(std::string(aName) + ": expected " + aExpected);
}

const Json::Value&
Member(const Json::Value& aValue, const char* aName)
{
  if (!aValue.isObject() || !aValue.isMember(aName)) {
    ThrowField(aName, "a value");
  }
  return aValue[aName];
}

std::string
ReadText(const Json::Value& aValue, const char* aName)
{
  const Json::Value& member = Member(aValue, aName);
  if (!member.isString()) {
    ThrowField(aName, "a text");
  }
  return member.asString();
}

std::string
ReadName(const Json::Value& aValue, const char* aName)
{
  std::string text = ReadText(aValue, aName);
  if (text.empty()) {
    ThrowField(aName, "a text that is not empty");
  }
  return text;
}

std::uint64_t
ReadNumber(const Json::Value& aValue, const char* aName)
{
  const Json::Value& member = Member(aValue, aName);
  if (!member.isUInt64()) {
    ThrowField(aName, "a whole number from 0");
  }
  return member.asUInt64();
}

std::uint32_t
ReadSmallNumber(const Json::Value& aValue, const char* aName)
{
  const std::uint64_t number = ReadNumber(aValue, aName);
  if (number > std::numeric_limits<std::uint32_t>::max()) {
    ThrowField(aName, "a number below 2^32");
  }
  return static_cast<std::uint32_t>(number);
}

double
ReadReal(const Json::Value& aValue, const char* aName)
{
  const Json::Value& member = Member(aValue, aName);
  if (!member.isNumeric() || !std::isfinite(member.asDouble()) ||
      member.asDouble() < 0) {
    ThrowField(aName, "a finite number from 0");
  }
  return member.asDouble();
}

bool
ReadFlag(const Json::Value& aValue, const char* aName)
{
  const Json::Value& member = Member(aValue, aName);
  if (!member.isBool()) {
    ThrowField(aName, "true or false");
  }
  return member.asBool();
}

nanoseconds
ReadDuration(const Json::Value& aValue, const char* aName)
{
  const std::uint64_t count = ReadNumber(aValue, aName);
  if (count > static_cast<std::uint64_t>(kLongestDuration.count())) {
    ThrowField(aName, "at most a day in milliseconds");
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
  const Json::Value& member = Member(aValue, "versions");
  if (!member.isObject()) {
    ThrowField("versions", "an object");
  }
  std::map<SectionKind, SectionVersion> versions;
  for (const SectionKind kind : kAllSectionKinds) {
    const std::string name = SectionName(kind);
    if (!member.isMember(name)) {
      continue;
    }
    versions[kind] = SectionVersion(ReadNumber(member, name.c_str()));
  }
  return versions;
}

std::vector<BackendServerId>
ReadDraining(const Json::Value& aValue)
{
  const Json::Value& member = Member(aValue, "leaving");
  if (!member.isArray()) {
    ThrowField("leaving", "a list");
  }
  std::vector<BackendServerId> draining;
  for (const Json::Value& id : member) {
    if (!id.isString()) {
      ThrowField("leaving", "a list of texts");
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
  return { .m_from = InstanceId(ReadName(aValue, "from")),
           .m_incarnation = Incarnation(ReadNumber(aValue, "incarnation")),
           .m_sequence = ReadNumber(aValue, "sequence"),
           .m_isDraining = ReadFlag(aValue, "draining"),
           .m_isReady = ReadFlag(aValue, "ready"),
           .m_interval = ReadDuration(aValue, "interval_ms"),
           .m_requestsInFlight = ReadSmallNumber(aValue, "in_flight"),
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
           .m_version = SectionVersion(ReadNumber(aValue, "version")),
           .m_text = { .m_file = ReadText(aValue, "file"),
                       .m_text = ReadText(aValue, "text") } };
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
  const std::uint64_t tokens = ReadNumber(aValue, "tokens");
  if (tokens > std::numeric_limits<std::int64_t>::max()) {
    ThrowField("tokens", "a number below 2^63");
  }
  return { .m_id = LeaseId(ReadName(aValue, "id")),
           .m_borrower = InstanceId(ReadName(aValue, "borrower")),
           .m_borrowerIncarnation =
             Incarnation(ReadNumber(aValue, "incarnation")),
           .m_clientAccount = ClientAccountId(ReadName(aValue, "account")),
           .m_fraction = ReadReal(aValue, "fraction"),
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
  const double fraction = ReadReal(aValue, "fraction");
  if (fraction > 1) {
    ThrowField("fraction", "at most 1");
  }
  return { .m_id = LeaseId(ReadName(aValue, "id")),
           .m_clientAccount = ClientAccountId(ReadName(aValue, "account")),
           .m_fraction = fraction,
           .m_tokens = ReadReal(aValue, "tokens"),
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
  return { .m_id = LeaseId(ReadName(aValue, "id")),
           .m_borrower = InstanceId(ReadName(aValue, "borrower")),
           .m_clientAccount = ClientAccountId(ReadName(aValue, "account")),
           .m_tokens = ReadReal(aValue, "tokens") };
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
  const auto kind = SectionKindFromName(ReadText(aValue, "section"));
  if (!kind) {
    ThrowField("section", "the name of a section");
  }
  return *kind;
}

} // namespace rattanweir
