// Users' platform (settings with `fleet`): writes and reads the messages about
// the origins of streams, in MessagePack and, for peers of earlier releases, in
// JSON.
//
//   WriteBatches(batches, writer);
//   const StreamOriginBatches batches = ReadBatches(value);
//
// The reading functions throw RpcError, which names the field, for an invalid
// value.

#pragma once

#include "rattanweir/connection/packed_rpc/packed_value.h"
#include "rattanweir/process/stream_origins/stream_origins.h"

#include <json/value.h>

#include <chrono>
#include <map>
#include <vector>

namespace rattanweir {

// The streams of one origin that partners are to be told of.
struct StreamOriginBatch
{
  std::vector<StreamKey> m_keys;
  // The longest of their lifetimes.
  std::chrono::nanoseconds m_lifetime{};
};

using StreamOriginBatches = std::map<StreamOrigin, StreamOriginBatch>;

void
WriteBatches(const StreamOriginBatches& aBatches, PackedWriter& aWriter);
// Bounds the lifetimes that a peer may ask for.
StreamOriginBatches
ReadBatches(const PackedValue& aValue);
Json::Value
BatchesToJson(const StreamOriginBatches& aBatches);
StreamOriginBatches
BatchesFromJson(const Json::Value& aValue);

// What an instance answers when it is asked for a stream's origin.
struct OriginAnswer
{
  FoundOrigin m_found;
  // How far back its memory reaches; zero in answers of earlier releases.
  std::chrono::nanoseconds m_memory{};
};

void
WriteAnswer(const OriginAnswer& aAnswer, PackedWriter& aWriter);
OriginAnswer
ReadAnswer(const PackedValue& aValue);
Json::Value
AnswerToJson(const OriginAnswer& aAnswer);
OriginAnswer
AnswerFromJson(const Json::Value& aValue);

} // namespace rattanweir
