#include "rattanweir/connection/packed_rpc/packed_rpc.h"

#include <exception>
#include <utility>

namespace rattanweir {
namespace {

constexpr std::uint64_t kFormat = 1;
constexpr std::size_t kFieldsOfMessage = 3;
// Deeper than any message of this release.
constexpr std::size_t kMaxDepth = 16;

// Throws RpcError if the text is not one MessagePack value. The value refers to
// the text.
msgpack::object_handle
Unpack(std::string_view aText)
{
  // A text cannot hold more elements than bytes, whatever its lengths say.
  const msgpack::unpack_limit limit(
    aText.size(), 0, aText.size(), aText.size(), 0, kMaxDepth);
  try {
    std::size_t offset = 0;
    const auto refersToText =
      [](msgpack::type::object_type, std::size_t, void*) { return true; };
    msgpack::object_handle handle = msgpack::unpack(
      aText.data(), aText.size(), offset, refersToText, nullptr, limit);
    if (offset != aText.size()) {
      throw RpcError("the message has bytes after its end");
    }
    return handle;
  } catch (const msgpack::unpack_error& error) {
    throw RpcError(std::string("not a MessagePack value: ") + error.what());
  }
}

// Returns the fields of a call or response. Throws RpcError if their format is
// unknown.
std::span<const PackedValue>
ReadMessage(const msgpack::object_handle& aMessage)
{
  const auto fields = ReadArray(aMessage.get(), "message", kFieldsOfMessage);
  const std::uint64_t format = ReadUnsigned(fields[0], "format");
  if (format != kFormat) {
    throw RpcError("format " + std::to_string(format) + " is unknown, not " +
                   std::to_string(kFormat));
  }
  return fields;
}

std::string
EncodeError(const char* aError)
{
  PackedBuffer buffer;
  PackedWriter writer(buffer);
  writer.pack_array(kFieldsOfMessage);
  writer.pack(kFormat);
  writer.pack(aError);
  writer.pack_nil();
  return std::move(buffer.m_bytes);
}

} // namespace

bool
IsPacked(std::string_view aMessage)
{
  // The first byte of a MessagePack array of up to 15 elements, or of more.
  constexpr unsigned kTypeMask = 0xf0;
  constexpr unsigned kSmallArray = 0x90;
  constexpr unsigned kLargeArray = 0xdc;
  if (aMessage.empty()) {
    return false;
  }
  const auto first = static_cast<unsigned char>(aMessage.front());
  return (first & kTypeMask) == kSmallArray || first == kLargeArray;
}

std::string
EncodePackedCall(std::string_view aMethod, const WritePacked& aParameters)
{
  PackedBuffer buffer;
  PackedWriter writer(buffer);
  writer.pack_array(kFieldsOfMessage);
  writer.pack(kFormat);
  writer.pack(aMethod);
  aParameters(writer);
  return std::move(buffer.m_bytes);
}

void
DecodePackedResponse(std::string_view aResponse, const ReadPacked& aReadResult)
{
  if (!IsPacked(aResponse)) {
    throw PeerOfEarlierRelease("the peer's response is not in MessagePack");
  }
  const msgpack::object_handle message = Unpack(aResponse);
  const auto fields = ReadMessage(message);
  if (!fields[1].is_nil()) {
    throw RpcError(ReadText(fields[1], "error"));
  }
  aReadResult(fields[2]);
}

void
PackedDispatcher::Register(const std::string& aName, Method aMethod)
{
  m_methods[aName] = std::move(aMethod);
}

std::string
PackedDispatcher::Handle(std::string_view aCall) const
{
  try {
    const msgpack::object_handle message = Unpack(aCall);
    const auto fields = ReadMessage(message);
    const std::string_view name = ReadTextView(fields[1], "method");
    const auto method = m_methods.find(name);
    if (method == m_methods.end()) {
      throw RpcError("method " + std::string(name) + " is unknown");
    }
    PackedBuffer buffer;
    PackedWriter writer(buffer);
    writer.pack_array(kFieldsOfMessage);
    writer.pack(kFormat);
    writer.pack_nil();
    method->second(fields[2], writer);
    if (m_onHandled) {
      m_onHandled(name);
    }
    return std::move(buffer.m_bytes);
  } catch (const std::exception& error) {
    return EncodeError(error.what());
  }
}

} // namespace rattanweir
