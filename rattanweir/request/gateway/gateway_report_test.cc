#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/gateway_report.h"
#include "testing/gateway_fixture/gateway_fixture.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

const ExplainQuery kRead{ .m_host = "a.example",
                          .m_path = "/read/1",
                          .m_clientAccount = ClientAccountId("anna") };

TEST_CASE(
  "an explanation contains the server, the estimates and the account level")
{
  GatewayFixture fixture;
  const Json::Value response = ExplainRequest(fixture.m_state, kRead);
  CHECK(response["route"].asString() == "read");
  CHECK(response["account_level"].asDouble() > 0);
  CHECK(response["result"].asString().starts_with("sent to s"));
  REQUIRE(response["pools"].size() == 1);
  const Json::Value& pool = response["pools"][0];
  CHECK(pool["servers"].size() == 2);
  CHECK(pool["regions"].size() == 1);
  // The explanation sends no request and consumes no rate tokens.
  CHECK(fixture.m_upstream.m_sent.empty());
  CHECK(ExplainRequest(fixture.m_state, kRead)["account_level"] ==
        response["account_level"]);
}

TEST_CASE("an explanation states why a server gets no requests")
{
  GatewayFixture fixture;
  ServerRecord draining = fixture.RecordOf("s1");
  draining.m_isDraining = true;
  fixture.m_registry.Put(draining);
  const Json::Value response = ExplainRequest(fixture.m_state, kRead);
  const Json::Value& pool = response["pools"][0];
  CHECK(pool["servers"].size() == 1);
  REQUIRE(pool["without_work"].size() == 1);
  CHECK(pool["without_work"][0].asString() == "s1@1: it leaves");
  CHECK(response["result"].asString() == "sent to s2@1");
}

TEST_CASE("the result of a refused request is the name of its result code")
{
  GatewayFixture fixture;
  ExplainQuery query = kRead;
  query.m_path = "/nowhere/1";
  CHECK(ExplainRequest(fixture.m_state, query)["result"].asString() ==
        InfoOf(ResultCode::UnknownRoute).m_name);
  query = kRead;
  query.m_clientAccount = ClientAccountId("unknown");
  CHECK(ExplainRequest(fixture.m_state, query)["result"].asString() ==
        InfoOf(ResultCode::KeyNotGranted).m_name);
}

TEST_CASE("the status lists the members and the servers of this region")
{
  GatewayFixture fixture;
  const Json::Value status = GatewayStatus(fixture.m_state, true);
  CHECK(status["instance"].asString() == "north-1");
  CHECK(status["store_in_touch"].asBool());
  CHECK(status["config"].asUInt64() > 0);
  CHECK(status["members"].size() == 1);
  // This region has two plain servers and two engines.
  CHECK(status["servers"].size() == 4);
  CHECK(status["servers"][0]["why_not"].asString().empty());
}

} // namespace
} // namespace rattanweir
