// Writes and reads the values of control messages between instances, which are
// encoded in MessagePack.
//
//   PackedBuffer buffer;
//   PackedWriter writer(buffer);
//   writer.pack_array(2);
//   writer.pack(id.Value());
//   writer.pack(sequence);
//
//   const std::span<const PackedValue> fields = ReadArray(value, "record", 2);
//   const std::string id = ReadText(fields[0], "id");
//
// A record is an array of its fields in a fixed order. A release may append
// fields; readers ignore those beyond the ones that they know. The Read
// functions throw RpcError, which names the field, if a value has the wrong
// type. Not thread-safe.

#pragma once

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace rattanweir {

// The stream that PackedWriter writes to.
struct PackedBuffer
{
  // msgpack::packer requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void write(const char* aBytes, std::size_t aSize)
  {
    m_bytes.append(aBytes, aSize);
  }

  std::string m_bytes;
};

using PackedWriter = msgpack::packer<PackedBuffer>;
using PackedValue = msgpack::object;

// Returns the elements, of which there are at least `aMinSize`.
std::span<const PackedValue>
ReadArray(const PackedValue& aValue,
          const char* aName,
          std::size_t aMinSize = 0);

std::string
ReadText(const PackedValue& aValue, const char* aName);

// The view is valid as long as the message.
std::string_view
ReadTextView(const PackedValue& aValue, const char* aName);

std::uint64_t
ReadUnsigned(const PackedValue& aValue, const char* aName);

bool
ReadBool(const PackedValue& aValue, const char* aName);

// Accepts integers too.
double
ReadNumber(const PackedValue& aValue, const char* aName);

} // namespace rattanweir
