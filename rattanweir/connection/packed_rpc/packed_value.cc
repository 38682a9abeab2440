#include "rattanweir/connection/packed_rpc/packed_value.h"

#include "rattanweir/connection/rpc/rpc.h"

#include <cmath>

namespace rattanweir {
namespace {

[[noreturn]] void
ThrowExpected(const char* aName, const char* aExpected)
{
  throw RpcError(std::string(aName) + ": expected " + aExpected);
}

} // namespace

std::span<const PackedValue>
ReadArray(const PackedValue& aValue, const char* aName, std::size_t aMinSize)
{
  if (aValue.type != msgpack::type::ARRAY || aValue.via.array.size < aMinSize) {
    throw RpcError(std::string(aName) + ": expected an array of at least " +
                   std::to_string(aMinSize) + " elements");
  }
  return { aValue.via.array.ptr, aValue.via.array.size };
}

std::string
ReadText(const PackedValue& aValue, const char* aName)
{
  return std::string(ReadTextView(aValue, aName));
}

std::string_view
ReadTextView(const PackedValue& aValue, const char* aName)
{
  if (aValue.type != msgpack::type::STR) {
    ThrowExpected(aName, "a string");
  }
  return { aValue.via.str.ptr, aValue.via.str.size };
}

std::uint64_t
ReadUnsigned(const PackedValue& aValue, const char* aName)
{
  if (aValue.type != msgpack::type::POSITIVE_INTEGER) {
    ThrowExpected(aName, "a non-negative integer");
  }
  return aValue.via.u64;
}

bool
ReadBool(const PackedValue& aValue, const char* aName)
{
  if (aValue.type != msgpack::type::BOOLEAN) {
    ThrowExpected(aName, "a boolean");
  }
  return aValue.via.boolean;
}

double
ReadNumber(const PackedValue& aValue, const char* aName)
{
  switch (aValue.type) {
    case msgpack::type::POSITIVE_INTEGER:
      return static_cast<double>(aValue.via.u64);
    case msgpack::type::NEGATIVE_INTEGER:
      return static_cast<double>(aValue.via.i64);
    case msgpack::type::FLOAT32:
    case msgpack::type::FLOAT64:
      if (std::isfinite(aValue.via.f64)) {
        return aValue.via.f64;
      }
      [[fallthrough]];
    default:
      ThrowExpected(aName, "a finite number");
  }
}

} // namespace rattanweir
