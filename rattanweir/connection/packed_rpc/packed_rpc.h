// Encoding and dispatch of control calls between instances in MessagePack. They
// cost a fraction of the processing time and of the bytes of JSON-RPC calls,
// which `connection/rpc` encodes for peers of earlier releases.
//
//   PackedDispatcher dispatcher;
//   dispatcher.Register("gossip", [](const PackedValue& aParameters,
//                                    PackedWriter& aResult) { ... });
//   std::string response = dispatcher.Handle(request);
//
//   std::string request = EncodePackedCall("gossip", writeParameters);
//   DecodePackedResponse(response, readResult);
//
// A call is the array [format, method, parameters] and a response the array
// [format, error or nil, result]. Not thread-safe.

#pragma once

#include "rattanweir/connection/packed_rpc/packed_value.h"
#include "rattanweir/connection/rpc/rpc.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace rattanweir {

// The response was not in MessagePack: the peer runs an earlier release, which
// knows JSON-RPC only.
class PeerOfEarlierRelease : public RpcError
{
public:
  using RpcError::RpcError;
};

// Writes exactly one value.
using WritePacked = std::function<void(PackedWriter&)>;
// Throws RpcError if the value is invalid.
using ReadPacked = std::function<void(const PackedValue&)>;

// Returns whether a control message is in MessagePack and not in JSON.
bool
IsPacked(std::string_view aMessage);

std::string
EncodePackedCall(std::string_view aMethod, const WritePacked& aParameters);

// Passes the result on. Throws RpcError if the response holds an error or is
// invalid, and PeerOfEarlierRelease if it is in JSON.
void
DecodePackedResponse(std::string_view aResponse, const ReadPacked& aReadResult);

class PackedDispatcher
{
public:
  // Reads the parameters and writes the result, which is exactly one value.
  // Throws RpcError to reject the call; the message is sent to the caller.
  using Method = std::function<void(const PackedValue&, PackedWriter&)>;

  void Register(const std::string& aName, Method aMethod);

  // Sets what is called after each call of a known method, with its name.
  void OnHandled(std::function<void(std::string_view)> aListener)
  {
    m_onHandled = std::move(aListener);
  }

  // Returns the response to a call. Returns an error response if `aCall` is
  // invalid or its method fails; does not throw.
  std::string Handle(std::string_view aCall) const;

private:
  std::map<std::string, Method, std::less<>> m_methods;
  std::function<void(std::string_view)> m_onHandled;
};

} // namespace rattanweir
