#include "rattanweir/connection/rpc/rpc.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

void
RegisterDouble(RpcDispatcher& aDispatcher)
{
  aDispatcher.Register("double", [](const Json::Value& aParameters) {
    if (!aParameters["value"].isInt()) {
      throw RpcError("value: not a number");
    }
    Json::Value result(Json::objectValue);
    result["value"] = 2 * aParameters["value"].asInt();
    return result;
  });
}

TEST_CASE("a call returns its result")
{
  RpcDispatcher dispatcher;
  RegisterDouble(dispatcher);
  Json::Value parameters(Json::objectValue);
  parameters["value"] = 21;
  const std::string request = EncodeRpcRequest("double", parameters);
  REQUIRE(DecodeRpcResponse(dispatcher.Handle(request))["value"] == 42);
}

TEST_CASE("a rejected call returns the error message to the caller")
{
  RpcDispatcher dispatcher;
  RegisterDouble(dispatcher);
  Json::Value parameters(Json::objectValue);
  parameters["value"] = "many";
  const std::string request = EncodeRpcRequest("double", parameters);
  REQUIRE_THROWS_WITH(DecodeRpcResponse(dispatcher.Handle(request)),
                      Catch::Contains("value: not a number"));
}

TEST_CASE("an invalid request gets an error response")
{
  RpcDispatcher dispatcher;
  RegisterDouble(dispatcher);
  const char* request =
    GENERATE("",
             "{",
             "[]",
             "7",
             "\"double\"",
             R"({"jsonrpc":"2.0","id":1,"method":"absent","params":{}})",
             R"({"jsonrpc":"2.0","id":1,"method":7,"params":{}})",
             R"({"jsonrpc":"2.0","id":1,"method":"double","params":[1]})",
             R"({"jsonrpc":"2.0","id":1,"method":"double"})");
  CAPTURE(request);
  REQUIRE_THROWS_AS(DecodeRpcResponse(dispatcher.Handle(request)), RpcError);
}

TEST_CASE("an invalid response throws RpcError")
{
  const char* response = GENERATE("", "{", "[]", "7", R"({"result":1})");
  CAPTURE(response);
  REQUIRE_THROWS_AS(DecodeRpcResponse(response), RpcError);
}

} // namespace
} // namespace rattanweir
