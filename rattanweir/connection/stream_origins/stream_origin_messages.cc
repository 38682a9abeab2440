#include "rattanweir/connection/stream_origins/stream_origin_messages.h"

#include "rattanweir/connection/rpc/rpc.h"

#include <algorithm>

namespace rattanweir {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Limit on what a peer may ask this instance to remember a stream for.
constexpr milliseconds kMaxLifetime = std::chrono::minutes(10);

milliseconds
BoundedLifetime(std::uint64_t aMilliseconds)
{
  return milliseconds(std::min<std::uint64_t>(
    aMilliseconds, static_cast<std::uint64_t>(kMaxLifetime.count())));
}

std::uint64_t
ToMilliseconds(std::chrono::nanoseconds aDuration)
{
  return static_cast<std::uint64_t>(
    std::max<std::int64_t>(0, duration_cast<milliseconds>(aDuration).count()));
}

} // namespace

void
WriteBatches(const StreamOriginBatches& aBatches, PackedWriter& aWriter)
{
  constexpr std::uint32_t kFields = 4;
  aWriter.pack_array(static_cast<std::uint32_t>(aBatches.size()));
  for (const auto& [origin, batch] : aBatches) {
    aWriter.pack_array(kFields);
    aWriter.pack(origin.m_pool.Value());
    aWriter.pack(origin.m_version);
    aWriter.pack(ToMilliseconds(batch.m_lifetime));
    aWriter.pack_array(static_cast<std::uint32_t>(batch.m_keys.size()));
    for (const StreamKey key : batch.m_keys) {
      aWriter.pack(static_cast<std::uint64_t>(key));
    }
  }
}

StreamOriginBatches
ReadBatches(const PackedValue& aValue)
{
  StreamOriginBatches batches;
  for (const PackedValue& entry : ReadArray(aValue, "streams")) {
    const auto fields = ReadArray(entry, "stream", 4);
    StreamOriginBatch& batch =
      batches[{ .m_pool = PoolId(ReadText(fields[0], "pool")),
                .m_version = ReadText(fields[1], "version") }];
    batch.m_lifetime = BoundedLifetime(ReadUnsigned(fields[2], "lifetime"));
    for (const PackedValue& key : ReadArray(fields[3], "keys")) {
      batch.m_keys.push_back(static_cast<StreamKey>(ReadUnsigned(key, "key")));
    }
  }
  return batches;
}

Json::Value
BatchesToJson(const StreamOriginBatches& aBatches)
{
  Json::Value parameters;
  parameters["streams"] = Json::Value(Json::arrayValue);
  for (const auto& [origin, batch] : aBatches) {
    Json::Value entry;
    entry["pool"] = origin.m_pool.Value();
    entry["version"] = origin.m_version;
    entry["lifetime_ms"] = Json::UInt64(ToMilliseconds(batch.m_lifetime));
    entry["keys"] = Json::Value(Json::arrayValue);
    for (const StreamKey key : batch.m_keys) {
      entry["keys"].append(Json::UInt64(static_cast<std::uint64_t>(key)));
    }
    parameters["streams"].append(std::move(entry));
  }
  return parameters;
}

StreamOriginBatches
BatchesFromJson(const Json::Value& aValue)
{
  const Json::Value& streams = aValue["streams"];
  if (!streams.isArray()) {
    throw RpcError("streams: expected an array");
  }
  StreamOriginBatches batches;
  for (const Json::Value& entry : streams) {
    if (!entry.isObject() || !entry["pool"].isString() ||
        !entry["version"].isString() || !entry["lifetime_ms"].isUInt64() ||
        !entry["keys"].isArray()) {
      throw RpcError("streams: expected pool, version, lifetime_ms and keys");
    }
    StreamOriginBatch& batch =
      batches[{ .m_pool = PoolId(entry["pool"].asString()),
                .m_version = entry["version"].asString() }];
    batch.m_lifetime = BoundedLifetime(entry["lifetime_ms"].asUInt64());
    for (const Json::Value& key : entry["keys"]) {
      if (!key.isUInt64()) {
        throw RpcError("keys: expected non-negative integers");
      }
      batch.m_keys.push_back(static_cast<StreamKey>(key.asUInt64()));
    }
  }
  return batches;
}

void
WriteAnswer(const OriginAnswer& aAnswer, PackedWriter& aWriter)
{
  constexpr std::uint32_t kFields = 4;
  const FoundOrigin& found = aAnswer.m_found;
  aWriter.pack_array(kFields);
  aWriter.pack(found.m_isAmbiguous);
  if (found.m_origin) {
    aWriter.pack(found.m_origin->m_pool.Value());
    aWriter.pack(found.m_origin->m_version);
  } else {
    aWriter.pack_nil();
    aWriter.pack_nil();
  }
  aWriter.pack(ToMilliseconds(aAnswer.m_memory));
}

OriginAnswer
ReadAnswer(const PackedValue& aValue)
{
  const auto fields = ReadArray(aValue, "answer", 4);
  OriginAnswer answer{
    .m_found = { .m_isAmbiguous = ReadBool(fields[0], "ambiguous") },
    .m_memory = BoundedLifetime(ReadUnsigned(fields[3], "memory"))
  };
  if (!fields[1].is_nil()) {
    answer.m_found.m_origin = { .m_pool = PoolId(ReadText(fields[1], "pool")),
                                .m_version = ReadText(fields[2], "version") };
  }
  return answer;
}

Json::Value
AnswerToJson(const OriginAnswer& aAnswer)
{
  const FoundOrigin& found = aAnswer.m_found;
  Json::Value value(Json::objectValue);
  value["ambiguous"] = found.m_isAmbiguous;
  if (found.m_origin) {
    value["pool"] = found.m_origin->m_pool.Value();
    value["version"] = found.m_origin->m_version;
  }
  value["memory_ms"] = Json::UInt64(ToMilliseconds(aAnswer.m_memory));
  return value;
}

OriginAnswer
AnswerFromJson(const Json::Value& aValue)
{
  OriginAnswer answer{ .m_found = { .m_isAmbiguous =
                                      aValue["ambiguous"].isBool() &&
                                      aValue["ambiguous"].asBool() } };
  if (aValue["pool"].isString() && aValue["version"].isString()) {
    answer.m_found.m_origin = { .m_pool = PoolId(aValue["pool"].asString()),
                                .m_version = aValue["version"].asString() };
  }
  if (aValue["memory_ms"].isUInt64()) {
    answer.m_memory = BoundedLifetime(aValue["memory_ms"].asUInt64());
  }
  return answer;
}

} // namespace rattanweir
