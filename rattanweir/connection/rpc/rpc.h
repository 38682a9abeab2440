// Encoding and dispatch of JSON-RPC 2.0 calls between instances, based on
// libjsonrpccpp. Independent of the transport: requests and responses are
// strings that the caller sends and receives.
//
//   RpcDispatcher dispatcher;
//   dispatcher.Register("heartbeat", [](const Json::Value& aParameters) { ...
//   }); std::string response = dispatcher.Handle(request);
//
//   std::string request = EncodeRpcRequest("heartbeat", parameters);
//   Json::Value result = DecodeRpcResponse(response);
//
// This header must compile as C++14, which libjsonrpccpp requires. Not
// thread-safe.

#pragma once

#include <json/value.h>

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

namespace rattanweir {

// A call that failed. If a method throws RpcError, its message is sent to the
// caller.
class RpcError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

// Dispatches calls to methods registered by name.
class RpcDispatcher
{
public:
  // Receives the named parameters of the call and returns its result. Throws
  // RpcError to reject the call; the message is sent to the caller.
  using Method = std::function<Json::Value(const Json::Value&)>;

  RpcDispatcher();
  ~RpcDispatcher();
  RpcDispatcher(const RpcDispatcher&) = delete;
  RpcDispatcher& operator=(const RpcDispatcher&) = delete;

  // Registers a method. Each name may be registered once, before the first call
  // of Handle.
  void Register(const std::string& aName, Method aMethod);

  // Returns the response to a request. Returns an error response if `aRequest`
  // is not a valid request; does not throw.
  std::string Handle(const std::string& aRequest);

private:
  struct State;
  std::unique_ptr<State> m_state;
};

// Encodes a call with named parameters, which must be a JSON object.
std::string
EncodeRpcRequest(const std::string& aMethod, const Json::Value& aParameters);

// Returns the result in a response. Throws RpcError if the response holds an
// error or is not valid.
Json::Value
DecodeRpcResponse(const std::string& aResponse);

} // namespace rattanweir
