#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/gateway_report.h"
#include "testing/gateway_world/gateway_world.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

const ExplainQuestion kRead{ .m_host = "a.example",
                             .m_path = "/read/1",
                             .m_clientAccount = ClientAccountId("anna") };

TEST_CASE("an explanation names the server, its estimate and the account")
{
  GatewayWorld world;
  const Json::Value answer = ExplainRequest(world.m_state, kRead);
  CHECK(answer["route"].asString() == "read");
  CHECK(answer["account_level"].asDouble() > 0);
  CHECK(answer["result"].asString().starts_with("sent to s"));
  REQUIRE(answer["pools"].size() == 1);
  const Json::Value& pool = answer["pools"][0];
  CHECK(pool["servers"].size() == 2);
  CHECK(pool["regions"].size() == 1);
  // Nothing was sent or counted.
  CHECK(world.m_upstream.m_sent.empty());
  CHECK(ExplainRequest(world.m_state, kRead)["account_level"] ==
        answer["account_level"]);
}

TEST_CASE("an explanation says why servers get no work")
{
  GatewayWorld world;
  ServerRecord leaving = world.RecordOf("s1");
  leaving.m_isLeaving = true;
  world.m_registry.Put(leaving);
  const Json::Value answer = ExplainRequest(world.m_state, kRead);
  const Json::Value& pool = answer["pools"][0];
  CHECK(pool["servers"].size() == 1);
  REQUIRE(pool["without_work"].size() == 1);
  CHECK(pool["without_work"][0].asString() == "s1@1: it leaves");
  CHECK(answer["result"].asString() == "sent to s2@1");
}

TEST_CASE("an explanation of a refusal is its name")
{
  GatewayWorld world;
  ExplainQuestion question = kRead;
  question.m_path = "/nowhere/1";
  CHECK(ExplainRequest(world.m_state, question)["result"].asString() ==
        InfoOf(ResultCode::UnknownRoute).m_name);
  question = kRead;
  question.m_clientAccount = ClientAccountId("unknown");
  CHECK(ExplainRequest(world.m_state, question)["result"].asString() ==
        InfoOf(ResultCode::KeyNotGranted).m_name);
}

TEST_CASE("the status lists members and servers with what is known of them")
{
  GatewayWorld world;
  const Json::Value status = GatewayStatus(world.m_state, true);
  CHECK(status["instance"].asString() == "north-1");
  CHECK(status["store_in_touch"].asBool());
  CHECK(status["config"].asUInt64() > 0);
  CHECK(status["members"].size() == 1);
  // Those of this region: two plain ones and two engines.
  CHECK(status["servers"].size() == 4);
  CHECK(status["servers"][0]["why_not"].asString().empty());
}

} // namespace
} // namespace rattanweir
