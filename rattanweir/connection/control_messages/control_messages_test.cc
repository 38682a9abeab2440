#include "rattanweir/connection/control_messages/control_messages.h"

#include "rattanweir/connection/rpc/rpc.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;

Heartbeat
SampleHeartbeat()
{
  return { .m_from = InstanceId("ostland-1"),
           .m_incarnation = Incarnation(0xFFFF'FFFF'FFFF'FFFF),
           .m_sequence = 7,
           .m_isDraining = true,
           .m_isReady = true,
           .m_interval = 1500ms,
           .m_requestsInFlight = 12,
           .m_versions = { { SectionKind::Keys, SectionVersion(3) } },
           .m_drainingBackendServers = { BackendServerId("engine-1") } };
}

LeaseRequest
SampleRequest()
{
  return { .m_id = LeaseId("lease-1"),
           .m_borrower = InstanceId("ostland-1"),
           .m_borrowerIncarnation = Incarnation(9),
           .m_clientAccount = ClientAccountId("parents"),
           .m_fraction = 0.75,
           .m_tokens = Tokens(500),
           .m_term = 5s };
}

LeaseGrant
SampleGrant()
{
  return { .m_id = LeaseId("lease-1"),
           .m_clientAccount = ClientAccountId("parents"),
           .m_fraction = 0.0625,
           .m_tokens = 312.5,
           .m_term = 5s,
           .m_retryAfter = 250ms };
}

LeaseReturn
SampleReturn()
{
  return { .m_id = LeaseId("lease-1"),
           .m_borrower = InstanceId("ostland-1"),
           .m_clientAccount = ClientAccountId("parents"),
           .m_tokens = 12.5 };
}

SectionOffer
SampleOffer()
{
  return { .m_kind = SectionKind::Routes,
           .m_version = SectionVersion(4),
           .m_text = { .m_file = "routes.yaml", .m_text = "routes: []\n" } };
}

TEST_CASE("a heartbeat is unchanged by conversion to JSON and back")
{
  const Heartbeat sent = SampleHeartbeat();
  const Heartbeat read = HeartbeatFromJson(ToJson(sent));
  REQUIRE(read.m_from == sent.m_from);
  REQUIRE(read.m_incarnation == sent.m_incarnation);
  REQUIRE(read.m_sequence == sent.m_sequence);
  REQUIRE(read.m_isDraining);
  REQUIRE(read.m_isReady);
  REQUIRE(read.m_interval == sent.m_interval);
  REQUIRE(read.m_requestsInFlight == sent.m_requestsInFlight);
  REQUIRE(read.m_versions == sent.m_versions);
  REQUIRE(read.m_drainingBackendServers == sent.m_drainingBackendServers);
}

TEST_CASE(
  "a lease request and its grant are unchanged by conversion to JSON and back")
{
  const LeaseRequest request = LeaseRequestFromJson(ToJson(SampleRequest()));
  REQUIRE(request.m_id == SampleRequest().m_id);
  REQUIRE(request.m_borrower == SampleRequest().m_borrower);
  REQUIRE(request.m_borrowerIncarnation ==
          SampleRequest().m_borrowerIncarnation);
  REQUIRE(request.m_clientAccount == SampleRequest().m_clientAccount);
  REQUIRE(request.m_fraction == SampleRequest().m_fraction);
  REQUIRE(request.m_tokens == SampleRequest().m_tokens);
  REQUIRE(request.m_term == SampleRequest().m_term);

  const LeaseGrant grant = LeaseGrantFromJson(ToJson(SampleGrant()));
  REQUIRE(grant.m_id == SampleGrant().m_id);
  REQUIRE(grant.m_clientAccount == SampleGrant().m_clientAccount);
  REQUIRE(grant.m_fraction == SampleGrant().m_fraction);
  REQUIRE(grant.m_tokens == SampleGrant().m_tokens);
  REQUIRE(grant.m_term == SampleGrant().m_term);
  REQUIRE(grant.m_retryAfter == SampleGrant().m_retryAfter);
}

TEST_CASE("a lease return is unchanged by conversion to JSON and back")
{
  const LeaseReturn read = LeaseReturnFromJson(ToJson(SampleReturn()));
  REQUIRE(read.m_id == SampleReturn().m_id);
  REQUIRE(read.m_borrower == SampleReturn().m_borrower);
  REQUIRE(read.m_clientAccount == SampleReturn().m_clientAccount);
  REQUIRE(read.m_tokens == SampleReturn().m_tokens);
}

TEST_CASE("a section offer is unchanged by conversion to JSON and back")
{
  const SectionOffer read = SectionOfferFromJson(ToJson(SampleOffer()));
  REQUIRE(read.m_kind == SampleOffer().m_kind);
  REQUIRE(read.m_version == SampleOffer().m_version);
  REQUIRE(read.m_text.m_text == SampleOffer().m_text.m_text);
}

TEST_CASE("the error names a missing field or one of the wrong type")
{
  struct Case
  {
    Json::Value m_message;
    std::function<void(const Json::Value&)> m_read;
  };
  const Case cases[] = {
    { ToJson(SampleHeartbeat()), HeartbeatFromJson },
    { ToJson(SampleOffer()), SectionOfferFromJson },
    { ToJson(SampleRequest()), LeaseRequestFromJson },
    { ToJson(SampleGrant()), LeaseGrantFromJson },
    { ToJson(SampleReturn()), LeaseReturnFromJson },
  };
  for (const Case& example : cases) {
    for (const std::string& field : example.m_message.getMemberNames()) {
      CAPTURE(field);
      Json::Value missing = example.m_message;
      missing.removeMember(field);
      REQUIRE_THROWS_WITH(example.m_read(missing), Catch::Contains(field));
      Json::Value wrong = example.m_message;
      wrong[field] = Json::Value();
      REQUIRE_THROWS_WITH(example.m_read(wrong), Catch::Contains(field));
    }
  }
}

TEST_CASE("numbers out of range are rejected")
{
  Json::Value grant = ToJson(SampleGrant());
  grant["fraction"] = 1.5;
  REQUIRE_THROWS_AS(LeaseGrantFromJson(grant), RpcError);
  grant["fraction"] = -0.5;
  REQUIRE_THROWS_AS(LeaseGrantFromJson(grant), RpcError);
  Json::Value request = ToJson(SampleRequest());
  request["term_ms"] = Json::Value(Json::UInt64(1) << 60U);
  REQUIRE_THROWS_AS(LeaseRequestFromJson(request), RpcError);
}

} // namespace
} // namespace rattanweir
