#include "rattanweir/process/instance_list/instance_list.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

std::string
YamlEntry(const std::string& aId, const std::string& aPort)
{
  return "- { id: " + aId + ", region: east, availability_zone: east-a, " +
         "caller_address: 10.0.0.1:" + aPort +
         ", peer_address: 10.0.0.2:" + aPort + " }\n";
}

TEST_CASE("entries are returned in list order")
{
  const auto list = ParseInstanceList(
    { .m_file = "instances.yaml",
      .m_text = "instances:\n" + YamlEntry("b", "80") +
                "- { id: a, region: west, availability_zone: west-b,\n"
                "    caller_address: 10.0.0.3:81, peer_address: 10.0.0.3:82,\n"
                "    leaving: true }\n" });
  REQUIRE(list.size() == 2);
  REQUIRE(list[0].m_id == InstanceId("b"));
  REQUIRE_FALSE(list[0].m_isDraining);
  REQUIRE(list[1].m_region == RegionId("west"));
  REQUIRE(list[1].m_zone == AvailabilityZoneId("west-b"));
  REQUIRE(list[1].m_callerAddress.ToString() == "10.0.0.3:81");
  REQUIRE(list[1].m_peerAddress.ToString() == "10.0.0.3:82");
  REQUIRE(list[1].m_isDraining);
}

TEST_CASE("a list may be empty or repeat an address")
{
  const std::string entries = YamlEntry("a", "80") + YamlEntry("b", "80");
  REQUIRE(ParseInstanceList({ .m_text = "instances:\n" + entries }).size() ==
          2);
  REQUIRE(ParseInstanceList({ .m_text = "instances: []" }).empty());
}

TEST_CASE("each fault is reported with its file, line and field")
{
  const struct
  {
    std::string m_text;
    std::string m_fault;
  } cases[] = {
    { "", "instances.yaml" },
    { "instances: 3", ":1: instances.instances" },
    { "instances: []\nmore: 1", ":2: instances.more" },
    { "instances:\n- { id: a }", ":2: instances[0].region" },
    { "instances:\n" + YamlEntry("a", "80") + YamlEntry("a", "81"),
      ":3: instances[1].id" },
    { "instances:\n" + YamlEntry("a", "80x"),
      ":2: instances[0].caller_address" },
  };
  for (const auto& testCase : cases) {
    std::string found;
    try {
      ParseInstanceList(
        { .m_file = "instances.yaml", .m_text = testCase.m_text });
    } catch (const SectionError& error) {
      for (const SectionFault& fault : error.Faults()) {
        found += fault.ToString() + "\n";
      }
    }
    CAPTURE(testCase.m_text, found);
    CHECK(found.find(testCase.m_fault) != std::string::npos);
  }
}

} // namespace
} // namespace rattanweir
