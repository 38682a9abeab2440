#include "rattanweir/connection/rpc/rpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>
#include <utility>

namespace rattanweir {
namespace {

// Response that EncodeRpcRequest returns to the library in place of a peer's.
constexpr char kEmptyResponse[] = R"({"jsonrpc":"2.0","id":1,"result":null})";

// Stores the request instead of sending it.
class CapturingConnector : public jsonrpc::IClientConnector
{
public:
  void SendRPCMessage(const std::string& aMessage, std::string& aResult) throw(
    jsonrpc::JsonRpcException) override
  {
    m_request = aMessage;
    aResult = kEmptyResponse;
  }

  const std::string& Request() const { return m_request; }

private:
  std::string m_request;
};

// Returns a response that was received before the call.
class ReceivedConnector : public jsonrpc::IClientConnector
{
public:
  explicit ReceivedConnector(const std::string& aResponse)
    : m_response(aResponse)
  {
  }

  void SendRPCMessage(
    const std::string& /*aMessage*/,
    std::string& aResult) throw(jsonrpc::JsonRpcException) override
  {
    aResult = m_response;
  }

private:
  std::string m_response;
};

} // namespace

struct RpcDispatcher::State : public jsonrpc::IProcedureInvokationHandler
{
  State()
    : m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
        jsonrpc::JSONRPC_SERVER_V2,
        *this))
  {
  }

  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override
  {
    const auto& method = m_methods.at(aProcedure.GetProcedureName());
    try {
      aOutput = method(aInput);
    } catch (const std::exception& error) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR,
                                      error.what());
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*aProcedure*/,
                              const Json::Value& /*aInput*/) override
  {
  }

  std::map<std::string, Method> m_methods;
  std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
};

RpcDispatcher::RpcDispatcher()
  : m_state(std::make_unique<State>())
{
}

RpcDispatcher::~RpcDispatcher() = default;

void
RpcDispatcher::Register(const std::string& aName, Method aMethod)
{
  m_state->m_methods[aName] = std::move(aMethod);
  m_state->m_protocol->AddProcedure(jsonrpc::Procedure(
    aName, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
}

std::string
RpcDispatcher::Handle(const std::string& aRequest)
{
  std::string response;
  m_state->m_protocol->HandleRequest(aRequest, response);
  return response;
}

std::string
EncodeRpcRequest(const std::string& aMethod, const Json::Value& aParameters)
{
  CapturingConnector connector;
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  client.CallMethod(aMethod, aParameters);
  return connector.Request();
}

Json::Value
DecodeRpcResponse(const std::string& aResponse)
{
  ReceivedConnector connector(aResponse);
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  try {
    return client.CallMethod("", Json::Value());
  } catch (const jsonrpc::JsonRpcException& error) {
    throw RpcError(error.GetMessage());
  }
}

} // namespace rattanweir
