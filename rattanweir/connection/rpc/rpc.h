// JSON-RPC 2.0 calls between instances, apart from the connection that carries
// them.
//
// Requests and responses are texts; who sends them where is the caller's
// matter. Coding and dispatch are libjsonrpccpp's.
//
//   RpcDispatcher dispatcher;
//   dispatcher.Register("heartbeat", [](const Json::Value& aParameters) { ...
//   }); std::string response = dispatcher.Handle(request);
//
//   std::string request = EncodeRpcRequest("heartbeat", parameters);
//   Json::Value result = DecodeRpcResponse(response);
//
// This header stays within C++14, since libjsonrpccpp needs that. For one
// thread.

#pragma once

#include <json/value.h>

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

namespace rattanweir {

// A call that gave no result. From a method: what the caller is told.
class RpcError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

// Serves calls by the name of their method.
class RpcDispatcher
{
public:
  // Gets the call's named parameters and gives its result. Throws RpcError to
  // refuse; the message goes to the caller.
  using Method = std::function<Json::Value(const Json::Value&)>;

  RpcDispatcher();
  ~RpcDispatcher();
  RpcDispatcher(const RpcDispatcher&) = delete;
  RpcDispatcher& operator=(const RpcDispatcher&) = delete;

  // Names are registered once, before the first call.
  void Register(const std::string& aName, Method aMethod);

  // The response to a request. A text that is no request gets an error
  // response; nothing is thrown.
  std::string Handle(const std::string& aRequest);

private:
  struct State;
  std::unique_ptr<State> m_state;
};

// The text of a call with named parameters (a JSON object).
std::string
EncodeRpcRequest(const std::string& aMethod, const Json::Value& aParameters);

// The result in a response. Throws RpcError if it holds an error or is no
// response.
Json::Value
DecodeRpcResponse(const std::string& aResponse);

} // namespace rattanweir
